//! Leases kept as records in the platform's store and changed by conditional writes.
//!
//! [`Lease`] is a state machine without I/O: its owner calls the store and reports the
//! results. A holder's lease expires one duration after it sent its last successful
//! write. Another host may take the lease only after the record has stayed unchanged
//! for that duration plus a margin, measured on its own clock.

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

/// How long a lease is valid after the holder sent its last successful write.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Added to the duration before another host may take the lease, because clocks run at
/// different rates.
pub const LEASE_MARGIN: Duration = Duration::from_secs(1);
/// A holder renews once `duration / RENEW_DIVISOR` has passed since its last write.
pub const RENEW_DIVISOR: u32 = 3;
/// How long a write may stay unanswered before its outcome counts as unknown.
///
/// It is also the longest interval between two reads while a host waits for the lease, and
/// the pause after a refused write.
pub const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// The newest record that was read or written, and when this host first saw its version.
#[derive(Clone, Debug)]
struct ObservedRecord {
    version: Version,
    record: LeaseRecord,
    first_seen: Instant,
}

/// A write that has not been confirmed.
#[derive(Clone, Debug)]
struct PendingWrite {
    sent_at: Instant,
    record: LeaseRecord,
    /// Whether the write timed out or failed in a way that leaves open if it took effect.
    outcome_unknown: bool,
}

/// The lease as this host holds it; `sent_at` is when the last successful write was sent.
#[derive(Clone, Copy, Debug)]
struct Held {
    term: Term,
    version: Version,
    sent_at: Instant,
}

/// The state of one lease on one host.
#[derive(Clone, Debug)]
pub struct Lease {
    host: HostName,
    incarnation: Incarnation,
    duration: Duration,
    state: LeaseState,
    seen: Option<ObservedRecord>,
    /// Whether the record was read since the last wait or loss of the lease.
    read: bool,
    pending: Option<PendingWrite>,
    held: Option<Held>,
    /// Counts the records that this host has built, as their `write` number.
    writes: u64,
    /// The highest term seen in any record.
    highest_term: Term,
    /// No store call is made before this instant.
    not_before: Option<Instant>,
    /// Whether this host gave the lease up; it does not try to acquire it again.
    released: bool,
}

impl Lease {
    /// Creates the state of a host that does not hold the lease.
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

    /// Sets how long this host holds the lease after each write.
    pub fn with_duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Returns the current state of the lease chart.
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// Returns the term if this host holds the lease at `now`.
    pub fn active_term(&self, now: Instant) -> Option<Term> {
        let held = self.held?;
        (now < held.sent_at + self.duration).then_some(held.term)
    }

    /// Processes the result of a read; `None` means that there is no record.
    ///
    /// A version older than one seen before comes from a stale read and is ignored.
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

    /// Returns the next action.
    ///
    /// With `Acquire` and `Renew`, the lease duration starts at `now`.
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

    /// Processes the result of the `Acquire` or `Renew` whose record has this `write` number.
    ///
    /// The result of an earlier write is ignored; reading the record shows whether it took
    /// effect.
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
            // Even a conflict may be due to an earlier write of this host.
            Err(_) => {
                pending.outcome_unknown = true;
                self.not_before = None;
            }
        }
    }

    /// Gives the lease up and returns the write that announces this to the other hosts.
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

    /// Updates the pending write and the held lease from a record that was read.
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

    /// Marks the outcome of a write as unknown after a timeout, so that the record is read.
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
            // Causes the next call of `decide` to read the record again.
            self.read = false;
            let until = expiry.min(now + RETRY_INTERVAL);
            self.not_before = Some(until);
            return Action::Wait { until };
        }
        let condition = Condition::At(seen.version);
        self.start_acquire(now, condition)
    }

    /// Returns when the record may be replaced if it stays unchanged.
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

    /// Returns `Wait` or `Hold`, for when no store call is due.
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

    /// Discards a write that did not take effect; a lease held before it stays held.
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
