//! What a lease's record holds, and what its owner is told to do.

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

/// The number of a holding; each new holder has a larger one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// The lease's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The host that holds the lease, or released it.
    pub holder: HostName,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// The number of the holding.
    pub term: Term,
    /// Counts the holder's writes, so that it knows its own write when it reads it back.
    pub write: u64,
    /// How long the holding lasts after each write, in milliseconds; zero once released.
    pub duration_ms: u64,
}

/// What the owner of a [`Lease`](crate::lease::Lease) does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing before this instant, but to read the record now and then.
    Wait {
        /// When to decide again.
        until: Instant,
    },
    /// Read the record and report it by [`crate::lease::Lease::observe`].
    Read,
    /// Write the record to take the lease; report it by [`crate::lease::Lease::answer`].
    Acquire {
        /// The record to write.
        record: LeaseRecord,
        /// The condition of the write.
        condition: Condition,
    },
    /// Write the record to keep the lease; report it by [`crate::lease::Lease::answer`].
    Renew {
        /// The record to write.
        record: LeaseRecord,
        /// The condition of the write.
        condition: Condition,
    },
    /// Act on the lease until this instant.
    Hold {
        /// When to decide again.
        until: Instant,
    },
    /// Stop acting; the lease ran out or was taken.
    Lost,
}

/// Refuses published objects that carry a lower term than one seen before.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    highest_term: Term,
}

impl Fence {
    /// Tells whether an object of this term may be taken in, and remembers the term.
    pub fn admit(&mut self, term: Term) -> bool {
        if term < self.highest_term {
            return false;
        }
        self.highest_term = term;
        true
    }
}
