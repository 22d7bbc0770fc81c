//! Publication of configuration sets through the platform's object store.
//!
//! A set is cut into immutable chunks named by their digest. One head object
//! names the generation in force and its chunks; a conditional update of the
//! head puts the next generation in force.

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

/// The tries of one call to the store.
const ATTEMPTS: u32 = 6;
/// The pause after the first failed try; it doubles from try to try.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// A failure to publish or to read a configuration set.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PublishError {
    /// The set is faulty; nothing was published.
    #[error("{0}")]
    Faulty(Faults),
    /// Another operator published first; nothing of this set is in force.
    #[error("generation {now} is in force in place of {expected}; nothing was published: {}", Changed(.changes))]
    Conflict {
        /// The generation that the set was meant to follow.
        expected: Generation,
        /// The generation in force.
        now: Generation,
        /// What the other operators changed, where their sets could be read.
        changes: Option<Vec<Difference>>,
    },
    /// The store's answers do not tell whether the set was published.
    #[error(
        "the outcome of write {id} is unknown ({cause}); repeat it with the same write id, \
         which publishes it at most once"
    )]
    Unknown {
        /// The write's id.
        id: WriteId,
        /// The last failure.
        cause: StoreError,
    },
    /// The write id stands for another set.
    #[error("write {0} was for another set; publish this one with a fresh write id")]
    WriteIdReused(WriteId),
    /// The store did not do what was asked; nothing was published.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// An object in the store cannot be read.
    #[error("object {key:?} in the store could not be read ({cause}); publish the set again")]
    Malformed {
        /// The object's key.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
    /// A chunk does not have the content that its name stands for.
    #[error("object {0:?} in the store is missing or altered; publish the set again")]
    ChunkLost(String),
    /// The set was published by a program with another format.
    #[error("the set in force has schema {0}; use the program of that release")]
    Schema(u32),
    /// One value would be larger than the store accepts.
    #[error("object {key:?} would have {bytes} bytes of at most {most}; split its largest objects")]
    TooLarge {
        /// The object's key.
        key: String,
        /// Its size.
        bytes: usize,
        /// The largest size.
        most: usize,
    },
}

impl PublishError {
    /// Returns the error of an object that cannot be read.
    pub(crate) fn malformed(key: &str, cause: &dyn ToString) -> Self {
        Self::Malformed {
            key: key.to_owned(),
            cause: cause.to_string(),
        }
    }
}

struct Changed<'a>(&'a Option<Vec<Difference>>);

impl std::fmt::Display for Changed<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Some(changes) = self.0 else {
            return write!(f, "run `cardamomroad get` to see it, then apply again");
        };
        write!(f, "the others changed")?;
        for change in changes {
            write!(f, "\n  {change}")?;
        }
        write!(f, "\nmerge these, then apply again")
    }
}

/// The head and the version that it was read at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadAt {
    /// The head.
    pub head: Head,
    /// The head object's version.
    pub version: Version,
}

/// Reads the head; the answer may be stale.
pub async fn read_head<S: ObjectStore>(store: &S) -> Result<Option<HeadAt>, PublishError> {
    let Some(object) = read(store, HEAD_KEY).await? else {
        return Ok(None);
    };
    Ok(Some(HeadAt {
        head: Head::decode(&object.value)?,
        version: object.version,
    }))
}

/// Writes the head back unchanged, which succeeds only on the current version.
/// Returns `None` where there is no head.
pub async fn confirm<S: ObjectStore>(
    store: &S,
    asked: Version,
) -> Result<Option<Confirmation>, StoreError> {
    let Some(object) = store.get(HEAD_KEY).await? else {
        return Ok(None);
    };
    if object.version != asked {
        let current = Some(object.version);
        return Ok(Some(Confirmation::NotCurrent { current }));
    }
    let put = store.put(HEAD_KEY, object.value, Condition::At(asked));
    match put.await {
        Ok(new) => Ok(Some(Confirmation::Current { new })),
        Err(StoreError::Conflict { current, .. }) => Ok(Some(Confirmation::NotCurrent { current })),
        Err(e) => Err(e),
    }
}

/// Reads an object, more than once where the store does not answer.
async fn read<S: ObjectStore>(store: &S, key: &str) -> Result<Option<Object>, StoreError> {
    let mut pauses = Pauses::default();
    loop {
        match store.get(key).await {
            Err(e) if !pauses.wait().await => return Err(e),
            Err(_) => (),
            answer => return answer,
        }
    }
}

/// Reads an object until it is at least at a version, because reads may be stale.
async fn read_since<S: ObjectStore>(
    store: &S,
    key: &str,
    version: Option<Version>,
) -> Result<Option<Object>, StoreError> {
    let mut pauses = Pauses::default();
    loop {
        let object = read(store, key).await?;
        let at = object.as_ref().map(|object| object.version);
        if at >= version || !pauses.wait().await {
            return Ok(object);
        }
    }
}

/// The pauses between the tries of one call.
#[derive(Default)]
struct Pauses(u32);

impl Pauses {
    /// Waits before the next try; returns `false` where there is none.
    async fn wait(&mut self) -> bool {
        self.0 += 1;
        if self.0 >= ATTEMPTS {
            return false;
        }
        time::sleep(FIRST_PAUSE * (1 << (self.0 - 1))).await;
        true
    }
}
