//! The upstreams of all services, as one host sees them.

mod upstream;

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use tokio::time::Instant;

pub use self::upstream::{
    TryEnd,
    Upstream,
    UpstreamKey,
    key_of,
    zone_hash, //
};
use super::{
    datagram::{
        RunEvent,
        RunningMessage, //
    },
    message::Ended,
    model::{
        Registration,
        Service, //
    },
    warmth::WorkByPlace, //
};
use crate::util::id::{
    ServiceName,
    UpstreamId,
    ZoneName, //
};

/// The weight of a new sample in a running mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The shortest work that a ratio is taken of, in seconds.
const WORK_MIN: f64 = 0.001;

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
        u.zone_hash = zone_hash(&entry.zone);
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
