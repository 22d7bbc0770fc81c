//! The upstreams of all services, with the state that this host keeps for them.

mod notices;
mod upstream;

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use tokio::time::Instant;

use self::notices::Notices;
pub use self::upstream::{
    TryEnd,
    Upstream,
    UpstreamKey,
    key_of,
    zone_hash, //
};
use super::{
    concurrency_limit::{
        ConcurrencyLimit,
        LimitChange,
        ReferenceWork, //
    },
    dialect::LoadReport,
    message::AttemptEnded,
    model::{
        Registration,
        Service,
        Standing, //
    },
    object_recency::WorkByPosition,
    remote_runs::RunChange, //
};
use crate::{
    quarantine::UpstreamStart,
    util::{
        id::{
            ServiceName,
            UpstreamId,
            ZoneName, //
        },
        time::SaturatingAdd,
    },
};

/// Weight of a new sample in the moving average of a service's work. It is small because the
/// regions' shares are computed from the average, and each change of a share moves objects to
/// upstreams that do not have them cached.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Minimum time between two log lines about the learned limit of one upstream.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum expected work when computing an upstream's slowness, in seconds.
const EXPECTED_WORK_MIN_SECONDS: f64 = 0.001;

/// The upstreams of one service and the measured work of its requests.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// The upstreams, in no particular order (removal swaps in the last one).
    pub upstreams: Vec<Upstream>,
    /// Index of each key in `upstreams`.
    index: HashMap<UpstreamKey, usize>,
    /// Slots of the ready upstreams of each zone, by the hash of the zone.
    slots: HashMap<u64, u32>,
    /// Slots of these that learned limits leave unused, by the hash of the zone.
    withheld: HashMap<u64, u32>,
    /// Mean time that a request holds a slot, in seconds; `None` before the first answer.
    work: Option<f64>,
    /// Work by object position, for each route hash.
    by_route: HashMap<u64, WorkByPosition>,
    /// Work on lightly loaded upstreams.
    reference: ReferenceWork,
}

impl Pool {
    /// Returns the mean time that a request holds a slot, in seconds.
    pub fn work(&self) -> f64 {
        // Before the first answer, the same value is assumed for all services.
        self.work.unwrap_or(1.0)
    }

    /// Returns the total slots of the ready upstreams in a zone.
    pub fn slots_in(&self, zone_hash: u64) -> u32 {
        self.slots.get(&zone_hash).copied().unwrap_or(0)
    }

    /// Returns the slots of the ready upstreams in a zone within the learned limits.
    pub fn slots_within_limits(&self, zone_hash: u64) -> u32 {
        let withheld = self.withheld.get(&zone_hash).copied().unwrap_or(0);
        self.slots_in(zone_hash).saturating_sub(withheld)
    }

    /// Adjusts the sum of the unused slots of a zone after a change of an upstream's part.
    fn change_withheld(&mut self, zone_hash: u64, before: u32, after: u32) {
        if before == after {
            return;
        }
        let sum = self.withheld.entry(zone_hash).or_default();
        *sum = sum.saturating_sub(before).saturating_add(after);
    }

    /// Tries higher limits again where it is time to.
    fn probe(&mut self, now: Instant) {
        for i in 0..self.upstreams.len() {
            let u = &mut self.upstreams[i];
            let before = u.withheld_slots();
            if u.concurrency.probe(now) {
                let (zone, after) = (u.zone_hash, u.withheld_slots());
                self.change_withheld(zone, before, after);
            }
        }
    }

    /// Learns the limit of an upstream from a completed run with this work on a machine of the
    /// usual pace.
    fn learn_limit(&mut self, now: Instant, place: usize, run: &RunEnd, work: Duration) {
        let u = &mut self.upstreams[place];
        let (Some(route), slots) = (run.route, u.registration.slots) else {
            return;
        };
        let reported = run.load.map_or(0, |load| load.total());
        let running = u.running.saturating_add(u.remote_running).saturating_add(1);
        let running = u.in_flight.mean(now, run.held, running.max(reported));
        let in_flight = (running, slots);
        let ratio = self.reference.ratio(route, run.list_index, work, in_flight);
        let before = u.withheld_slots();
        let change = ratio.and_then(|ratio| u.concurrency.record(now, run.held, in_flight, ratio));
        let Some(LimitChange { from, to }) = change else {
            return;
        };
        if u.limit_logged_at
            .is_none_or(|at| now >= at + LIMIT_LOG_INTERVAL)
        {
            u.limit_logged_at = Some(now);
            log::info!(
                event = "upstream-limit",
                upstream:% = u.registration.id,
                from,
                to,
                slots;
                ""
            );
        }
        let (zone, after) = (u.zone_hash, u.withheld_slots());
        self.change_withheld(zone, before, after);
    }

