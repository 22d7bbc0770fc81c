//! At-most-once execution: the table of request ids that this incarnation has started.
//!
//! Only the incarnation named in a request id may run the request. An id is recorded
//! before the first byte of its request is sent, and refused once its stamp is older than
//! the window. All times come from this process's own clock.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use sha2::{
    Digest,
    Sha256, //
};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128_with_seed;

use crate::util::id::{
    HostName,
    Incarnation,
    OrganisationName,
    RequestId,
    STAMP_TICK,
    Stamp, //
};

/// How long after its stamp a request id may start.
pub const ONCE_WINDOW: Duration = Duration::from_secs(120);
/// The largest number of ids that the table holds.
pub const REMEMBERED_IDS_MAX: usize = 100_000;

/// A hash of a request, which detects that an id is reused for a different request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(pub u128);

impl RequestFingerprint {
    /// Hashes the fields that are equal in all copies of one request.
    pub fn of(organisation: Option<&OrganisationName>, method: &str, path_and_query: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [
            organisation.map_or("", OrganisationName::as_str),
            method,
            path_and_query,
        ] {
            hash.update(part.len().to_le_bytes());
            hash.update(part);
        }
        let digest: [u8; 32] = hash.finalize().into();
        let mut short = [0; 16];
        short.copy_from_slice(&digest[..16]);
        Self(u128::from_le_bytes(short))
    }
}

/// The permission to send one request to an upstream.
///
/// It cannot be cloned, so that one id is sent at most once.
#[derive(Debug)]
pub struct Permit {
    key: u128,
    stamp: Stamp,
}

/// Identifies a stored answer; the gateway assigns the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AnswerHandle(pub u64);

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran and an upstream answered.
    Ran {
        /// The HTTP status of the answer.
        status: u16,
        /// The stored answer, or `None` if it was not stored.
        answer: Option<AnswerHandle>,
    },
    /// The request provably did not start; the id may start again.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// The decision on a request id.
#[derive(Debug)]
pub enum BeginDecision {
    /// Run the request and pass the permit to [`StartedIds::finish`] when it has ended.
    Run(Permit),
    /// The id has started and not finished yet.
    InProgress,
    /// The id has already ended with this outcome.
    Ended(Outcome),
    /// The id was already used for a different request.
    DifferentRequest,
    /// The stamp is older than the window. The request may have run.
    Expired,
    /// The stamp is later than this host's clock, so this host cannot have issued the id.
    StampInFuture,
    /// Only the named host and incarnation may run the request.
    WrongIncarnation {
        /// The host that the id names.
        host: HostName,
        /// The incarnation that the id names.
        incarnation: Incarnation,
    },
    /// The table is full. The request did not run.
    TableFull,
}

/// Returns the stamp of `now` in a process whose stamps count from `started`.
pub fn stamp_at(started: Instant, now: Instant) -> Stamp {
    let ticks = now.saturating_duration_since(started).as_millis() / STAMP_TICK.as_millis();
    Stamp(u64::try_from(ticks).unwrap_or(u64::MAX))
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    request: RequestFingerprint,
    /// `None` while the request runs.
    outcome: Option<Outcome>,
}

/// The table of request ids that this incarnation has started.
///
/// An entry expires by the same comparison that refuses its id, so that no id can start
/// twice. Both use one clock: even if it stops, an entry does not expire before its id is
/// refused. Only an id that provably did not run is removed earlier.
#[derive(Debug)]
pub struct StartedIds {
    host: HostName,
    incarnation: Incarnation,
    started: Instant,
    window_ticks: u64,
    capacity: usize,
    entries: HashMap<u128, Entry>,
    /// The keys of the entries, grouped by stamp, oldest first.
    by_stamp: VecDeque<(Stamp, Vec<u128>)>,
    /// Stored answers whose entries are gone, until [`StartedIds::take_released`].
    released: Vec<AnswerHandle>,
}

impl StartedIds {
    /// Creates an empty table. Stamps count from `started`.
    pub fn new(host: HostName, incarnation: Incarnation, started: Instant) -> Self {
        Self {
            host,
            incarnation,
            started,
            window_ticks: ticks(ONCE_WINDOW),
            capacity: REMEMBERED_IDS_MAX,
            entries: HashMap::new(),
            by_stamp: VecDeque::new(),
            released: Vec::new(),
        }
    }

    /// Sets how long after its stamp an id may start.
    pub fn with_window(mut self, window: Duration) -> Self {
        self.window_ticks = ticks(window);
        self
    }

    /// Sets the largest number of ids that the table holds.
    pub fn with_capacity(mut self, entries: usize) -> Self {
        self.capacity = entries;
        self
    }

