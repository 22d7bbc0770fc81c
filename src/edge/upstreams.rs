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
    dialect::LoadReport,
    message::Ended,
    model::{
        Registration,
        Service, //
    },
    runs::RunChange,
    warmth::WorkByPlace, //
};
use crate::util::id::{
    ServiceName,
    UpstreamId,
    ZoneName, //
};

/// The weight of a new sample in a running mean. The regions' shares follow from it, and
/// each move of a share makes objects strange elsewhere.
const SAMPLE_WEIGHT: f64 = 0.02;

/// The shortest work that a ratio is taken of, in seconds.
const WORK_MIN: f64 = 0.001;

/// One service and its upstreams.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Its upstreams, in the order in which they were learned.
    pub upstreams: Vec<Upstream>,
    /// The place of each key among them.
    index: HashMap<UpstreamKey, usize>,
    /// Slots of the ready upstreams of each zone, by the zone's hash.
    slots: HashMap<u64, u32>,
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

    /// Returns the slots of a zone's ready upstreams.
    pub fn slots_in(&self, zone_hash: u64) -> u32 {
        self.slots.get(&zone_hash).copied().unwrap_or(0)
    }

    fn push(&mut self, u: Upstream) {
        *self.slots.entry(u.zone_hash).or_default() += u.ready_slots();
        self.index.insert(u.key, self.upstreams.len());
        self.upstreams.push(u);
    }

    fn take(&mut self, key: UpstreamKey) -> Option<Upstream> {
        let place = self.index.remove(&key)?;
        let u = self.upstreams.swap_remove(place);
        if let Some(moved) = self.upstreams.get(place) {
            self.index.insert(moved.key, place);
        }
        if let Some(slots) = self.slots.get_mut(&u.zone_hash) {
            *slots = slots.saturating_sub(u.ready_slots());
        }
        Some(u)
    }

    fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(*self.index.get(&key)?)
    }

    /// Returns the work of a route's requests.
    pub fn work_of(&self, route: u64) -> &WorkByPlace {
        self.by_route.get(&route).unwrap_or(&WorkByPlace::UNKNOWN)
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
        let key = key_of(id);
        self.pools.values_mut().find_map(|p| p.take(key))
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
        object: Option<u64>,
        cold: Option<(f64, usize)>,
    ) -> Option<usize> {
        let u = self.get_mut(service, key)?;
        u.running += 1;
        if let (true, Some((rate, hosts))) = (u.is_cold(now), cold) {
            u.cold_pace.sent(now, rate, hosts);
        }
        u.meet(object)
    }

    /// Notes that another host sends a request there; returns the place that its object had.
    pub fn granted(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        object: Option<u64>,
        cold: Option<(f64, usize)>,
    ) -> Option<usize> {
        let u = self.find_mut(key)?;
        if let (true, Some((rate, hosts))) = (u.is_cold(now), cold) {
            u.cold_pace.sent(now, rate, hosts);
        }
        u.meet(object)
    }

    /// Notes how a try of this host ended.
    pub fn finished(&mut self, now: Instant, ended: &Ended, is_near: impl Fn(&ZoneName) -> bool) {
        let Some(u) = self.get_mut(&ended.service, ended.key) else {
            return;
        };
        u.running = u.running.saturating_sub(1);
        let near = is_near(&u.entry.zone);
        let run = RunEnd {
            key: ended.key,
            route: Some(ended.route),
            place: ended.place,
            end: ended.end,
            held: ended.held,
            load: ended.load,
        };
        self.learn(now, &run, near);
    }

    /// Learns from how a run ended; `near` tells whether it was sent from the upstream's region.
    pub fn learn(&mut self, now: Instant, run: &RunEnd, near: bool) {
        let found = self.pools.values_mut().find_map(|p| {
            let place = *p.index.get(&run.key)?;
            Some((p, place))
        });
        let Some((pool, place)) = found else {
            return;
        };
        let u = &mut pool.upstreams[place];
        // The way to another region would count as work.
        if run.end == TryEnd::Whole && near {
            let held = run.held.as_secs_f64();
            let mean = pool.work.unwrap_or(held);
            pool.work = Some(mean + (held - mean) * SAMPLE_WEIGHT);
            if let Some(route) = run.route {
                let by_place = pool.by_route.entry(route).or_default();
                let expected = by_place.expect(run.place).max(WORK_MIN);
                u.slowness.note(now, held / expected);
                by_place.note(run.place, run.held);
            }
        }
        if let Some(load) = run.load {
            u.report(now, load);
        }
        u.finish(now, run.end, run.load);
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
    pub fn change_others(&mut self, changes: &[RunChange]) {
        for &(key, change) in changes {
            if let Some(u) = self.find_mut(key) {
                u.change_others(change);
            }
        }
    }
}

/// How a run at an upstream ended.
#[derive(Clone, Debug)]
pub struct RunEnd {
    /// The upstream.
    pub key: UpstreamKey,
    /// The hash of the request's route, where it is known.
    pub route: Option<u64>,
    /// The place that its object had among those that the upstream handled lately.
    pub place: Option<usize>,
    /// How it ended.
    pub end: TryEnd,
    /// How long it held its slot.
    pub held: Duration,
    /// The upstream's report of its load.
    pub load: Option<LoadReport>,
}
