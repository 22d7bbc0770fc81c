//! Leases that the platform's store holds, by conditional updates.
//!
//! Pure: the owner reads and writes the store and reports what it saw. A holder
//! counts its lapse from before it asked; a taker waits a full duration and a
//! margin, on its own clock, in which the record did not change.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use crate::{
    chart::lease::LeaseState,
    error::StoreError,
    store::Condition,
    util::id::{
        HostName,
        Incarnation,
        Version, //
    },
};

/// How long a lease lasts.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// What a taker waits beyond the duration, for clocks that run at different rates.
pub const LEASE_MARGIN: Duration = Duration::from_secs(1);
/// A holder renews when this part of the duration has passed.
pub const RENEW_DIVISOR: u32 = 3;
/// How long a call to the store may take before its answer counts as lost.
pub const ASK_AGAIN: Duration = Duration::from_secs(2);

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

/// What the owner of a [`Lease`] does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing before this instant, but to read the record now and then.
    Wait {
        /// When to decide again.
        until: Instant,
    },
    /// Read the record and report it by [`Lease::observe`].
    Read,
    /// Write the record to take the lease; report it by [`Lease::answer`].
    Acquire {
        /// The record to write.
        record: LeaseRecord,
        /// The condition of the write.
        condition: Condition,
    },
    /// Write the record to keep the lease; report it by [`Lease::answer`].
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

/// One host's part in one lease.
#[derive(Clone, Debug)]
pub struct Lease {
    me: HostName,
    incarnation: Incarnation,
    state: LeaseState,
}

impl Lease {
    /// Creates the part of a host that does not hold the lease.
    pub fn new(me: HostName, incarnation: Incarnation) -> Self {
        Self {
            me,
            incarnation,
            state: LeaseState::Watching,
        }
    }

    /// Takes in what a read returned.
    pub fn observe(&mut self, now: Instant, read: Option<(Version, LeaseRecord)>) {
        let _ = (now, read, &self.me, self.incarnation);
        todo!("observe")
    }

    /// Returns what to do next. `Acquire` and `Renew` count from this instant.
    pub fn decide(&mut self, now: Instant) -> Action {
        let _ = (now, self.state);
        todo!("decide")
    }

    /// Takes in the answer to the last `Acquire` or `Renew`.
    pub fn answer(&mut self, now: Instant, answer: Result<Version, StoreError>) {
        let _ = (now, answer);
        todo!("answer")
    }

    /// Returns the term that this host may act under at this very instant.
    pub fn may_act(&self, now: Instant) -> Option<Term> {
        let _ = now;
        todo!("may_act")
    }

    /// Gives the lease up; returns the write that tells the others.
    pub fn release(&mut self, now: Instant) -> Option<(LeaseRecord, Condition)> {
        let _ = now;
        todo!("release")
    }
}

/// Refuses published objects that carry a lower term than one seen before.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    highest: Term,
}

impl Fence {
    /// Tells whether an object of this term may be taken in, and remembers the term.
    pub fn admit(&mut self, term: Term) -> bool {
        if term < self.highest {
            return false;
        }
        self.highest = term;
        true
    }
}