    /// Returns the number of ids in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides whether an id may start, and records it on [`BeginDecision::Run`].
    pub fn begin(&mut self, now: Instant, id: &RequestId, f: RequestFingerprint) -> BeginDecision {
        if id.host != self.host || id.incarnation != self.incarnation {
            return BeginDecision::WrongIncarnation {
                host: id.host.clone(),
                incarnation: id.incarnation,
            };
        }
        let clock = stamp_at(self.started, now);
        if id.stamp > clock {
            return BeginDecision::StampInFuture;
        }
        if self.is_expired(clock, id.stamp) {
            return BeginDecision::Expired;
        }
        self.drop_expired(clock);
        let key = self.key(id);
        if let Some(entry) = self.entries.get(&key) {
            return answer_duplicate(entry, f);
        }
        if self.entries.len() >= self.capacity {
            return BeginDecision::TableFull;
        }
        self.record(key, id.stamp, f);
        BeginDecision::Run(Permit {
            key,
            stamp: id.stamp,
        })
    }

    /// Records the outcome of a request. An id whose request did not run may start again.
    pub fn finish(&mut self, permit: Permit, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&permit.key) else {
            // The entry expired while the request ran; the id stays refused.
            self.release(outcome);
            return;
        };
        if outcome == Outcome::NotRun {
            self.forget(&permit);
            return;
        }
        entry.outcome = Some(outcome);
    }

    /// Returns the stored answers that no entry refers to any more, and clears the list.
    pub fn take_released(&mut self) -> Vec<AnswerHandle> {
        std::mem::take(&mut self.released)
    }

    /// Drops the entries that are older than the window, as [`StartedIds::begin`] does too.
    pub fn tick(&mut self, now: Instant) {
        self.drop_expired(stamp_at(self.started, now));
    }

    fn key(&self, id: &RequestId) -> u128 {
        let nonce = id.nonce.as_str().as_bytes();
        let seed = self.incarnation.0 ^ id.stamp.0.rotate_left(32);
        xxh3_128_with_seed(nonce, seed)
    }

    fn is_expired(&self, clock: Stamp, stamp: Stamp) -> bool {
        clock.0.saturating_sub(stamp.0) > self.window_ticks
    }

    fn record(&mut self, key: u128, stamp: Stamp, request: RequestFingerprint) {
        let entry = Entry {
            request,
            outcome: None,
        };
        self.entries.insert(key, entry);
        match self.by_stamp.binary_search_by_key(&stamp, |(s, _)| *s) {
            Ok(i) => self.by_stamp[i].1.push(key),
            Err(i) => self.by_stamp.insert(i, (stamp, vec![key])),
        }
    }

    fn forget(&mut self, permit: &Permit) {
        self.entries.remove(&permit.key);
        let Ok(i) = self
            .by_stamp
            .binary_search_by_key(&permit.stamp, |(s, _)| *s)
        else {
            return;
        };
        let keys = &mut self.by_stamp[i].1;
        if let Some(k) = keys.iter().position(|k| *k == permit.key) {
            keys.swap_remove(k);
        }
    }

    fn drop_expired(&mut self, clock: Stamp) {
        while let Some((stamp, _)) = self.by_stamp.front() {
            if !self.is_expired(clock, *stamp) {
                return;
            }
            let Some((_, keys)) = self.by_stamp.pop_front() else {
                return;
            };
            for key in keys {
                let Some(entry) = self.entries.remove(&key) else {
                    continue;
                };
                entry.outcome.into_iter().for_each(|o| self.release(o));
            }
        }
    }

    fn release(&mut self, outcome: Outcome) {
        if let Outcome::Ran {
            answer: Some(handle),
            ..
        } = outcome
        {
            self.released.push(handle);
        }
    }
}

fn ticks(d: Duration) -> u64 {
    u64::try_from(d.as_millis() / STAMP_TICK.as_millis()).unwrap_or(u64::MAX)
}

fn answer_duplicate(entry: &Entry, request: RequestFingerprint) -> BeginDecision {
    if entry.request != request {
        return BeginDecision::DifferentRequest;
    }
    match entry.outcome {
        None => BeginDecision::InProgress,
        Some(outcome) => BeginDecision::Ended(outcome),
    }
}

/// The result of an attempt to send a request to an upstream or another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The connection was refused; no byte was sent.
    ConnectRefused,
    /// The connection was not established in time; no byte was sent.
    ConnectTimeout,
    /// The peer stated explicitly that it did not start the request.
    NotStarted,
    /// An answer was received.
    Answered,
    /// The connection failed when the first byte may already have been sent.
    Broken,
    /// No answer was received in time.
    Timeout,
}

/// Returns whether a request may be sent again after an attempt.
pub fn may_send_again(end: AttemptEnd, idempotent: bool) -> bool {
    match end {
        AttemptEnd::ConnectRefused | AttemptEnd::ConnectTimeout | AttemptEnd::NotStarted => true,
        AttemptEnd::Broken | AttemptEnd::Timeout => idempotent,
        AttemptEnd::Answered => false,
    }
}
