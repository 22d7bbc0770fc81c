//! One upstream, and what a host knows of it.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::{
    edge::{
        cold::ColdPace,
        dialect::LoadReport,
        model::{
            Registration,
            Standing, //
        },
        warmth::{
            Recent,
            Slowness, //
        },
    },
    util::id::{
        UpstreamId,
        ZoneName, //
    },
};

/// How long an upstream that shed a request counts as full.
const FULL_FOR: Duration = Duration::from_millis(80);
/// How long an upstream's own report of its load is used.
const REPORT_MAX_AGE: Duration = Duration::from_millis(60);
/// How long an upstream is left alone after its first failure.
const SUSPEND_FIRST: Duration = Duration::from_millis(300);
/// How long an upstream is left alone at most.
const SUSPEND_MAX: Duration = Duration::from_secs(4);
/// Failures in a row after which an upstream is left alone, where it is reachable.
const FAILURES_MAX: u32 = 2;
/// Identifies an upstream in messages between hosts.
pub type UpstreamKey = u32;

/// How one try at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TryEnd {
    /// A whole answer came.
    Whole,
    /// The upstream had no room and did not run the request.
    Shed,
    /// Another upstream has the address now.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The request left and no whole answer came.
    Lost,
    /// No answer came in time.
    TimedOut,
    /// The caller went away.
    Abandoned,
}

impl TryEnd {
    /// Returns the word for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::TimedOut => "timed-out",
            Self::Abandoned => "abandoned",
        }
    }
}

/// One upstream and what this host knows of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its registration.
    pub entry: Registration,
    /// The hash of its zone.
    pub zone_hash: u64,
    /// Its key in messages.
    pub key: UpstreamKey,
    /// Requests of this host that run there.
    pub running: u32,
    /// Requests of other hosts that run there, as they told.
    pub others: u32,
    /// Until when it is cold.
    pub cold_until: Instant,
    /// Paces requests while it is cold.
    pub cold_pace: ColdPace,
    /// What it handled lately.
    pub recent: Recent,
    /// How much slower it is than others.
    pub slowness: Slowness,
    reported: Option<(u32, Instant)>,
    full_until: Instant,
    suspended_until: Instant,
    suspended_for: Duration,
    pub(super) failures: u32,
    pub(super) gone: bool,
}

impl Upstream {
    pub(super) fn new(entry: Registration, cold_until: Instant, now: Instant) -> Self {
        Self {
            key: key_of(&entry.id),
            zone_hash: zone_hash(&entry.zone),
            entry,
            running: 0,
            others: 0,
            cold_until,
            cold_pace: ColdPace::new(now),
            recent: Recent::default(),
            slowness: Slowness::new(now),
            reported: None,
            full_until: now,
            suspended_until: now,
            suspended_for: Duration::ZERO,
            failures: 0,
            gone: false,
        }
    }

    /// Returns the requests that run there, as far as this host can tell.
    pub fn load(&self, now: Instant) -> u32 {
        let others = match self.reported {
            Some((others, at)) if now.saturating_duration_since(at) < REPORT_MAX_AGE => {
                others.max(self.others)
            }
            _ => self.others,
        };
        self.running + others
    }

    /// Returns whether it takes new work at all.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.entry.standing == Standing::Ready
            && !self.gone
            && self.suspended_until <= now
            && self.full_until <= now
    }

    /// Returns whether another upstream took its address.
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// Returns whether it is still cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Returns the free slots.
    pub fn free(&self, now: Instant) -> u32 {
        self.entry.slots.saturating_sub(self.load(now))
    }

    /// Notes that it handles an object; returns the place that the object had.
    pub(super) fn meet(&mut self, object: Option<u64>) -> Option<usize> {
        let object = object?;
        let place = self.recent.place(object);
        self.recent.touch(object);
        place
    }

    /// Returns its slots, where it takes new work.
    pub(super) fn ready_slots(&self) -> u32 {
        match self.entry.standing {
            Standing::Ready => self.entry.slots,
            Standing::Draining => 0,
        }
    }

    /// Returns its rank for an object; the highest rank is the object's home.
    pub fn rank(&self, object: u64) -> u64 {
        xxh3_64_with_seed(&self.key.to_le_bytes(), object)
    }

    pub(super) fn change_others(&mut self, change: i64) {
        let others = i64::from(self.others) + change;
        self.others = u32::try_from(others.max(0)).unwrap_or(u32::MAX);
    }

    pub(super) fn report(&mut self, now: Instant, load: LoadReport) {
        let others = (load.running + load.waiting).saturating_sub(self.running + 1);
        self.reported = Some((others, now));
    }

    /// Notes how a run ended, with the load that the upstream reported.
    pub(super) fn finish(&mut self, now: Instant, end: TryEnd, load: Option<LoadReport>) {
        // One that sheds with slots to spare would shed the next request as well or not.
        let has_room = load.is_some_and(|l| l.running + l.waiting < self.entry.slots);
        match end {
            TryEnd::Whole => {
                self.failures = 0;
                self.suspended_for = Duration::ZERO;
            }
            TryEnd::Shed if has_room => {}
            TryEnd::Shed => self.full_until = now + FULL_FOR,
            TryEnd::Misdirected => self.gone = true,
            TryEnd::Unreachable => self.suspend(now),
            TryEnd::Lost | TryEnd::TimedOut => {
                self.failures += 1;
                if self.failures >= FAILURES_MAX {
                    self.suspend(now);
                }
            }
            TryEnd::Abandoned => {}
        }
    }

    fn suspend(&mut self, now: Instant) {
        let next = (self.suspended_for * 2).clamp(SUSPEND_FIRST, SUSPEND_MAX);
        self.suspended_for = next;
        self.suspended_until = now + next;
        log::info!(
            event = "upstream-suspended",
            upstream:% = self.entry.id,
            zone:% = self.entry.zone,
            failures = self.failures,
            for_ms = next.as_millis() as u64;
            ""
        );
    }
}

/// Returns what stands for a zone where names would be compared often.
pub fn zone_hash(zone: &ZoneName) -> u64 {
    xxh3_64(zone.as_str().as_bytes())
}

/// Returns the key of an upstream in messages between hosts.
pub fn key_of(id: &UpstreamId) -> UpstreamKey {
    (xxh3_64(id.as_str().as_bytes()) & u64::from(u32::MAX)) as UpstreamKey
}
