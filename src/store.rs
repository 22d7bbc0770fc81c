//! The edge to the platform's object store.
//!
//! Production code reaches the platform only through [`ObjectStore`].

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

/// An object and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The version that this value was written at.
    pub version: Version,
    /// The value, at most one megabyte.
    pub value: Bytes,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must be at this version.
    At(Version),
}

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The changed object's key.
    pub key: String,
    /// Its new version.
    pub version: Version,
}

/// The changes after a version, and the version to watch from next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The changed objects, oldest first.
    pub changes: Vec<Change>,
    /// The store's version when it answered.
    pub version: Version,
}

/// The state of an entry host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The platform runs the host.
    Live,
    /// The platform is going to stop the host.
    Leaving,
}

/// An entry host in the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The host's name.
    pub name: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other entry hosts reach it.
    pub peers: SocketAddr,
    /// Its state.
    pub state: ListedState,
}

/// The platform's object API.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; the answer may be stale.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Writes an object under a condition and returns its new version.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> impl Future<Output = Result<Version, StoreError>> + Send;

    /// Lists the keys that start with a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Change>, StoreError>> + Send;

    /// Waits at most `wait` for changes under a prefix after a version.
    fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Reads the platform's list of entry hosts.
    fn hosts(&self) -> impl Future<Output = Result<Vec<ListedHost>, StoreError>> + Send;
}
