//! The set of withdrawn keys, which only grows.

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

/// The key of the object with the withdrawn keys.
pub const WITHDRAWN_KEY: &str = "cardamomroad/withdrawn";
/// The largest value of that object.
const WITHDRAWN_MAX_BYTES: usize = 960 << 10;
/// The bytes of one digest.
const DIGEST_BYTES: usize = 32;

/// The digests of withdrawn keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Withdrawn(BTreeSet<KeyDigest>);

impl Withdrawn {
    /// Adds a key; returns whether it was new.
    pub fn insert(&mut self, digest: KeyDigest) -> bool {
        self.0.insert(digest)
    }

    /// Returns whether a key was withdrawn.
    pub fn contains(&self, digest: &KeyDigest) -> bool {
        self.0.contains(digest)
    }

    /// Adds all keys of another set; returns those that were new.
    pub fn merge(&mut self, other: &Self) -> Vec<KeyDigest> {
        let new: Vec<_> = other.0.difference(&self.0).copied().collect();
        self.0.extend(&new);
        new
    }

    /// Returns the withdrawn keys.
    pub fn iter(&self) -> impl Iterator<Item = &KeyDigest> {
        self.0.iter()
    }

    /// Returns how many keys were withdrawn.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no key was withdrawn.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the value in the store: the raw digests in order.
    pub fn encode(&self) -> Bytes {
        let mut buf = BytesMut::with_capacity(self.0.len() * DIGEST_BYTES);
        for digest in &self.0 {
            buf.extend_from_slice(digest.as_bytes());
        }
        buf.freeze()
    }

    /// Reads the value in the store.
    pub fn decode(bytes: &[u8]) -> Result<Self, PublishError> {
        let (digests, rest) = bytes.as_chunks::<DIGEST_BYTES>();
        if !rest.is_empty() {
            let cause = format!("its {} bytes are not whole digests", bytes.len());
            return Err(PublishError::malformed(WITHDRAWN_KEY, &cause));
        }
        let digests = digests.iter().map(|digest| KeyDigest::from_bytes(*digest));
        Ok(Self(digests.collect()))
    }
}

/// Reads the withdrawn keys; the answer may be stale.
pub async fn read_withdrawn<S: ObjectStore>(store: &S) -> Result<Withdrawn, PublishError> {
    let object = read_at_least(store, WITHDRAWN_KEY, None).await?;
    object.map_or_else(|| Ok(Withdrawn::default()), |o| Withdrawn::decode(&o.value))
}

/// Withdraws a key for good; returns whether it was in force until now.
pub async fn withdraw<S: ObjectStore>(store: &S, digest: KeyDigest) -> Result<bool, PublishError> {
    let mut backoff = Backoff::default();
    let mut min_version = None;
    let mut maybe_written = false;
    loop {
        let object = read_at_least(store, WITHDRAWN_KEY, min_version).await?;
        let value = object.as_ref().map(|object| &object.value[..]);
        let mut withdrawn = Withdrawn::decode(value.unwrap_or_default())?;
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
