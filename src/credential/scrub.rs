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
const PERCENT_DEPTH: usize = 2;
/// Shorter words are not looked up as keys.
const WORD_MIN_BYTES: usize = 8;
/// Longer words are not looked up as keys.
const WORD_MAX_BYTES: usize = 512;
/// Bytes that separate words in a head.
const SEPARATORS: &[u8] = b"/?&=;, \"";
/// Symbols of a base64 quantum.
const QUANTUM: usize = 4;
const BASE64: GeneralPurpose = GeneralPurpose::new(
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
    Several,
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
    let key = presented(&headers)?;
    for name in [AUTHORIZATION, PROXY_AUTHORIZATION] {
        headers.remove(name);
    }
    headers.remove(wire::KEY);

    let target = target_bytes(uri);
    if holds_key(&target, key.as_ref(), &is_key) {
        return Err(KeyExposed::Target);
    }
    for (name, value) in &headers {
        if header_holds_key(name, value, key.as_ref(), &is_key) {
            return Err(KeyExposed::Header);
        }
    }
    Ok(ScrubbedHead { key, headers })
}

/// Tells whether headers, such as trailers, hold a presented key or carry one.
pub fn exposes(headers: &HeaderMap, key: Option<&PresentedKey>) -> bool {
    for (name, value) in headers {
        if carries_key(name) || header_holds_key(name, value, key, &|_| false) {
            return true;
        }
    }
    false
}

/// Returns the one key that is presented, if any.
fn presented(headers: &HeaderMap) -> Result<Option<PresentedKey>, KeyExposed> {
    let bearer = headers.get_all(AUTHORIZATION).iter().filter_map(bearer);
    let plain = headers.get_all(wire::KEY).iter().map(HeaderValue::as_bytes);
    let mut key: Option<&[u8]> = None;
    for next in bearer.chain(plain) {
        let next = next.trim_ascii();
        if next.is_empty() || key == Some(next) {
            continue;
        }
        if key.is_some() {
            return Err(KeyExposed::Several);
        }
        key = Some(next);
    }
    Ok(key.map(|k| PresentedKey(Bytes::copy_from_slice(k))))
}

fn bearer(value: &HeaderValue) -> Option<&[u8]> {
    let (scheme, key) = value.as_bytes().split_at_checked("bearer ".len())?;
    scheme.eq_ignore_ascii_case(b"bearer ").then_some(key)
}

fn carries_key(name: &HeaderName) -> bool {
    name == AUTHORIZATION || name == PROXY_AUTHORIZATION || name.as_str() == wire::KEY
}

fn target_bytes(uri: &Uri) -> Bytes {
    let authority = uri.authority().map_or("", |a| a.as_str());
    let rest = uri.path_and_query().map_or("", |p| p.as_str());
    Bytes::from([authority, rest].join("/"))
}

fn header_holds_key(
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
        return holds_key(value, key, is_key);
    }
    if key.is_some_and(|k| any_form(value, k.0.len(), &|form| contains(form, &k.0))) {
        return true;
    }
    // Most words of other headers are dates, types and the like; of these only
    // the whole value and what follows a scheme are looked up.
    let last = value.rsplit(|b| *b == b' ').next().unwrap_or(value);
    word_is_key(value, is_key) || (last.len() < value.len() && word_is_key(last, is_key))
}

fn holds_key(
    text: &[u8],
    key: Option<&PresentedKey>,
    is_key: &impl Fn(&KeyDigest) -> bool,
) -> bool {
    let shortest = key.map_or(WORD_MIN_BYTES, |k| k.0.len().min(WORD_MIN_BYTES));
    any_form(text, shortest, &|form| {
        if key.is_some_and(|k| contains(form, &k.0)) {
            return true;
        }
        let mut words = form.split(|b| SEPARATORS.contains(b));
        words.any(|w| word_is_key(w, is_key))
    })
}

fn word_is_key(word: &[u8], is_key: &impl Fn(&KeyDigest) -> bool) -> bool {
    let length = WORD_MIN_BYTES..=WORD_MAX_BYTES;
    length.contains(&word.len()) && is_key(&KeyDigest::of(word))
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    memmem::find(text, part).is_some()
}

/// Applies a test to a text as it is, percent-decoded, and decoded from base64.
/// Nothing shorter than `shortest` bytes is decoded from base64.
fn any_form(text: &[u8], shortest: usize, test: &impl Fn(&[u8]) -> bool) -> bool {
    let mut text = std::borrow::Cow::Borrowed(text);
    for _ in 0..=PERCENT_DEPTH {
        if test(&text) || base64_forms(&text, shortest).iter().any(|form| test(form)) {
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
fn base64_forms(text: &[u8], shortest: usize) -> SmallVec<[Vec<u8>; 4]> {
    let mut forms = SmallVec::new();
    for run in text.split(|b| !is_base64(*b)) {
        if decoded_bytes(run) < shortest {
            continue;
        }
        // Both alphabets are read as the standard one.
        let run: SmallVec<[u8; 128]> = run.iter().map(|b| to_standard(*b)).collect();
        for start in 0..QUANTUM.min(run.len()) {
            let run = &run[start..];
            // A single symbol at the end holds no whole byte.
            let spare = usize::from(run.len() % QUANTUM == 1);
            let run = &run[..run.len() - spare];
            if decoded_bytes(run) < shortest {
                continue;
            }
            forms.extend(BASE64.decode(run));
        }
    }
    forms
}

fn decoded_bytes(run: &[u8]) -> usize {
    run.len() * 3 / QUANTUM
}

fn is_base64(b: u8) -> bool {
    b.is_ascii_alphanumeric() || matches!(b, b'+' | b'/' | b'-' | b'_')
}

fn to_standard(b: u8) -> u8 {
    match b {
        b'-' => b'+',
        b'_' => b'/',
        other => other,
    }
}
