//! One upstream and the state that a host keeps for it.

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
        cold_pace::ColdPace,
        concurrency_limit::{
            ConcurrencyLimit,
            InFlight, //
        },
        dialect::LoadReport,
        machine_pace::MachinePace,
        model::{
            Registration,
            Standing, //
        },
        object_recency::{
            RecentObjects,
            Slowness, //
        },
    },
    util::id::{
        UpstreamId,
        ZoneName, //
    },
};

/// How long an upstream counts as full after it shed a request.
const FULL_DURATION: Duration = Duration::from_millis(80);
/// How long a load report of an upstream is used.
const REPORT_MAX_AGE: Duration = Duration::from_millis(60);
/// Duration of an upstream's first suspension; each further one in a row takes twice as long.
const SUSPEND_FIRST: Duration = Duration::from_millis(300);
/// Maximum duration of a suspension.
const SUSPEND_MAX: Duration = Duration::from_secs(4);
/// Consecutive failures after which a reachable upstream is suspended.
const FAILURES_MAX: u32 = 2;
/// Identifies an upstream in messages between hosts; see [`key_of`].
pub type UpstreamKey = u32;

/// Outcome of one attempt of a request on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TryEnd {
    /// A complete answer arrived.
    Whole,
    /// The upstream refused the request because it was full, and did not run it.
    Shed,
    /// The address now belongs to another upstream.
    Misdirected,
    /// No connection could be established.
    Unreachable,
    /// The request was sent, and the connection failed before a complete answer arrived.
    Lost,
    /// No answer arrived in time.
    TimedOut,
    /// The caller disconnected.
    Abandoned,
}

impl TryEnd {
    /// Returns the label value for metrics.
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

/// An upstream, with its load, failures and recent objects as known to this host.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The upstream's registration.
    pub registration: Registration,
    /// Hash of the zone, see [`zone_hash`].
    pub zone_hash: u64,
    /// Key of the upstream in messages between hosts.
    pub key: UpstreamKey,
    /// Number of requests of this host that run on the upstream.
    pub running: u32,
    /// Number of requests of other hosts that run on the upstream, as they reported them.
    pub remote_running: u32,
    /// When the upstream stops being cold; until then it takes requests at the service's cold rate.
    pub cold_until: Instant,
    /// Paces this host's requests while the upstream is cold.
    pub cold_pace: ColdPace,
    /// Objects that the upstream handled recently.
    pub recent: RecentObjects,
    /// Service time of the upstream relative to the expected one.
    pub slowness: Slowness,
    /// What its answers said about the pace of its machine.
    pub pace: MachinePace,
    /// How many requests it runs at once without losing throughput.
    pub concurrency: ConcurrencyLimit,
    /// Requests in flight at the starts of recent ones.
    pub(super) in_flight: InFlight,
    /// Until when the upstream wants no requests from this host.
    pub(super) paused_until: Option<Instant>,
    /// Whether the upstream has not answered a request of this host since it was paused.
    pub(super) is_resuming: bool,
    /// When a change of the learned limit was last logged.
    pub(super) limit_logged_at: Option<Instant>,
    reported: Option<(u32, Instant)>,
    full_until: Instant,
    suspended_until: Instant,
    last_suspension: Duration,
    pub(super) failures: u32,
    pub(super) replaced: bool,
}

impl Upstream {
    pub(super) fn new(registration: Registration, cold_until: Instant, now: Instant) -> Self {
        Self {
            key: key_of(&registration.id),
            zone_hash: zone_hash(&registration.zone),
            registration,
            running: 0,
            remote_running: 0,
            cold_until,
            cold_pace: ColdPace::new(now),
            recent: RecentObjects::default(),
            slowness: Slowness::new(now),
            pace: MachinePace::default(),
            concurrency: ConcurrencyLimit::default(),
            in_flight: InFlight::default(),
            paused_until: None,
            is_resuming: false,
            limit_logged_at: None,
            reported: None,
            full_until: now,
            suspended_until: now,
            last_suspension: Duration::ZERO,
            failures: 0,
            replaced: false,
        }
    }

    /// Returns the number of requests that run on the upstream, from the counts of this host and of
    /// the others and from the upstream's latest report.
    pub fn load(&self, now: Instant) -> u32 {
        let remote_running = match self.reported {
            Some((remote_running, at)) if now.saturating_duration_since(at) < REPORT_MAX_AGE => {
                remote_running.max(self.remote_running)
            }
            _ => self.remote_running,
        };
        self.running.saturating_add(remote_running)
    }

