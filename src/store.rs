//! The interface to the platform's object store.
//!
//! Production code accesses the platform only through [`ObjectStore`].

pub mod counted;
pub mod http;

use std::{
    future::Future,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    error::StoreError,
    util::id::{
        HostName,
        Version,
        ZoneName, //
    },
};

/// The value of an object and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The version that the write of this value was given.
    pub version: Version,
    /// The value, at most one megabyte.
    pub value: Bytes,
}

/// The precondition of a write; if it does not hold, the write fails with
/// [`StoreError::Conflict`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object's current version must be this one.
    At(Version),
}

/// The latest version of an object, as listed or as reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The object's key.
    pub key: String,
    /// The object's current version.
    pub version: Version,
}

/// The result of a watch: the changes after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The changed objects, oldest first.
    pub changes: Vec<Change>,
    /// The store's version when it answered, from which to watch next.
    pub version: Version,
}

/// The state of an entry host in the platform's host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The host is running.
    Live,
    /// The platform is about to stop the host.
    Leaving,
}

/// An entry host in the platform's host list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The host's unique name.
    pub name: HostName,
    /// The availability zone that the host runs in.
    pub zone: ZoneName,
    /// The address on which it accepts callers.
    pub callers: SocketAddr,
    /// The address on which it accepts other entry hosts.
    pub peers: SocketAddr,
    /// Whether the platform is about to stop it.
    pub state: ListedState,
}

/// The platform's object API.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object, `None` if it does not exist; the result may be stale.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Writes an object under a condition and returns its new version.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> impl Future<Output = Result<Version, StoreError>> + Send;

    /// Lists the objects whose keys start with a prefix, with their versions.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Change>, StoreError>> + Send;

    /// Waits up to `wait` for changes after a version to objects whose keys start
    /// with a prefix.
    fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Reads the platform's list of entry hosts.
    fn hosts(&self) -> impl Future<Output = Result<Vec<ListedHost>, StoreError>> + Send;
}
