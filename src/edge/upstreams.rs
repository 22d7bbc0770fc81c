//! The upstreams of all services, as one host sees them.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use tokio::time::Instant;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use super::{
    cold::ColdPace,
    dialect::LoadReport,
    message::Ended,
    model::{
        Registration,
        Service,
        Standing, //
    },
    peers::{
        RunEvent,
        RunningMessage, //
    },
    warmth::{
        Recent,
        Slowness,
        WorkByPlace, //
    },
};
use crate::util::id::{
    ServiceName,
    UpstreamId,
    ZoneName, //
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
/// The weight of a new sample in a running mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The shortest work that a ratio is taken of, in seconds.
const WORK_MIN: f64 = 0.001;

/// Identifies an upstream in messages between hosts.
pub type UpstreamKey = u32;

/// How one try at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
    failures: u32,
    gone: bool,
}

impl Upstream {
    fn new(entry: Registration, cold_until: Instant, now: Instant) -> Self {
        Self {
            key: key_of(&entry.id),
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

    /// Returns whether it is still cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Returns the free slots.
    pub fn free(&self, now: Instant) -> u32 {
        self.entry.slots.saturating_sub(self.load(now))
    }

    /// Returns its rank for an object; the highest rank is the object's home.
    pub fn rank(&self, object: u64) -> u64 {
        xxh3_64_with_seed(&self.key.to_le_bytes(), object)
    }

    fn change_others(&mut self, change: i64) {
        let others = i64::from(self.others) + change;
        self.others = u32::try_from(others.max(0)).unwrap_or(u32::MAX);
    }

    fn report(&mut self, now: Instant, load: LoadReport) {
        let others = (load.running + load.waiting).saturating_sub(self.running + 1);
        self.reported = Some((others, now));
    }

    fn finish(&mut self, now: Instant, end: TryEnd) {
        match end {
            TryEnd::Whole => {
                self.failures = 0;
                self.suspended_for = Duration::ZERO;
            }
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

/// Returns the key of an upstream in messages between hosts.
pub fn key_of(id: &UpstreamId) -> UpstreamKey {
    (xxh3_64(id.as_str().as_bytes()) & u64::from(u32::MAX)) as UpstreamKey
}

/// One service and its upstreams.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Its upstreams, in the order in which they were learned.
    pub upstreams: Vec<Upstream>,
    /// The place of each key among them.
    index: HashMap<UpstreamKey, usize>,
    /// The mean time that a request holds a slot, in seconds.
    work: Option<f64>,
    /// The work of each route's requests.
    by_route: HashMap<u64, WorkByPlace>,
}

impl Pool {
    /// Returns the mean time that a request holds a slot, in seconds.
    pub fn work(&self) -> f64 {
        // Before the first answer all services are taken to be alike.
        self.work.unwrap_or(1.0)
    }

    fn push(&mut self, u: Upstream) {
        self.index.insert(u.key, self.upstreams.len());
        self.upstreams.push(u);
    }

    fn remove(&mut self, place: usize) -> Upstream {
        let u = self.upstreams.remove(place);
        let keys = self.upstreams.iter().map(|u| u.key).enumerate();
        self.index = keys.map(|(place, key)| (key, place)).collect();
        u
    }

    fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(*self.index.get(&key)?)
    }

    /// Returns the work of a route's requests.
    pub fn work_of(&self, route: u64) -> WorkByPlace {
        self.by_route.get(&route).cloned().unwrap_or_default()
    }
}

/// All upstreams, by service.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    pools: BTreeMap<ServiceName, Pool>,
}

impl Upstreams {
    /// Returns a service's pool.
    pub fn pool(&self, service: &ServiceName) -> Option<&Pool> {
        self.pools.get(service)
    }

    /// Returns all pools.
    pub fn pools(&self) -> impl Iterator<Item = (&ServiceName, &Pool)> {
        self.pools.iter()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.pools.values().all(|p| p.upstreams.is_empty())
    }

    /// Returns the ids of all upstreams.
    pub fn ids(&self) -> Vec<UpstreamId> {
        let all = self.pools.values().flat_map(|p| &p.upstreams);
        all.map(|u| u.entry.id.clone()).collect()
    }

    /// Takes in a registration. An upstream that has started again under its id
    /// is cold for as long as its service says.
    pub fn register(&mut self, now: Instant, entry: Registration, service: Option<&Service>) {
        let mut cold_until = now + entry.cold_for;
        let known = self.take(&entry.id);
        let Some(mut u) = known else {
            let u = Upstream::new(entry, cold_until, now);
            log::info!(
                event = "upstream-joined",
                upstream:% = u.entry.id,
                service:% = u.entry.service,
                zone:% = u.entry.zone,
                cold_ms = u.entry.cold_for.as_millis() as u64;
                ""
            );
            self.pool_mut(&u.entry.service.clone()).push(u);
            return;
        };
        if u.entry.born != entry.born {
            let cold_time = service.map_or(Duration::ZERO, |s| s.cold_time);
            cold_until = cold_until.max(now + cold_time);
            u.failures = 0;
            u.gone = false;
            u.recent.clear();
        }
        if u.entry.standing != entry.standing {
            log::info!(
                event = "upstream-standing",
                upstream:% = entry.id,
                standing:? = entry.standing;
                ""
            );
        }
        u.cold_until = match entry.cold_for.is_zero() && u.entry.born == entry.born {
            true => u.cold_until,
            false => u.cold_until.max(cold_until),
        };
        u.entry = entry;
        self.pool_mut(&u.entry.service.clone()).push(u);
    }

    fn take(&mut self, id: &UpstreamId) -> Option<Upstream> {
        for pool in self.pools.values_mut() {
            if let Some(place) = pool.upstreams.iter().position(|u| u.entry.id == *id) {
                return Some(pool.remove(place));
            }
        }
        None
    }

    fn pool_mut(&mut self, service: &ServiceName) -> &mut Pool {
        self.pools.entry(service.clone()).or_default()
    }

    /// Forgets an upstream; it gets no new work from now on.
    pub fn remove(&mut self, id: &UpstreamId) -> bool {
        let removed = self.take(id).is_some();
        if removed {
            log::info!(event = "upstream-left", upstream:% = id; "");
        }
        removed
    }

    /// Makes all upstreams of a zone cold until an instant.
    pub fn chill(
        &mut self,
        zone: &ZoneName,
        cold_time: impl Fn(&ServiceName) -> Duration,
        now: Instant,
    ) {
        for (service, pool) in &mut self.pools {
            let until = now + cold_time(service);
            for u in &mut pool.upstreams {
                if u.entry.zone == *zone {
                    u.cold_until = u.cold_until.max(until);
                }
            }
        }
    }

    /// Finds an upstream by its key.
    pub fn get_mut(&mut self, service: &ServiceName, key: UpstreamKey) -> Option<&mut Upstream> {
        self.pools.get_mut(service)?.get_mut(key)
    }

    /// Finds an upstream of any service by its key.
    pub fn find(&self, key: UpstreamKey) -> Option<&Upstream> {
        let place = |p: &Pool| p.index.get(&key).copied();
        self.pools.values().find_map(|p| p.upstreams.get(place(p)?))
    }

    fn find_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.pools.values_mut().find_map(|p| p.get_mut(key))
    }

    /// Notes that a request was sent; returns the place that its object had there.
    pub fn started(
        &mut self,
        now: Instant,
        service: &ServiceName,
        key: UpstreamKey,
        object: u64,
        cold: Option<(f64, usize)>,
    ) -> Option<usize> {
        let u = self.get_mut(service, key)?;
        u.running += 1;
        if let (true, Some((rate, hosts))) = (u.is_cold(now), cold) {
            u.cold_pace.sent(now, rate, hosts);
        }
        let place = u.recent.place(object);
        u.recent.touch(object);
        place
    }

    /// Notes how a try ended; returns how long it took in parts of what was
    /// expected, where a whole answer came from an upstream of the own region.
    pub fn finished(
        &mut self,
        now: Instant,
        ended: &Ended,
        is_near: impl Fn(&ZoneName) -> bool,
    ) -> Option<f32> {
        let pool = self.pools.get_mut(&ended.service)?;
        let place = *pool.index.get(&ended.key)?;
        let u = pool.upstreams.get_mut(place)?;
        let mut sample = None;
        // The way to another region would count as work.
        if ended.end == TryEnd::Whole && is_near(&u.entry.zone) {
            let held = ended.held.as_secs_f64();
            let mean = pool.work.unwrap_or(held);
            pool.work = Some(mean + (held - mean) * SAMPLE_WEIGHT);
            let by_place = pool.by_route.entry(ended.route).or_default();
            sample = Some(held / by_place.expect(ended.place).max(WORK_MIN));
            by_place.note(ended.place, ended.held);
        }
        u.running = u.running.saturating_sub(1);
        if let Some(load) = ended.load {
            u.report(now, load);
        }
        if let Some(sample) = sample {
            u.slowness.note(now, sample);
        }
        u.finish(now, ended.end);
        sample.map(|s| s as f32)
    }

    /// Replaces what other hosts run at the upstreams.
    pub fn set_others(&mut self, running: &HashMap<UpstreamKey, u32>) {
        for pool in self.pools.values_mut() {
            for u in &mut pool.upstreams {
                u.others = running.get(&u.key).copied().unwrap_or(0);
            }
        }
    }

    /// Changes what other hosts run at some upstreams.
    pub fn change_others(&mut self, changes: &[(UpstreamKey, i64)]) {
        for &(key, change) in changes {
            if let Some(u) = self.find_mut(key) {
                u.change_others(change);
            }
        }
    }

    /// Takes in what another host told of one upstream: by how much its running
    /// requests changed, what it started, and how an answer came.
    pub fn hear(&mut self, now: Instant, change: i64, msg: &RunningMessage) {
        let Some(u) = self.find_mut(msg.upstream) else {
            return;
        };
        u.change_others(change);
        match msg.event {
            RunEvent::Started { object } => u.recent.touch(object),
            RunEvent::Answered { slowness } => u.slowness.note(now, f64::from(slowness)),
            RunEvent::Unanswered => {}
        }
    }

    /// Returns what this host runs, by upstream.
    pub fn running(&self) -> Vec<(UpstreamKey, u32)> {
        let all = self.pools.values().flat_map(|p| &p.upstreams);
        all.filter(|u| u.running > 0)
            .map(|u| (u.key, u.running))
            .collect()
    }
}