    fn push(&mut self, u: Upstream) {
        self.change_withheld(u.zone_hash, 0, u.withheld_slots());
        let slots = self.slots.entry(u.zone_hash).or_default();
        *slots = slots.saturating_add(u.ready_slots());
        self.index.insert(u.key, self.upstreams.len());
        self.upstreams.push(u);
    }

    fn remove_entry(&mut self, key: UpstreamKey) -> Option<Upstream> {
        let i = self.index.remove(&key)?;
        let u = self.upstreams.swap_remove(i);
        if let Some(moved) = self.upstreams.get(i) {
            self.index.insert(moved.key, i);
        }
        self.change_withheld(u.zone_hash, u.withheld_slots(), 0);
        if let Some(slots) = self.slots.get_mut(&u.zone_hash) {
            *slots = slots.saturating_sub(u.ready_slots());
        }
        Some(u)
    }

    fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(*self.index.get(&key)?)
    }

    /// Returns the measured work of a route, by the route's hash.
    pub fn work_of(&self, route: u64) -> &WorkByPosition {
        self.by_route
            .get(&route)
            .unwrap_or(&WorkByPosition::UNKNOWN)
    }
}

/// All known upstreams, by service.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    pools: BTreeMap<ServiceName, Pool>,
    /// What upstreams have said about themselves in their answers.
    notices: Notices,
}

