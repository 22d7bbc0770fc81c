//! Publication of configuration sets through the platform's object store.
//!
//! A set is split into immutable chunks, stored under their SHA-256 digests. A
//! single head object names the current generation and its chunks. A
//! conditional update of the head makes the next generation current.

pub mod apply;
pub mod chunk;
pub mod head;
pub mod reader;
pub mod withdrawn;

use std::time::Duration;

use thiserror::Error;
use tokio::time;

use crate::{
    adoption::Confirmation,
    config::{
        check::Faults,
        difference::Difference, //
    },
    error::StoreError,
    publish::head::{
        HEAD_KEY,
        Head,
        WriteId, //
    },
    store::{
        Condition,
        Object,
        ObjectStore, //
    },
    util::id::{
        Generation,
        Version, //
    },
};

/// How often one call to the store is attempted.
const MAX_ATTEMPTS: u32 = 6;
/// The pause after the first failed attempt; it doubles after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// A failure to publish or to read a configuration set.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PublishError {
    /// The set is invalid; nothing was published.
    #[error("{0}")]
    Invalid(Faults),
    /// Another operator published first; this set was not published.
    #[error("generation {current} is in force in place of {expected}; nothing was published: {}", ChangeSummary(.changes))]
    Conflict {
        /// The generation that this set was based on.
        expected: Generation,
        /// The generation that is current instead.
        current: Generation,
        /// The differences between the two generations, if both sets could be read.
        changes: Option<Vec<Difference>>,
    },
    /// Whether the set was published could not be determined.
    #[error(
        "the outcome of write {id} is unknown ({cause}); repeat it with the same write id, \
         which publishes it at most once"
    )]
    OutcomeUnknown {
        /// The id to repeat the write with.
        id: WriteId,
        /// The failure of the last attempt.
        cause: StoreError,
    },
    /// The write id was already used for a different set.
    #[error(
        "write id {0} was already used for a different set; publish this one with a new write id"
    )]
    WriteIdReused(WriteId),
    /// The store failed or refused the call; nothing was published.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// An object in the store cannot be decoded.
    #[error("object {key:?} in the store could not be read ({cause}); publish the set again")]
    Malformed {
        /// The object's key in the store.
        key: String,
        /// Why decoding failed.
        cause: String,
    },
    /// A chunk is missing, or its content does not match its digest. The value is
    /// the chunk's key.
    #[error("object {0:?} in the store is missing or altered; publish the set again")]
    ChunkLost(String),
    /// The current set was published in a format that this release does not know.
    #[error(
        "the set in force has schema {0}, which this release cannot read; \
         use the release that published it"
    )]
    Schema(u32),
    /// An object would exceed the size limit for its kind.
    #[error(
        "object {key:?} would have {bytes} bytes, over the limit of {max_bytes}; \
         split its largest objects"
    )]
    TooLarge {
        /// The object's key in the store.
        key: String,
        /// The size of the encoded value.
        bytes: usize,
        /// The size limit.
        max_bytes: usize,
    },
}

impl PublishError {
    /// Returns the error for an object that cannot be decoded.
    pub(crate) fn malformed(key: &str, cause: &dyn ToString) -> Self {
        Self::Malformed {
            key: key.to_owned(),
            cause: cause.to_string(),
        }
    }
}

struct ChangeSummary<'a>(&'a Option<Vec<Difference>>);

impl std::fmt::Display for ChangeSummary<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Some(changes) = self.0 else {
            return write!(f, "run `cardamomroad get` to see it, then apply again");
        };
        write!(f, "other operators changed")?;
        for change in changes {
            write!(f, "\n  {change}")?;
        }
        write!(f, "\nmerge these changes, then apply again")
    }
}

/// The head together with the object version at which it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedHead {
    /// The decoded head.
    pub head: Head,
    /// The head object's version, for a conditional update.
    pub version: Version,
}

/// Reads the head; the result may be stale. Returns `None` if nothing was
/// published yet.
pub async fn read_head<S: ObjectStore>(store: &S) -> Result<Option<VersionedHead>, PublishError> {
    let Some(object) = read_object(store, HEAD_KEY).await? else {
        return Ok(None);
    };
    Ok(Some(VersionedHead {
        head: Head::decode(&object.value)?,
        version: object.version,
    }))
}

/// Checks that `expected` is the current version of the head.
///
/// A read may be stale, so the head is written back unchanged under the
/// condition that it is still at that version. Returns `None` if there is no
/// head.
pub async fn confirm_head<S: ObjectStore>(
    store: &S,
    expected: Version,
) -> Result<Option<Confirmation>, StoreError> {
    let Some(object) = store.get(HEAD_KEY).await? else {
        return Ok(None);
    };
    if object.version != expected {
        let current = Some(object.version);
        return Ok(Some(Confirmation::NotCurrent { current }));
    }
    let put = store.put(HEAD_KEY, object.value, Condition::At(expected));
    match put.await {
        Ok(new) => Ok(Some(Confirmation::Current { new })),
        Err(StoreError::Conflict { current, .. }) => Ok(Some(Confirmation::NotCurrent { current })),
        Err(e) => Err(e),
    }
}

/// Reads an object, with retries after failed calls.
async fn read_object<S: ObjectStore>(store: &S, key: &str) -> Result<Option<Object>, StoreError> {
    let mut backoff = Backoff::default();
    loop {
        match store.get(key).await {
            Err(e) if !backoff.wait().await => return Err(e),
            Err(_) => (),
            result => return result,
        }
    }
}

/// Reads an object, and repeats the read while the result is older than
/// `version`, because reads may be stale. After the last attempt it returns
/// what it has.
async fn read_at_least<S: ObjectStore>(
    store: &S,
    key: &str,
    version: Option<Version>,
) -> Result<Option<Object>, StoreError> {
    let mut backoff = Backoff::default();
    loop {
        let object = read_object(store, key).await?;
        let at = object.as_ref().map(|object| object.version);
        if at >= version || !backoff.wait().await {
            return Ok(object);
        }
    }
}

/// Exponential backoff between the attempts of one call. Counts the failed attempts.
#[derive(Default)]
struct Backoff(u32);

impl Backoff {
    /// Waits before the next attempt; returns `false` if none is left.
    async fn wait(&mut self) -> bool {
        self.0 += 1;
        if self.0 >= MAX_ATTEMPTS {
            return false;
        }
        time::sleep(INITIAL_BACKOFF * (1 << (self.0 - 1))).await;
        true
    }
}
