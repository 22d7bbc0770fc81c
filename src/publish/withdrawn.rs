//! The stored set of withdrawn API keys, which only grows.

use std::collections::BTreeSet;

use bytes::{
    Bytes,
    BytesMut, //
};

use crate::{
    error::StoreError,
    publish::{
        Backoff,
        PublishError,
        read_at_least, //
    },
    store::{
        Condition,
        ObjectStore, //
    },
    util::id::KeyDigest,
};

/// The store's key of the object with the withdrawn API keys.
pub const WITHDRAWN_KEY: &str = "cardamomroad/withdrawn";
/// The maximum size of that object.
const WITHDRAWN_MAX_BYTES: usize = 960 << 10;
/// The size of a key digest.
const DIGEST_BYTES: usize = 32;

/// The digests of all withdrawn keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WithdrawnKeys(BTreeSet<KeyDigest>);

impl WithdrawnKeys {
    /// Adds a key; returns `false` if it was already withdrawn.
    pub fn insert(&mut self, digest: KeyDigest) -> bool {
        self.0.insert(digest)
    }

    /// Returns whether a key was withdrawn.
    pub fn contains(&self, digest: &KeyDigest) -> bool {
        self.0.contains(digest)
    }

    /// Adds all keys of another set; returns those that this set did not contain.
    pub fn merge(&mut self, other: &Self) -> Vec<KeyDigest> {
        let new: Vec<_> = other.0.difference(&self.0).copied().collect();
        self.0.extend(&new);
        new
    }

    /// Returns the digests in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = &KeyDigest> {
        self.0.iter()
    }

    /// Returns the number of withdrawn keys.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no key was withdrawn.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Encodes the set for the store: the raw digests in ascending order.
    pub fn encode(&self) -> Bytes {
        let mut buf = BytesMut::with_capacity(self.0.len() * DIGEST_BYTES);
        for digest in &self.0 {
            buf.extend_from_slice(digest.as_bytes());
        }
        buf.freeze()
    }

    /// Decodes the set from its value in the store.
    pub fn decode(bytes: &[u8]) -> Result<Self, PublishError> {
        let (digests, rest) = bytes.as_chunks::<DIGEST_BYTES>();
        if !rest.is_empty() {
            let cause = format!(
                "its length of {} bytes is not a multiple of the digest size",
                bytes.len()
            );
            return Err(PublishError::malformed(WITHDRAWN_KEY, &cause));
        }
        let digests = digests.iter().map(|digest| KeyDigest::from_bytes(*digest));
        Ok(Self(digests.collect()))
    }
}

/// Reads the withdrawn keys; the result may be stale.
pub async fn read_withdrawn<S: ObjectStore>(store: &S) -> Result<WithdrawnKeys, PublishError> {
    let object = read_at_least(store, WITHDRAWN_KEY, None).await?;
    object.map_or_else(
        || Ok(WithdrawnKeys::default()),
        |o| WithdrawnKeys::decode(&o.value),
    )
}

/// Withdraws a key permanently; returns `false` if it was already withdrawn.
pub async fn withdraw_key<S: ObjectStore>(
    store: &S,
    digest: KeyDigest,
) -> Result<bool, PublishError> {
    let mut backoff = Backoff::default();
    let mut min_version = None;
    let mut maybe_written = false;
    loop {
        let object = read_at_least(store, WITHDRAWN_KEY, min_version).await?;
        let value = object.as_ref().map(|object| &object.value[..]);
        let mut withdrawn = WithdrawnKeys::decode(value.unwrap_or_default())?;
        if !withdrawn.insert(digest) {
            return Ok(maybe_written);
        }
        let value = withdrawn.encode();
        if value.len() > WITHDRAWN_MAX_BYTES {
            return Err(PublishError::TooLarge {
                key: WITHDRAWN_KEY.to_owned(),
                bytes: value.len(),
                max_bytes: WITHDRAWN_MAX_BYTES,
            });
        }
        let condition = object.map_or(Condition::Absent, |o| Condition::At(o.version));
        match store.put(WITHDRAWN_KEY, value, condition).await {
            Ok(_) => return Ok(true),
            Err(StoreError::Conflict { current, .. }) => min_version = current,
            Err(e @ StoreError::Refused { .. }) if !backoff.wait().await => return Err(e.into()),
            Err(StoreError::Refused { .. }) => (),
            Err(e) => {
                maybe_written = true;
                if !backoff.wait().await {
                    return Err(e.into());
                }
            }
        }
    }
}
