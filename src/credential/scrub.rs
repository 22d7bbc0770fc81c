//! Takes the caller's key out of a request's head.

use bytes::Bytes;
use hyper::{
    HeaderMap,
    Uri, //
};
use thiserror::Error;

use crate::util::id::KeyDigest;

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
    #[error("the key stands in the request's target; send it in the authorization header only")]
    Target,
    /// In a header that is passed on.
    #[error("the key stands in a header that upstreams see; send it in authorization only")]
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
    /// The headers without the key.
    pub headers: HeaderMap,
}

/// Takes the key out of a head. `is_key` tells whether a digest is a configured key.
pub fn scrub(
    uri: &Uri,
    headers: HeaderMap,
    is_key: impl Fn(&KeyDigest) -> bool,
) -> Result<ScrubbedHead, KeyExposed> {
    let _ = (uri, headers, is_key, PresentedKey(Bytes::new()));
    todo!("scrub")
}

/// Tells whether headers, such as trailers, hold a presented key.
pub fn exposes(headers: &HeaderMap, key: &PresentedKey) -> bool {
    let _ = (headers, key);
    todo!("exposes")
}
