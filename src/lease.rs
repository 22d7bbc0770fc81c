//! Leases that the platform's store holds, by conditional updates.
//!
//! Pure: the owner reads and writes the store and reports what it saw. A holder
//! counts its lapse from before it asked; a taker waits a full duration and a
//! margin, on its own clock, in which the record did not change.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    chart::lease::{
        LeaseEvent,
        LeaseState,
        chart, //
    },
    error::StoreError,
    store::Condition,
    util::id::{
        HostName,
        Incarnation,
        Version, //
    },
};

pub mod candidate;
pub mod record;

pub use record::{
    Action,
    Fence,
    LeaseRecord,
    Term, //
};

/// How long a lease lasts.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// What a taker waits beyond the duration, for clocks that run at different rates.
pub const LEASE_MARGIN: Duration = Duration::from_secs(1);
/// A holder renews when this part of the duration has passed.
pub const RENEW_DIVISOR: u32 = 3;
/// How long a call to the store may take before its answer counts as lost.
pub const RETRY_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct ObservedRecord {
    version: Version,
    record: LeaseRecord,
    first_seen: Instant,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    sent_at: Instant,
    record: LeaseRecord,
    /// Whether the answer is missing or says that the write's fate is unknown.
    outcome_unknown: bool,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    term: Term,
    version: Version,
    sent_at: Instant,
}

/// One host's part in one lease.
#[derive(Clone, Debug)]
pub struct Lease {
    host: HostName,
    incarnation: Incarnation,
    duration: Duration,
    state: LeaseState,
    /// The last read's record, and whether there was any read yet.
    seen: Option<ObservedRecord>,
    read: bool,
    pending: Option<PendingWrite>,
    held: Option<Held>,
    writes: u64,
    highest_term: Term,
    not_before: Option<Instant>,
    released: bool,
}

