//! A count of the calls to the platform's object store.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration,
};

use bytes::Bytes;

use crate::{
    error::StoreError,
    store::{
        Change,
        Changes,
        Condition,
        ListedHost,
        Object,
        ObjectStore, //
    },
    util::id::Version,
};

/// The calls made so far; a watch counts as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of objects, lists and hosts.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

/// A store whose calls are counted.
#[derive(Debug, Default)]
pub struct CountedStore<S> {
    store: S,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl<S> CountedStore<S> {
    /// Returns a store that counts the calls to another.
    pub fn new(store: S) -> Self {
        Self {
            store,
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
        }
    }

    /// Returns the calls made so far.
    pub fn calls(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
        }
    }
}

impl<S: ObjectStore> ObjectStore for CountedStore<S> {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.store.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Version, StoreError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.store.put(key, value, condition).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Change>, StoreError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.store.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.watches.fetch_add(1, Ordering::Relaxed);
        self.store.watch(prefix, after, wait).await
    }

    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.store.hosts().await
    }
}
