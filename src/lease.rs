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
pub const ASK_AGAIN: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct Seen {
    version: Version,
    record: LeaseRecord,
    since: Instant,
}

#[derive(Clone, Debug)]
struct Pending {
    asked: Instant,
    record: LeaseRecord,
    /// Whether the answer is missing or says that the write's fate is unknown.
    unclear: bool,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    term: Term,
    version: Version,
    asked: Instant,
}

/// One host's part in one lease.
#[derive(Clone, Debug)]
pub struct Lease {
    me: HostName,
    incarnation: Incarnation,
    duration: Duration,
    state: LeaseState,
    /// The last read's record, and whether there was any read yet.
    seen: Option<Seen>,
    read: bool,
    pending: Option<Pending>,
    held: Option<Held>,
    writes: u64,
    highest: Term,
    not_before: Option<Instant>,
    released: bool,
}

impl Lease {
    /// Creates the part of a host that does not hold the lease.
    pub fn new(me: HostName, incarnation: Incarnation) -> Self {
        Self {
            me,
            incarnation,
            duration: LEASE_DURATION,
            state: chart().initial(),
            seen: None,
            read: false,
            pending: None,
            held: None,
            writes: 0,
            highest: Term::default(),
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
    pub fn may_act(&self, now: Instant) -> Option<Term> {
        let held = self.held?;
        (now < held.asked + self.duration).then_some(held.term)
    }

    /// Takes in what a read returned. A version older than one seen before is ignored.
    pub fn observe(&mut self, now: Instant, read: Option<(Version, LeaseRecord)>) {
        self.read = true;
        self.not_before = None;
        self.step(LeaseEvent::Observed);
        let Some((version, record)) = read else {
            self.give_up_unclear_write();
            return;
        };
        self.highest = self.highest.max(record.term);
        let newest = self.seen.as_ref().map(|s| s.version);
        if newest.is_some_and(|v| version < v) {
            return;
        }
        if newest != Some(version) {
            self.seen = Some(Seen {
                version,
                record: record.clone(),
                since: now,
            });
        }
        self.settle(version, &record);
    }

    /// Returns what to do next. `Acquire` and `Renew` count from this instant.
    pub fn decide(&mut self, now: Instant) -> Action {
        if self.held.is_some() && self.may_act(now).is_none() {
            self.step(LeaseEvent::Lapsed);
            self.drop_holding();
            return Action::Lost;
        }
        self.doubt_late_answer(now);
        if self.not_before.is_some_and(|t| now < t) {
            return self.rest(now);
        }
        if self.pending.as_ref().is_some_and(|p| p.unclear) {
            return self.ask_to_read(now);
        }
        match self.state {
            LeaseState::Watching | LeaseState::Lost => self.try_to_take(now),
            LeaseState::Held => self.renew_in_time(now),
            LeaseState::Acquiring | LeaseState::Renewing => self.rest(now),
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
                let (record, asked) = (pending.record.clone(), pending.asked);
                self.pending = None;
                self.hold(version, record.term, asked);
                self.seen = Some(Seen {
                    version,
                    record,
                    since: now,
                });
            }
            Err(StoreError::Refused { .. }) => {
                self.give_up_write();
                self.not_before = Some(now + ASK_AGAIN);
            }
            Err(StoreError::Conflict { current: None, .. }) => {
                self.seen = None;
                pending.unclear = true;
            }
            // Even a conflict may come from an earlier write of our own.
            Err(_) => {
                pending.unclear = true;
                self.not_before = None;
            }
        }
    }

    /// Gives the lease up; returns the write that tells the others.
    pub fn release(&mut self, now: Instant) -> Option<(LeaseRecord, Condition)> {
        self.released = true;
        let term = self.may_act(now);
        let held = self.held;
        self.step(LeaseEvent::Released);
        self.drop_holding();
        let (term, held) = (term?, held?);
        let mut record = self.next_record(term);
        record.duration_ms = 0;
        Some((record, Condition::At(held.version)))
    }

    /// Compares a record that was read with this host's own writes.
    fn settle(&mut self, version: Version, record: &LeaseRecord) {
        let own = self.is_own(record);
        let matches = |p: &mut Pending| own && record.write == p.record.write;
        if let Some(pending) = self.pending.take_if(matches) {
            self.hold(version, pending.record.term, pending.asked);
            return;
        }
        self.give_up_unclear_write();
        let Some(held) = self.held.as_mut() else {
            return;
        };
        if own && record.term == held.term {
            held.version = held.version.max(version);
            return;
        }
        if version > held.version {
            self.step(LeaseEvent::Refused);
            self.drop_holding();
        }
    }

    fn hold(&mut self, version: Version, term: Term, asked: Instant) {
        self.step(LeaseEvent::Granted);
        self.not_before = None;
        self.highest = self.highest.max(term);
        self.held = Some(Held {
            term,
            version,
            asked,
        });
    }

    /// An answer that takes too long counts as lost; the record is read back.
    fn doubt_late_answer(&mut self, now: Instant) {
        let Some(pending) = self.pending.as_mut() else {
            return;
        };
        if !pending.unclear && now >= pending.asked + ASK_AGAIN {
            pending.unclear = true;
            self.not_before = None;
        }
    }

    fn try_to_take(&mut self, now: Instant) -> Action {
        if self.released {
            return Action::Wait {
                until: now + self.duration,
            };
        }
        if !self.read {
            return self.ask_to_read(now);
        }
        let Some(seen) = self.seen.as_ref() else {
            return self.ask_to_take(now, Condition::Absent);
        };
        let ripe = self.ripe_at(seen);
        if now < ripe {
            // The next decision reads the record again.
            self.read = false;
            let until = ripe.min(now + ASK_AGAIN);
            self.not_before = Some(until);
            return Action::Wait { until };
        }
        let condition = Condition::At(seen.version);
        self.ask_to_take(now, condition)
    }

    /// Returns when a record that does not change may be replaced.
    fn ripe_at(&self, seen: &Seen) -> Instant {
        let record = &seen.record;
        if record.duration_ms == 0 || self.is_own(record) {
            return seen.since;
        }
        seen.since + Duration::from_millis(record.duration_ms) + LEASE_MARGIN
    }

    fn ask_to_take(&mut self, now: Instant, condition: Condition) -> Action {
        let record = self.next_record(Term(self.highest.0 + 1));
        self.ask(now, &record);
        Action::Acquire { record, condition }
    }

    fn renew_in_time(&mut self, now: Instant) -> Action {
        let Some(held) = self.held else {
            return Action::Lost;
        };
        if now < held.asked + self.duration / RENEW_DIVISOR {
            return self.rest(now);
        }
        let record = self.next_record(held.term);
        self.ask(now, &record);
        Action::Renew {
            record,
            condition: Condition::At(held.version),
        }
    }

    fn ask(&mut self, now: Instant, record: &LeaseRecord) {
        self.step(LeaseEvent::Asked);
        self.pending = Some(Pending {
            asked: now,
            record: record.clone(),
            unclear: false,
        });
    }

    fn ask_to_read(&mut self, now: Instant) -> Action {
        self.not_before = Some(now + ASK_AGAIN);
        Action::Read
    }

    /// Returns what to do while there is nothing to ask.
    fn rest(&self, now: Instant) -> Action {
        let mut until = now + ASK_AGAIN;
        until = self.not_before.filter(|t| *t > now).unwrap_or(until);
        if let Some(pending) = self.pending.as_ref().filter(|p| !p.unclear) {
            until = until.min(pending.asked + ASK_AGAIN);
        }
        let Some(held) = self.held else {
            return Action::Wait { until };
        };
        if self.pending.is_none() && self.not_before.is_none() {
            until = held.asked + self.duration / RENEW_DIVISOR;
        }
        Action::Hold {
            until: until.min(held.asked + self.duration),
        }
    }

    fn next_record(&mut self, term: Term) -> LeaseRecord {
        self.writes += 1;
        LeaseRecord {
            holder: self.me.clone(),
            incarnation: self.incarnation,
            term,
            write: self.writes,
            duration_ms: u64::try_from(self.duration.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.me && record.incarnation == self.incarnation
    }

    fn give_up_unclear_write(&mut self) {
        if self.pending.as_ref().is_some_and(|p| p.unclear) {
            self.give_up_write();
        }
    }

    /// The write did not take effect; what was held before it still is.
    fn give_up_write(&mut self) {
        self.pending = None;
        match self.state {
            LeaseState::Acquiring => self.step(LeaseEvent::Refused),
            LeaseState::Renewing => self.step(LeaseEvent::NotRenewed),
            LeaseState::Watching | LeaseState::Held | LeaseState::Lost => {}
        }
    }

    fn drop_holding(&mut self) {
        self.held = None;
        self.pending = None;
        self.read = false;
        self.not_before = None;
    }

    fn step(&mut self, event: LeaseEvent) {
        chart().step(&mut self.state, event);
    }
}