impl Lease {
    /// Creates the part of a host that does not hold the lease.
    pub fn new(host: HostName, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            duration: LEASE_DURATION,
            state: chart().initial(),
            seen: None,
            read: false,
            pending: None,
            held: None,
            writes: 0,
            highest_term: Term::default(),
            not_before: None,
            released: false,
        }
    }

    /// Sets how long this host's holding lasts after each write.
    pub fn with_duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Returns the state of this host's part.
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// Returns the term that this host may act under at this very instant.
    pub fn active_term(&self, now: Instant) -> Option<Term> {
        let held = self.held?;
        (now < held.sent_at + self.duration).then_some(held.term)
    }

    /// Takes in what a read returned. A version older than one seen before is ignored.
    pub fn observe(&mut self, now: Instant, read: Option<(Version, LeaseRecord)>) {
        self.read = true;
        self.not_before = None;
        self.step(LeaseEvent::Observed);
        let Some((version, record)) = read else {
            self.discard_unconfirmed_write();
            return;
        };
        self.highest_term = self.highest_term.max(record.term);
        let newest = self.seen.as_ref().map(|s| s.version);
        if newest.is_some_and(|v| version < v) {
            return;
        }
        if newest != Some(version) {
            self.seen = Some(ObservedRecord {
                version,
                record: record.clone(),
                first_seen: now,
            });
        }
        self.reconcile(version, &record);
    }

    /// Returns what to do next. `Acquire` and `Renew` count from this instant.
    pub fn decide(&mut self, now: Instant) -> Action {
        if self.held.is_some() && self.active_term(now).is_none() {
            self.step(LeaseEvent::Lapsed);
            self.clear_held();
            return Action::Lost;
        }
        self.check_write_timeout(now);
        if self.not_before.is_some_and(|t| now < t) {
            return self.wait_or_hold(now);
        }
        if self.pending.as_ref().is_some_and(|p| p.outcome_unknown) {
            return self.start_read(now);
        }
        match self.state {
            LeaseState::Watching | LeaseState::Lost => self.try_acquire(now),
            LeaseState::Held => self.renew_if_due(now),
            LeaseState::Acquiring | LeaseState::Renewing => self.wait_or_hold(now),
        }
    }

    /// Takes in the answer to the `Acquire` or `Renew` of a record with this `write`.
    ///
    /// The answer to an earlier write is ignored; its fate shows when the record is read.
    pub fn answer(&mut self, now: Instant, write: u64, answer: Result<Version, StoreError>) {
        let Some(pending) = self.pending.as_mut() else {
            return;
        };
        if pending.record.write != write {
            return;
        }
        match answer {
            Ok(version) => {
                let (record, sent_at) = (pending.record.clone(), pending.sent_at);
                self.pending = None;
                self.mark_held(version, record.term, sent_at);
                self.seen = Some(ObservedRecord {
                    version,
                    record,
                    first_seen: now,
                });
            }
            Err(StoreError::Refused { .. }) => {
                self.discard_write();
                self.not_before = Some(now + RETRY_INTERVAL);
            }
            Err(StoreError::Conflict { current: None, .. }) => {
                self.seen = None;
                pending.outcome_unknown = true;
            }
            // Even a conflict may come from an earlier write of our own.
            Err(_) => {
                pending.outcome_unknown = true;
                self.not_before = None;
            }
        }
    }

    /// Gives the lease up; returns the write that tells the others.
    pub fn release(&mut self, now: Instant) -> Option<(LeaseRecord, Condition)> {
        self.released = true;
        let term = self.active_term(now);
        let held = self.held;
        self.step(LeaseEvent::Released);
        self.clear_held();
        let (term, held) = (term?, held?);
        let mut record = self.next_record(term);
        record.duration_ms = 0;
        Some((record, Condition::At(held.version)))
    }

    /// Compares a record that was read with this host's own writes.
    fn reconcile(&mut self, version: Version, record: &LeaseRecord) {
        let own = self.is_own(record);
        let matches = |p: &mut PendingWrite| own && record.write == p.record.write;
        if let Some(pending) = self.pending.take_if(matches) {
            self.mark_held(version, pending.record.term, pending.sent_at);
            return;
        }
        self.discard_unconfirmed_write();
        let Some(held) = self.held.as_mut() else {
            return;
        };
        if own && record.term == held.term {
            held.version = held.version.max(version);
            return;
        }
        if version > held.version {
            self.step(LeaseEvent::Refused);
            self.clear_held();
        }
    }

    fn mark_held(&mut self, version: Version, term: Term, sent_at: Instant) {
        self.step(LeaseEvent::Granted);
        self.not_before = None;
        self.highest_term = self.highest_term.max(term);
        self.held = Some(Held {
            term,
            version,
            sent_at,
        });
    }

    /// An answer that takes too long counts as lost; the record is read back.
    fn check_write_timeout(&mut self, now: Instant) {
        let Some(pending) = self.pending.as_mut() else {
            return;
        };
        if !pending.outcome_unknown && now >= pending.sent_at + RETRY_INTERVAL {
            pending.outcome_unknown = true;
            self.not_before = None;
        }
    }

    fn try_acquire(&mut self, now: Instant) -> Action {
        if self.released {
            return Action::Wait {
                until: now + self.duration,
            };
        }
        if !self.read {
            return self.start_read(now);
        }
        let Some(seen) = self.seen.as_ref() else {
            return self.start_acquire(now, Condition::Absent);
        };
        let expiry = self.expires_at(seen);
        if now < expiry {
            // The next decision reads the record again.
            self.read = false;
            let until = expiry.min(now + RETRY_INTERVAL);
            self.not_before = Some(until);
            return Action::Wait { until };
        }
        let condition = Condition::At(seen.version);
        self.start_acquire(now, condition)
    }

    /// Returns when a record that does not change may be replaced.
    fn expires_at(&self, seen: &ObservedRecord) -> Instant {
        let record = &seen.record;
        if record.duration_ms == 0 || self.is_own(record) {
            return seen.first_seen;
        }
        seen.first_seen + Duration::from_millis(record.duration_ms) + LEASE_MARGIN
    }

    fn start_acquire(&mut self, now: Instant, condition: Condition) -> Action {
        let record = self.next_record(Term(self.highest_term.0 + 1));
        self.start_write(now, &record);
        Action::Acquire { record, condition }
    }

    fn renew_if_due(&mut self, now: Instant) -> Action {
        let Some(held) = self.held else {
            return Action::Lost;
        };
        if now < held.sent_at + self.duration / RENEW_DIVISOR {
            return self.wait_or_hold(now);
        }
        let record = self.next_record(held.term);
        self.start_write(now, &record);
        Action::Renew {
            record,
            condition: Condition::At(held.version),
        }
    }

    fn start_write(&mut self, now: Instant, record: &LeaseRecord) {
        self.step(LeaseEvent::Asked);
        self.pending = Some(PendingWrite {
            sent_at: now,
            record: record.clone(),
            outcome_unknown: false,
        });
    }

    fn start_read(&mut self, now: Instant) -> Action {
        self.not_before = Some(now + RETRY_INTERVAL);
        Action::Read
    }

    /// Returns what to do while there is nothing to ask.
    fn wait_or_hold(&self, now: Instant) -> Action {
        let mut until = now + RETRY_INTERVAL;
        until = self.not_before.filter(|t| *t > now).unwrap_or(until);
        if let Some(pending) = self.pending.as_ref().filter(|p| !p.outcome_unknown) {
            until = until.min(pending.sent_at + RETRY_INTERVAL);
        }
        let Some(held) = self.held else {
            return Action::Wait { until };
        };
        if self.pending.is_none() && self.not_before.is_none() {
            until = held.sent_at + self.duration / RENEW_DIVISOR;
        }
        Action::Hold {
            until: until.min(held.sent_at + self.duration),
        }
    }

    fn next_record(&mut self, term: Term) -> LeaseRecord {
        self.writes += 1;
        LeaseRecord {
            holder: self.host.clone(),
            incarnation: self.incarnation,
            term,
            write: self.writes,
            duration_ms: u64::try_from(self.duration.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.host && record.incarnation == self.incarnation
    }

    fn discard_unconfirmed_write(&mut self) {
        if self.pending.as_ref().is_some_and(|p| p.outcome_unknown) {
            self.discard_write();
        }
    }

    /// The write did not take effect; what was held before it still is.
    fn discard_write(&mut self) {
        self.pending = None;
        match self.state {
            LeaseState::Acquiring => self.step(LeaseEvent::Refused),
            LeaseState::Renewing => self.step(LeaseEvent::NotRenewed),
            LeaseState::Watching | LeaseState::Held | LeaseState::Lost => {}
        }
    }

    fn clear_held(&mut self) {
        self.held = None;
        self.pending = None;
        self.read = false;
        self.not_before = None;
    }

    fn step(&mut self, event: LeaseEvent) {
        chart().step(&mut self.state, event);
    }
}
