//! The objects and their recent versions.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use bytes::Bytes;
use cardamomroad::{
    store::{
        Change,
        Changes,
        Condition,
        Object, //
    },
    util::id::Version,
};
use thiserror::Error;

use super::switches::Stale;

/// The number of most recent versions of an object that [`Stale`] reads can return.
const HISTORY_VERSIONS: usize = 16;

/// A conditional write failed because its condition does not match the current version.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("object {key:?} is now at {current:?}; read it again")]
pub struct WriteConflict {
    /// The key of the object.
    pub key: String,
    /// The current version of the object; `None` if it does not exist.
    pub current: Option<Version>,
}

/// All objects, with a single version counter for the whole store.
#[derive(Debug, Default)]
pub(super) struct Objects {
    version: Version,
    by_key: BTreeMap<String, VecDeque<Object>>,
}

impl Objects {
    pub(super) fn version(&self) -> Version {
        self.version
    }

    pub(super) fn get(&self, key: &str, stale: Option<Stale>) -> Option<Object> {
        visible(self.by_key.get(key)?, stale).cloned()
    }

    pub(super) fn put(
        &mut self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Version, WriteConflict> {
        let history = self.by_key.get(key);
        let current = history.and_then(|h| h.back()).map(|o| o.version);
        let allowed = match condition {
            Condition::Absent => current.is_none(),
            Condition::At(version) => current == Some(version),
        };
        if !allowed {
            return Err(WriteConflict {
                key: key.to_owned(),
                current,
            });
        }
        self.version = Version(self.version.0 + 1);
        let version = self.version;
        let history = self.by_key.entry(key.to_owned()).or_default();
        history.push_back(Object { version, value });
        if history.len() > HISTORY_VERSIONS {
            history.pop_front();
        }
        Ok(version)
    }

    /// Returns the visible changes under a prefix after a version, sorted by version.
    pub(super) fn changes(
        &self,
        prefix: &str,
        after: Version,
        stale: impl Fn(&str) -> Option<Stale>,
    ) -> Changes {
        let mut changes = Vec::new();
        let mut version = self.version;
        for (key, history) in self.by_key.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            let stale = stale(key);
            if let Some(Stale::At(frozen)) = stale {
                version = version.min(frozen);
            }
            let Some(object) = visible(history, stale) else {
                continue;
            };
            if object.version <= after {
                continue;
            }
            changes.push(Change {
                key: key.clone(),
                version: object.version,
            });
        }
        changes.sort_by_key(|c| c.version);
        Changes { changes, version }
    }
}

/// Returns the version of an object that reads return under a staleness fault.
fn visible(history: &VecDeque<Object>, stale: Option<Stale>) -> Option<&Object> {
    match stale {
        None => history.back(),
        Some(Stale::Previous) => history.iter().rev().nth(1).or(history.back()),
        Some(Stale::At(version)) => history.iter().rev().find(|o| o.version <= version),
    }
}
