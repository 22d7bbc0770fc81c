//! Removes the caller's key from a request's head, so that upstreams never see it.
//!
//! The headers meant for keys are dropped. The rest of the head is searched for
//! the presented key, in plain, percent-encoded and base64 form, and for any
//! other configured key in the places where callers tend to put one: query,
//! path, cookies and complete header values.

use base64::{
    Engine,
    alphabet, //
    engine::general_purpose::{
        GeneralPurpose,
        GeneralPurposeConfig, //
    },
};
use bytes::Bytes;
use hyper::{
    HeaderMap,
    Uri, //
    header::{
        AUTHORIZATION,
        COOKIE,
        HeaderName,
        HeaderValue,
        PROXY_AUTHORIZATION, //
    },
};
use memchr::memmem;
use percent_encoding::percent_decode;
use smallvec::SmallVec;
use thiserror::Error;

use crate::{
    util::id::KeyDigest,
    wire, //
};

/// How many levels of nested percent-encoding are decoded.
const MAX_PERCENT_DECODINGS: usize = 2;
/// Tokens shorter than this are not looked up as keys.
const TOKEN_MIN_BYTES: usize = 8;
/// Tokens longer than this are not looked up as keys.
const TOKEN_MAX_BYTES: usize = 512;
/// Bytes that separate tokens in the target and in cookies.
const SEPARATORS: &[u8] = b"/?&=;, \"";
/// Base64 symbols that together encode three bytes.
const BASE64_QUANTUM_SYMBOLS: usize = 4;
const LENIENT_BASE64: GeneralPurpose = GeneralPurpose::new(
    &alphabet::STANDARD,
    GeneralPurposeConfig::new()
        .with_encode_padding(false)
        .with_decode_allow_trailing_bits(true)
        .with_decode_padding_mode(base64::engine::DecodePaddingMode::Indifferent),
);

/// A key as the caller presented it. Its `Debug` output hides the key.
#[derive(Clone, PartialEq, Eq)]
pub struct PresentedKey(Bytes);

impl PresentedKey {
    /// Returns the key as sent, without surrounding whitespace.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the digest under which the key is configured.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(&self.0)
    }
}

impl std::fmt::Debug for PresentedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PresentedKey(..)")
    }
}

/// Why a request is rejected for the keys that it contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyExposed {
    /// The target (authority, path or query) contains a key.
    #[error("the request's target contains a key; send it in the authorization header only")]
    Target,
    /// A header that is passed on to upstreams contains a key.
    #[error(
        "a header that is passed to upstreams contains a key; \
         send it in the authorization header only"
    )]
    Header,
    /// The request presents different keys.
    #[error("the request presents different keys; send only one")]
    MultipleKeys,
}

/// The headers of a request after its key was removed.
#[derive(Clone, Debug)]
pub struct ScrubbedHead {
    /// The key that was presented, if any.
    pub key: Option<PresentedKey>,
    /// The headers without those meant for keys.
    pub headers: HeaderMap,
}

/// Removes the key from a request's headers, and returns an error if the
/// target or another header contains a key. `is_key` returns whether a digest
/// belongs to a configured key.
pub fn scrub(
    uri: &Uri,
    mut headers: HeaderMap,
    is_key: impl Fn(&KeyDigest) -> bool,
) -> Result<ScrubbedHead, KeyExposed> {
    let key = presented_key(&headers)?;
    for name in [AUTHORIZATION, PROXY_AUTHORIZATION] {
        headers.remove(name);
    }
    headers.remove(wire::KEY);

    let target = target_bytes(uri);
    if contains_key(&target, key.as_ref(), &is_key) {
        return Err(KeyExposed::Target);
    }
    for (name, value) in &headers {
        if header_contains_key(name, value, key.as_ref(), &is_key) {
            return Err(KeyExposed::Header);
        }
    }
    Ok(ScrubbedHead { key, headers })
}

/// Returns whether headers, such as trailers, contain the presented key or
/// include a header meant for keys.
pub fn exposes_key(headers: &HeaderMap, key: Option<&PresentedKey>) -> bool {
    for (name, value) in headers {
        if is_key_header(name) || header_contains_key(name, value, key, &|_| false) {
            return true;
        }
    }
    false
}

/// Returns the key that the request presents, if any.
fn presented_key(headers: &HeaderMap) -> Result<Option<PresentedKey>, KeyExposed> {
    let bearer = headers.get_all(AUTHORIZATION).iter().filter_map(bearer);
    let plain = headers.get_all(wire::KEY).iter().map(HeaderValue::as_bytes);
    let mut key: Option<&[u8]> = None;
    for next in bearer.chain(plain) {
        let next = next.trim_ascii();
        if next.is_empty() || key == Some(next) {
            continue;
        }
        if key.is_some() {
            return Err(KeyExposed::MultipleKeys);
        }
        key = Some(next);
    }
    Ok(key.map(|k| PresentedKey(Bytes::copy_from_slice(k))))
}

