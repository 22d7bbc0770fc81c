//! Bytes that a process holds in memory for its clients and upstreams.
//!
//! Bytes from a peer are counted before they are kept, so that many peers together cannot make the
//! process exceed the memory of its machine.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

/// The bytes that are held by all holders, and the most that there may be.
#[derive(Clone, Debug)]
pub struct HeldBytes {
    total: Arc<AtomicU64>,
    max: Arc<AtomicU64>,
}

impl Default for HeldBytes {
    /// Counts bytes without a limit.
    fn default() -> Self {
        Self::new(u64::MAX)
    }
}

impl HeldBytes {
    /// Creates the count of a process that may hold `max` bytes.
    pub fn new(max: u64) -> Self {
        Self {
            total: Arc::default(),
            max: Arc::new(AtomicU64::new(max)),
        }
    }

    /// Returns the number of bytes that are held.
    pub fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that may be held.
    pub fn max(&self) -> u64 {
        self.max.load(Ordering::Relaxed)
    }

    /// Changes the number of bytes that may be held.
    pub fn set_max(&self, max: u64) {
        self.max.store(max, Ordering::Relaxed);
    }

    /// Returns whether no more bytes may be held.
    pub fn is_full(&self) -> bool {
        self.total() >= self.max()
    }

    /// Counts bytes until they are subtracted.
    pub fn add(&self, bytes: u64) {
        self.total.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Stops counting bytes.
    pub fn subtract(&self, bytes: u64) {
        self.total.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Returns a new holder, which holds nothing yet.
    pub fn holder(&self) -> Holder {
        Holder {
            all: self.clone(),
            bytes: 0,
        }
    }
}

/// One holder of bytes. They no longer count once it is dropped.
#[derive(Debug)]
pub struct Holder {
    all: HeldBytes,
    bytes: u64,
}

impl Holder {
    /// Changes the number of bytes that it holds; returns whether all holders together are within
    /// the limit.
    pub fn set(&mut self, bytes: u64) -> bool {
        self.all.add(bytes);
        self.all.subtract(self.bytes);
        self.bytes = bytes;
        !self.all.is_full()
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.all.subtract(self.bytes);
    }
}
