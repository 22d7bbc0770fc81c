//! Takes the caller's key out of a request's head.
//!
//! The headers that carry keys are dropped whole. What is passed on is searched
//! for the presented key, as it is, percent-encoded and in base64, and for any
//! other configured key in the places where callers tend to put one: query,
//! path, cookies and whole header values.

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

/// How often percent-encoding may be nested.
const MAX_PERCENT_DECODINGS: usize = 2;
/// Shorter words are not looked up as keys.
const TOKEN_MIN_BYTES: usize = 8;
/// Longer words are not looked up as keys.
const TOKEN_MAX_BYTES: usize = 512;
/// Bytes that separate words in a head.
const SEPARATORS: &[u8] = b"/?&=;, \"";
/// Symbols of a base64 quantum.
const BASE64_QUANTUM_SYMBOLS: usize = 4;
const LENIENT_BASE64: GeneralPurpose = GeneralPurpose::new(
    &alphabet::STANDARD,
    GeneralPurposeConfig::new()
        .with_encode_padding(false)
        .with_decode_allow_trailing_bits(true)
        .with_decode_padding_mode(base64::engine::DecodePaddingMode::Indifferent),
);

/// A key as the caller presented it. Its `Debug` does not show it.
#[derive(Clone, PartialEq, Eq)]
pub struct PresentedKey(Bytes);

impl PresentedKey {
    /// Returns the key's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the key's digest.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(&self.0)
    }
}

impl std::fmt::Debug for PresentedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PresentedKey(..)")
    }
}

/// Where a key stands in the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyExposed {
    /// In the path or the query.
    #[error("a key stands in the request's target; send it in the authorization header only")]
    Target,
    /// In a header that is passed on.
    #[error("a key stands in a header that upstreams see; send it in authorization only")]
    Header,
    /// Different keys are presented.
    #[error("the request presents more than one key; send one")]
    MultipleKeys,
}

/// A head without any key.
#[derive(Clone, Debug)]
pub struct ScrubbedHead {
    /// The key that was presented.
    pub key: Option<PresentedKey>,
    /// The headers without those that carry keys.
    pub headers: HeaderMap,
}

/// Takes the key out of a head. `is_key` tells whether a digest is that of a configured key.
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

/// Tells whether headers, such as trailers, hold a presented key or carry one.
pub fn exposes_key(headers: &HeaderMap, key: Option<&PresentedKey>) -> bool {
    for (name, value) in headers {
        if is_key_header(name) || header_contains_key(name, value, key, &|_| false) {
            return true;
        }
    }
    false
}

/// Returns the one key that is presented, if any.
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
    // Most words of other headers are dates, types and the like; of these only
    // the whole value and what follows a scheme are looked up.
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

/// Applies a test to a text as it is, percent-decoded, and decoded from base64.
/// Nothing shorter than `shortest` bytes is decoded from base64.
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
/// that a key inside a longer text is found too.
fn base64_decodings(text: &[u8], min_bytes: usize) -> SmallVec<[Vec<u8>; 4]> {
    let mut decodings = SmallVec::new();
    for run in text.split(|b| !is_base64_symbol(*b)) {
        if decoded_len(run) < min_bytes {
            continue;
        }
        // Both alphabets are read as the standard one.
        let run: SmallVec<[u8; 128]> = run.iter().map(|b| to_standard_alphabet(*b)).collect();
        for start in 0..BASE64_QUANTUM_SYMBOLS.min(run.len()) {
            let run = &run[start..];
            // A single symbol at the end holds no whole byte.
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