impl Upstreams {
    /// Returns the pool of a service; `None` if no upstream of it was ever registered.
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
        all.map(|u| u.registration.id.clone()).collect()
    }

    /// Adds or updates a registration. An upstream that has restarted with the same id is cold for
    /// its service's cold time.
    pub fn register(
        &mut self,
        now: Instant,
        mut registration: Registration,
        service: Option<&Service>,
    ) {
        let notice = self.notices.get(registration.start().start);
        if notice.is_some_and(|n| n.leaving) {
            registration.standing = Standing::Draining;
        }
        let paused_until = notice.and_then(|n| n.paused_until);
        let mut cold_until = now.saturating_add(registration.cold_for);
        let known = self.remove_entry(&registration.id);
        let Some(mut u) = known else {
            let mut u = Upstream::new(registration, cold_until, now);
            u.paused_until = paused_until;
            u.is_resuming = paused_until.is_some();
            log::info!(
                event = "upstream-joined",
                upstream:% = u.registration.id,
                service:% = u.registration.service,
                zone:% = u.registration.zone,
                cold_ms = u.registration.cold_for.as_millis() as u64;
                ""
            );
            self.pool_mut(&u.registration.service.clone()).push(u);
            return;
        };
        if u.registration.born != registration.born {
            let cold_time = service.map_or(Duration::ZERO, |s| s.cold_time);
            cold_until = cold_until.max(now.saturating_add(cold_time));
            u.failures = 0;
            u.replaced = false;
            u.recent.clear();
            u.concurrency = ConcurrencyLimit::default();
            u.is_resuming = false;
        }
        u.paused_until = paused_until;
        if u.registration.standing != registration.standing {
            log::info!(
                event = "upstream-standing",
                upstream:% = registration.id,
                standing:? = registration.standing;
                ""
            );
        }
        u.cold_until =
            match registration.cold_for.is_zero() && u.registration.born == registration.born {
                true => u.cold_until,
                false => u.cold_until.max(cold_until),
            };
        u.zone_hash = zone_hash(&registration.zone);
        u.registration = registration;
        self.pool_mut(&u.registration.service.clone()).push(u);
    }

    fn remove_entry(&mut self, id: &UpstreamId) -> Option<Upstream> {
        let key = key_of(id);
        self.pools.values_mut().find_map(|p| p.remove_entry(key))
    }

    fn pool_mut(&mut self, service: &ServiceName) -> &mut Pool {
        self.pools.entry(service.clone()).or_default()
    }

    /// Removes an upstream, which gets no further requests; returns whether it was known.
    pub fn remove(&mut self, id: &UpstreamId) -> bool {
        let removed = self.remove_entry(id).is_some();
        if removed {
            log::info!(event = "upstream-left", upstream:% = id; "");
        }
        removed
    }

    /// Records that a start of an upstream leaves; returns whether this is new. Until this process
    /// ends, the upstream gets no new requests, whatever its registration says.
    pub fn record_leaving(&mut self, now: Instant, key: UpstreamKey, start: UpstreamStart) -> bool {
        let is_new = self.notices.record_leaving(now, start.start);
        let pool = self.pools.values_mut().find(|p| p.index.contains_key(&key));
        if let Some(pool) = pool
            && let Some(mut u) = pool.remove_entry(key)
        {
            if u.registration.start() == start {
                u.registration.standing = Standing::Draining;
            }
            pool.push(u);
        }
        is_new
    }

    /// Returns whether a start of an upstream has said that it leaves, or is registered as such.
    pub fn is_leaving(&self, start: UpstreamStart) -> bool {
        let is_draining = |u: &Upstream| {
            u.registration.standing == Standing::Draining && u.registration.start() == start
        };
        let has_said = self.notices.get(start.start).is_some_and(|n| n.leaving);
        has_said
            || self
                .pools
                .values()
                .flat_map(|p| &p.upstreams)
                .any(is_draining)
    }

    /// Records that a start of an upstream wants no requests from this host until `until`. Returns
    /// until when it is paused.
    pub fn record_pause(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        start: UpstreamStart,
        until: Instant,
    ) -> Instant {
        let until = self.notices.record_pause(now, start.start, until);
        if let Some(u) = self.find_mut(key)
            && u.registration.start() == start
        {
            u.paused_until = Some(until);
            u.is_resuming = true;
        }
        until
    }

    /// Marks all upstreams of a zone as cold for the cold time of their service.
    pub fn mark_zone_cold(
        &mut self,
        zone: &ZoneName,
        cold_time: impl Fn(&ServiceName) -> Duration,
        now: Instant,
    ) {
        for (service, pool) in &mut self.pools {
            let until = now.saturating_add(cold_time(service));
            for u in &mut pool.upstreams {
                if u.registration.zone == *zone {
                    u.cold_until = u.cold_until.max(until);
                }
            }
        }
    }

    /// Returns an upstream of a service by its key.
    pub fn get(&self, service: &ServiceName, key: UpstreamKey) -> Option<&Upstream> {
        let pool = self.pools.get(service)?;
        pool.upstreams.get(*pool.index.get(&key)?)
    }

    /// Returns an upstream of a service by its key.
    pub fn get_mut(&mut self, service: &ServiceName, key: UpstreamKey) -> Option<&mut Upstream> {
        self.pools.get_mut(service)?.get_mut(key)
    }

    /// Returns an upstream of any service by its key.
    pub fn find(&self, key: UpstreamKey) -> Option<&Upstream> {
        let index_of = |p: &Pool| p.index.get(&key).copied();
        self.pools
            .values()
            .find_map(|p| p.upstreams.get(index_of(p)?))
    }

    fn find_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.pools.values_mut().find_map(|p| p.get_mut(key))
    }

    /// Records that this host sent a request. Returns the object's previous position in the
    /// upstream's most-recently-used list. `cold` is the rate for a cold upstream, in requests per
    /// second, and the number of hosts that share it.
    pub fn record_start(
        &mut self,
        now: Instant,
        service: &ServiceName,
        key: UpstreamKey,
        object: Option<u64>,
        cold: Option<(f64, usize)>,
    ) -> Option<usize> {
        let u = self.get_mut(service, key)?;
        u.running += 1;
        let running = u.running.saturating_add(u.remote_running);
        u.in_flight.record(now, running);
        if let (true, Some((rate, hosts))) = (u.is_cold(now), cold) {
            u.cold_pace.record_sent(now, rate, hosts);
        }
        u.record_object(object)
    }

    /// Records that another host sends a request. Returns the object's previous position in the
    /// upstream's most-recently-used list. `cold` is as for [`Self::record_start`].
    pub fn record_grant(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        object: Option<u64>,
        cold: Option<(f64, usize)>,
    ) -> Option<usize> {
        let u = self.find_mut(key)?;
        let running = u.running.saturating_add(u.remote_running).saturating_add(1);
        u.in_flight.record(now, running);
        if let (true, Some((rate, hosts))) = (u.is_cold(now), cold) {
            u.cold_pace.record_sent(now, rate, hosts);
        }
        u.record_object(object)
    }

    /// Records the end of an attempt of this host at an earlier start of an upstream, which says
    /// nothing about the present one.
    pub fn record_end_at_earlier_start(&mut self, key: UpstreamKey) {
        if let Some(u) = self.find_mut(key) {
            u.running = u.running.saturating_sub(1);
        }
    }

    /// Records how an attempt of this host ended.
    pub fn record_end(
        &mut self,
        now: Instant,
        ended: &AttemptEnded,
        is_near: impl Fn(&ZoneName) -> bool,
    ) {
        // It may have registered for another service since.
        let Some(u) = self.find_mut(ended.key) else {
            return;
        };
        u.running = u.running.saturating_sub(1);
        let near = is_near(&u.registration.zone);
        let run = RunEnd {
            key: ended.key,
            route: Some(ended.route),
            list_index: ended.list_index,
            end: ended.end,
            held: ended.held,
            load: ended.load,
        };
        self.record_run_end(now, &run, near);
    }

    /// Updates the estimates from a finished run; `near` is true if it was sent from the upstream's
    /// region.
    pub fn record_run_end(&mut self, now: Instant, run: &RunEnd, near: bool) {
        let found = self.pools.values_mut().find_map(|p| {
            let place = *p.index.get(&run.key)?;
            Some((p, place))
        });
        let Some((pool, place)) = found else {
            return;
        };
        let u = &mut pool.upstreams[place];
        if let Some(load) = run.load {
            u.report(now, load);
        }
        // From another region, the network latency would count as work.
        if run.end == TryEnd::Whole && near {
            let held = run.held.as_secs_f64();
            let mean = pool.work.unwrap_or(held);
            pool.work = Some(mean + (held - mean) * SAMPLE_WEIGHT);
            if let Some(route) = run.route {
                let by_position = pool.by_route.entry(route).or_default();
                let expected = by_position
                    .expected_seconds(run.list_index)
                    .max(EXPECTED_WORK_MIN_SECONDS);
                // What the machine's pace explains is no property of the upstream or the object.
                let usual = u.pace.usual_time(now, run.held);
                u.slowness.record(now, usual.as_secs_f64() / expected);
                by_position.record(run.list_index, usual);
                pool.learn_limit(now, place, run, usual);
            }
        }
        let u = &mut pool.upstreams[place];
        u.finish(now, run.end, run.load);
    }

    /// Tries higher limits again where learned ones have been in force for a while.
    pub fn probe_limits(&mut self, now: Instant) {
        for pool in self.pools.values_mut() {
            pool.probe(now);
        }
    }

    /// Sets the number of requests that other hosts run on each upstream; 0 where none is given.
    pub fn set_remote_running(&mut self, running: &HashMap<UpstreamKey, u32>) {
        for pool in self.pools.values_mut() {
            for u in &mut pool.upstreams {
                u.remote_running = running.get(&u.key).copied().unwrap_or(0);
            }
        }
    }

    /// Adjusts the number of requests that other hosts run on some upstreams.
    pub fn change_remote_running(&mut self, changes: &[RunChange]) {
        for &(key, change) in changes {
            if let Some(u) = self.find_mut(key) {
                u.change_remote_running(change);
            }
        }
    }
}

/// A finished run on an upstream, with its outcome.
#[derive(Clone, Debug)]
pub struct RunEnd {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Hash of the request's route; `None` if the run is known only from its host's list of runs.
    pub route: Option<u64>,
    /// Position of the request's object in the upstream's most-recently-used list when the run
    /// began, or `None` if it was not in the list.
    pub list_index: Option<usize>,
    /// Outcome of the run.
    pub end: TryEnd,
    /// Time that the run held its slot.
    pub held: Duration,
    /// Load that the upstream reported with its answer, if it did.
    pub load: Option<LoadReport>,
}
