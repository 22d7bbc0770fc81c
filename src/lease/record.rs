//! The stored lease record, the actions of a lease, and the fence against lower terms.

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use crate::{
    store::Condition,
    util::id::{
        HostName,
        Incarnation, //
    },
};

/// The number of a lease term. It increases each time a host acquires the lease.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// The lease record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The host that holds the lease, or released it.
    pub holder: HostName,
    /// The incarnation of the process that wrote the record.
    pub incarnation: Incarnation,
    /// The term of the holder.
    pub term: Term,
    /// Counts the holder's writes, so that it recognises its own write in a later read.
    pub write: u64,
    /// How long the lease lasts after this write, in milliseconds; zero once released.
    pub duration_ms: u64,
}

/// The next action for the owner of a [`Lease`](crate::lease::Lease).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Do nothing until this instant.
    Wait {
        /// When to call [`crate::lease::Lease::decide`] again.
        until: Instant,
    },
    /// Read the record and pass it to [`crate::lease::Lease::observe`].
    Read,
    /// Write the record to acquire the lease and pass the result to
    /// [`crate::lease::Lease::answer`].
    Acquire {
        /// The new record.
        record: LeaseRecord,
        /// The version that the stored record must have.
        condition: Condition,
    },
    /// Write the record to renew the lease and pass the result to
    /// [`crate::lease::Lease::answer`].
    Renew {
        /// The new record.
        record: LeaseRecord,
        /// The version that the stored record must have.
        condition: Condition,
    },
    /// The lease is held; no store call is due until this instant.
    Hold {
        /// When to call [`crate::lease::Lease::decide`] again.
        until: Instant,
    },
    /// The lease expired or was taken; stop the work that depends on it.
    Lost,
}

/// Rejects published objects whose term is lower than the highest seen so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    highest_term: Term,
}

impl Fence {
    /// Returns whether an object of this term may be accepted, and records the term if so.
    pub fn admit(&mut self, term: Term) -> bool {
        if term < self.highest_term {
            return false;
        }
        self.highest_term = term;
        true
    }
}