fn bearer(value: &HeaderValue) -> Option<&[u8]> {
    let (scheme, key) = value.as_bytes().split_at_checked("bearer ".len())?;
    scheme.eq_ignore_ascii_case(b"bearer ").then_some(key)
}

fn is_key_header(name: &HeaderName) -> bool {
    name == AUTHORIZATION || name == PROXY_AUTHORIZATION || name.as_str() == wire::KEY
}

fn target_bytes(uri: &Uri) -> Bytes {
    let authority = uri.authority().map_or("", |a| a.as_str());
    let rest = uri.path_and_query().map_or("", |p| p.as_str());
    Bytes::from([authority, rest].join("/"))
}

fn header_contains_key(
    name: &HeaderName,
    value: &HeaderValue,
    key: Option<&PresentedKey>,
    is_key: &impl Fn(&KeyDigest) -> bool,
) -> bool {
    let value = value.as_bytes();
    if key.is_some_and(|k| contains(name.as_str().as_bytes(), &k.0.to_ascii_lowercase())) {
        return true;
    }
    if *name == COOKIE {
        return contains_key(value, key, is_key);
    }
    if key.is_some_and(|k| any_decoding(value, k.0.len(), &|decoded| contains(decoded, &k.0))) {
        return true;
    }
    // Most tokens in other headers are dates, media types and the like, so only
    // the complete value and the part after the last space, such as that after
    // an authentication scheme, are looked up.
    let last = value.rsplit(|b| *b == b' ').next().unwrap_or(value);
    token_is_key(value, is_key) || (last.len() < value.len() && token_is_key(last, is_key))
}

fn contains_key(
    text: &[u8],
    key: Option<&PresentedKey>,
    is_key: &impl Fn(&KeyDigest) -> bool,
) -> bool {
    let min_bytes = key.map_or(TOKEN_MIN_BYTES, |k| k.0.len().min(TOKEN_MIN_BYTES));
    any_decoding(text, min_bytes, &|decoded| {
        if key.is_some_and(|k| contains(decoded, &k.0)) {
            return true;
        }
        let mut tokens = decoded.split(|b| SEPARATORS.contains(b));
        tokens.any(|w| token_is_key(w, is_key))
    })
}

fn token_is_key(token: &[u8], is_key: &impl Fn(&KeyDigest) -> bool) -> bool {
    let length = TOKEN_MIN_BYTES..=TOKEN_MAX_BYTES;
    length.contains(&token.len()) && is_key(&KeyDigest::of(token))
}

fn contains(text: &[u8], needle: &[u8]) -> bool {
    memmem::find(text, needle).is_some()
}

/// Returns whether a text passes a test as it is, percent-decoded, or decoded
/// from base64. Base64 runs that decode to fewer than `min_bytes` are skipped.
fn any_decoding(text: &[u8], min_bytes: usize, test: &impl Fn(&[u8]) -> bool) -> bool {
    let mut text = std::borrow::Cow::Borrowed(text);
    for _ in 0..=MAX_PERCENT_DECODINGS {
        if test(&text)
            || base64_decodings(&text, min_bytes)
                .iter()
                .any(|decoded| test(decoded))
        {
            return true;
        }
        if !text.contains(&b'%') {
            return false;
        }
        text = percent_decode(&text).collect::<Vec<u8>>().into();
    }
    false
}

/// Decodes each run of base64 symbols from each of its first four positions, so
/// that a key inside a longer encoded text is found at any alignment.
fn base64_decodings(text: &[u8], min_bytes: usize) -> SmallVec<[Vec<u8>; 4]> {
    let mut decodings = SmallVec::new();
    for run in text.split(|b| !is_base64_symbol(*b)) {
        if decoded_len(run) < min_bytes {
            continue;
        }
        // The URL-safe alphabet is mapped to the standard one.
        let run: SmallVec<[u8; 128]> = run.iter().map(|b| to_standard_alphabet(*b)).collect();
        for start in 0..BASE64_QUANTUM_SYMBOLS.min(run.len()) {
            let run = &run[start..];
            // A single trailing symbol does not encode a complete byte.
            let partial = usize::from(run.len() % BASE64_QUANTUM_SYMBOLS == 1);
            let run = &run[..run.len() - partial];
            if decoded_len(run) < min_bytes {
                continue;
            }
            decodings.extend(LENIENT_BASE64.decode(run));
        }
    }
    decodings
}

fn decoded_len(run: &[u8]) -> usize {
    run.len() * 3 / BASE64_QUANTUM_SYMBOLS
}

fn is_base64_symbol(b: u8) -> bool {
    b.is_ascii_alphanumeric() || matches!(b, b'+' | b'/' | b'-' | b'_')
}

fn to_standard_alphabet(b: u8) -> u8 {
    match b {
        b'-' => b'+',
        b'_' => b'/',
        other => other,
    }
}