    /// Returns the age of the upstream's latest load report; `None` if it has sent none.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.reported
            .map(|(_, at)| now.saturating_duration_since(at))
    }

    /// Returns whether the upstream may get new requests: it is ready, and neither replaced,
    /// suspended nor full.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.registration.standing == Standing::Ready
            && !self.replaced
            && self.suspended_until <= now
            && self.full_until <= now
    }

    /// Returns whether the upstream must get no further request of this host now. After a pause it
    /// gets one at a time until it has answered one, so that the load returns gradually.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until(now).is_some() || (self.is_resuming && self.running > 0)
    }

    /// Returns until when the upstream wants no requests from this host; `None` if it accepts them.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Returns whether another upstream has taken over the address.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Returns whether the upstream is still cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Returns the number of requests that the upstream may run at once: its registered slots, or
    /// fewer if it has been seen to lose throughput with more.
    pub fn limit(&self) -> u32 {
        self.concurrency.limit(self.registration.slots)
    }

    /// Returns the registered slots of a ready upstream that the learned limit leaves unused.
    pub fn withheld_slots(&self) -> u32 {
        self.ready_slots().saturating_sub(self.limit())
    }

    /// Returns the number of free slots within the limit.
    pub fn free(&self, now: Instant) -> u32 {
        self.limit().saturating_sub(self.load(now))
    }

    /// Moves an object to the front of the recent ones; returns its previous position.
    pub(super) fn record_object(&mut self, object: Option<u64>) -> Option<usize> {
        let object = object?;
        let list_index = self.recent.list_index(object);
        self.recent.touch(object);
        list_index
    }

    /// Returns the upstream's slots, or 0 if it is draining.
    pub fn ready_slots(&self) -> u32 {
        match self.registration.standing {
            Standing::Ready => self.registration.slots,
            Standing::Draining => 0,
        }
    }

    /// Returns the rendezvous-hash rank for an object; the upstream with the highest one is its
    /// first home.
    pub fn rank(&self, object: u64) -> u64 {
        xxh3_64_with_seed(&self.key.to_le_bytes(), object)
    }

    pub(super) fn change_remote_running(&mut self, change: i64) {
        let remote_running = i64::from(self.remote_running) + change;
        self.remote_running = u32::try_from(remote_running.max(0)).unwrap_or(u32::MAX);
    }

    pub(super) fn report(&mut self, now: Instant, load: LoadReport) {
        let remote_running = load.total().saturating_sub(self.running + 1);
        self.reported = Some((remote_running, now));
        if let Some(pace) = load.pace {
            self.pace.record(now, pace);
        }
    }

    /// Records the outcome of a run and the load that the upstream reported with it.
    pub(super) fn finish(&mut self, now: Instant, end: TryEnd, load: Option<LoadReport>) {
        // Shedding with free slots says nothing about whether the next request would be shed too.
        let has_room = load.is_some_and(|l| l.total() < self.registration.slots);
        match end {
            TryEnd::Whole => {
                self.failures = 0;
                self.last_suspension = Duration::ZERO;
                self.is_resuming = false;
            }
            TryEnd::Shed if has_room => {}
            TryEnd::Shed => self.full_until = now + FULL_DURATION,
            TryEnd::Misdirected => self.replaced = true,
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
        let next = (self.last_suspension * 2).clamp(SUSPEND_FIRST, SUSPEND_MAX);
        self.last_suspension = next;
        self.suspended_until = now + next;
        log::info!(
            event = "upstream-suspended",
            upstream:% = self.registration.id,
            zone:% = self.registration.zone,
            failures = self.failures,
            for_ms = next.as_millis() as u64;
            ""
        );
    }
}

/// Returns the hash of a zone's name, which is compared in place of the name in frequent checks.
pub fn zone_hash(zone: &ZoneName) -> u64 {
    xxh3_64(zone.as_str().as_bytes())
}

/// Returns the key of an upstream in messages between hosts: the low 32 bits of its id's hash.
pub fn key_of(id: &UpstreamId) -> UpstreamKey {
    (xxh3_64(id.as_str().as_bytes()) & u64::from(u32::MAX)) as UpstreamKey
}
