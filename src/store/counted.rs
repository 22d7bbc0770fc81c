//! Counts the calls to the platform's object store.

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

/// The number of calls made so far. A watch counts as one call, however long it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that read an object, a list of keys or the host list.
    pub reads: u64,
    /// Conditional writes, whether they succeeded or not.
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
}

/// Wraps an [`ObjectStore`] and counts the calls to it.
#[derive(Debug, Default)]
pub struct CountedStore<S> {
    store: S,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl<S> CountedStore<S> {
    /// Wraps a store, with all counts at zero.
    pub fn new(store: S) -> Self {
        Self {
            store,
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
        }
    }

    /// Returns the counts of the calls made so far.
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
