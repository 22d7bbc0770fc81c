//! At most once: the ids that this incarnation has begun.
//!
//! Only the incarnation named in an id may run it. An id is recorded before its
//! first byte leaves and refused once its stamp is older than the window. All
//! times are this process's own.

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

/// How long after its stamp an id may begin.
pub const ONCE_WINDOW: Duration = Duration::from_secs(120);
/// The ids that are remembered at most.
pub const REMEMBERED_IDS_MAX: usize = 100_000;

/// Tells the same id with different requests apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(pub u128);

impl RequestFingerprint {
    /// Hashes what two copies of one request have in common.
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

/// The right to send one request to an upstream. It cannot be copied.
#[derive(Debug)]
pub struct Permit {
    key: u128,
    stamp: Stamp,
}

/// A kept answer, as the gateway names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AnswerHandle(pub u64);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream answered.
    Ran {
        /// The status of the answer.
        status: u16,
        /// Where the answer is kept, if it is.
        answer: Option<AnswerHandle>,
    },
    /// It provably did not start; the id may begin again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What to do with an id.
#[derive(Debug)]
pub enum Begin {
    /// Run it; the permit is spent on [`Once::finish`].
    Run(Permit),
    /// Its first copy has not finished.
    InProgress,
    /// It ended this way before.
    Ended(Outcome),
    /// The id was used for another request.
    OtherRequest,
    /// Its stamp is older than the window. It may have run.
    Expired,
    /// Its stamp lies ahead of this host's clock, so this host never gave it.
    Ahead,
    /// Another host or incarnation must run it.
    WrongIncarnation {
        /// The host.
        host: HostName,
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// No room to remember it. It did not run.
    Full,
}

/// Returns the stamp of an instant, for a process whose stamps count from `started`.
pub fn stamp_at(started: Instant, now: Instant) -> Stamp {
    let ticks = now.saturating_duration_since(started).as_millis() / STAMP_TICK.as_millis();
    Stamp(u64::try_from(ticks).unwrap_or(u64::MAX))
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    request: RequestFingerprint,
    /// `None` while it runs.
    outcome: Option<Outcome>,
}

/// The ids that this incarnation has begun.
///
/// An entry is dropped only when its stamp is older than the window, by the
/// same comparison that refuses the id, so that no id can begin twice. Both use
/// one clock: should it stand still, ids and entries grow old together.
#[derive(Debug)]
pub struct Once {
    host: HostName,
    incarnation: Incarnation,
    started: Instant,
    window_ticks: u64,
    capacity: usize,
    entries: HashMap<u128, Entry>,
    /// The entries' keys by stamp, oldest first.
    by_stamp: VecDeque<(Stamp, Vec<u128>)>,
    released: Vec<AnswerHandle>,
}

impl Once {
    /// Creates an empty table; `started` is the instant that stamps count from.
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

    /// Sets how long after its stamp an id may begin.
    pub fn with_window(mut self, window: Duration) -> Self {
        self.window_ticks = ticks(window);
        self
    }

    /// Sets how many ids are remembered at most.
    pub fn with_capacity(mut self, entries: usize) -> Self {
        self.capacity = entries;
        self
    }

    /// Returns the number of ids that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides on an id and, with [`Begin::Run`], records it.
    pub fn begin(&mut self, now: Instant, id: &RequestId, f: RequestFingerprint) -> Begin {
        if id.host != self.host || id.incarnation != self.incarnation {
            return Begin::WrongIncarnation {
                host: id.host.clone(),
                incarnation: id.incarnation,
            };
        }
        let clock = stamp_at(self.started, now);
        if id.stamp > clock {
            return Begin::Ahead;
        }
        if self.is_expired(clock, id.stamp) {
            return Begin::Expired;
        }
        self.drop_expired(clock);
        let key = self.key(id);
        if let Some(entry) = self.entries.get(&key) {
            return answer_duplicate(entry, f);
        }
        if self.entries.len() >= self.capacity {
            return Begin::Full;
        }
        self.record(key, id.stamp, f);
        Begin::Run(Permit {
            key,
            stamp: id.stamp,
        })
    }

    /// Records how a request ended. One that provably did not run may begin again.
    pub fn finish(&mut self, permit: Permit, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&permit.key) else {
            // The id grew older than the window while it ran; it stays refused.
            self.release(outcome);
            return;
        };
        if outcome == Outcome::NotRun {
            self.forget(&permit);
            return;
        }
        entry.outcome = Some(outcome);
    }

    /// Returns the handles of kept answers that no id names any more.
    pub fn take_released(&mut self) -> Vec<AnswerHandle> {
        std::mem::take(&mut self.released)
    }

    /// Drops what is older than the window; [`Once::begin`] does so too.
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

fn answer_duplicate(entry: &Entry, request: RequestFingerprint) -> Begin {
    if entry.request != request {
        return Begin::OtherRequest;
    }
    match entry.outcome {
        None => Begin::InProgress,
        Some(outcome) => Begin::Ended(outcome),
    }
}

/// How an attempt to send a request to an upstream or another gateway ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The connection was refused; nothing left this host.
    ConnectRefused,
    /// No connection came up in time; nothing left this host.
    ConnectTimeout,
    /// The other side said explicitly that it did not start the request.
    NotStarted,
    /// An answer came.
    Answered,
    /// The connection broke after the first byte may have left.
    Broken,
    /// No answer came in time.
    Timeout,
}

/// Tells whether a request may be sent again after an attempt.
pub fn may_send_again(end: AttemptEnd, idempotent: bool) -> bool {
    match end {
        AttemptEnd::ConnectRefused | AttemptEnd::ConnectTimeout | AttemptEnd::NotStarted => true,
        AttemptEnd::Broken | AttemptEnd::Timeout => idempotent,
        AttemptEnd::Answered => false,
    }
}
