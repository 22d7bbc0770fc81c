//! The event loop of a run: a discrete-event simulation in virtual time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Duration, //
};

use cardamomroad::{
    bucket::{
        Bucket,
        Quota, //
    },
    budget::{
        Attempt,
        Debit, //
    },
    config::object::ConfigSet,
    lookup::{
        HostStatus,
        Table, //
    },
    plan::Plan,
    planner::Planner,
    share::MILLI_REQUESTS,
    util::id::Generation, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use rand_distr::{
    Distribution,
    Exp,
    LogNormal, //
};
use tokio::time::Instant;

use crate::policy::{
    Run,
    deployment::{
        CLIENT_DELAY,
        Deployment,
        HOSTS,
        REGIONS,
        SERVICES,
        ZONES,
        name_of,
        region_of, //
    },
    fakes::{
        Caller,
        LinkMeter,
        Server,
        ask, //
    },
    planning::{
        Observed,
        PLAN_PROPAGATION,
        TICK, //
    },
    scenario::{
        FAULT_AT,
        Policy,
        SKEW_FRACTION,
        Scenario,
        organisations, //
    },
    setup::{
        self,
        CALLERS_PER_ZONE,
        Host, //
    },
    tally::{
        Figures,
        Refused,
        Tally, //
    },
};

/// The sigma of the log-normal processing time of short requests.
const WORK_SIGMA: f64 = 0.5;
/// The time between the failure of a host and its detection.
pub const DETECTION_DELAY: Duration = Duration::from_secs(3);
/// The time that requests have to finish after arrivals end.
const FINISH_TIME: Duration = Duration::from_secs(5);

/// A scheduled event. Request ids index the run's table of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A caller sends a request to a service (index).
    Arrive(usize),
    /// A request (id) that had to wait for rate budget is admitted again.
    RetryAdmit(usize),
    /// The next chunk of a request (id) is sent over a link.
    Send(usize),
    /// An upstream finishes a request (id).
    Served(usize),
    /// The response to a request (id) is sent over a link.
    Answer(usize),
    /// The periodic work of all hosts runs.
    Tick,
    /// All planners run a step.
    Plan,
    /// The hosts of a region (index) start to use its latest plan.
    Publish(usize),
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Req {
    /// Index of the organisation that sends it.
    pub organisation: usize,
    /// Index of the service.
    pub service: usize,
    /// Index of the entry host, which receives it from the caller.
    pub host: usize,
    /// Index of the gateway that selects the upstream.
    pub gateway: usize,
    /// Index of the gateway of the same zone that forwarded it, if any.
    pub forwarded_by: Option<usize>,
    /// The upstream's zone, and its index within zone and service.
    pub server: (usize, usize),
    /// Upload size in bytes; 0 for a short request.
    pub size: f64,
    /// Bytes still to send over a link.
    pub bytes_left: u64,
    /// Processing time: at a warm upstream until it starts, then at the selected one.
    pub work: Duration,
    /// When the caller sent it.
    pub sent_at: Instant,
    /// When the caller stops waiting for it to start.
    pub deadline: Instant,
    /// The lowest possible latency.
    pub best_latency: Duration,
    /// Round-trip delays that are not simulated as events.
    pub hop_delay: Duration,
    /// Whether it arrived within the measured part of the run.
    pub measured: bool,
    /// When it first had to wait for its current budget; absent if it does not wait.
    pub since: Option<Instant>,
    /// Bandwidth reservation on the link, if it is an upload that crosses one.
    pub reserved: Option<cardamomroad::link::ReservationId>,
    /// Whether it crosses a link between regions.
    pub crosses: bool,
    /// Whether it occupies a slot.
    pub holds_slot: bool,
    /// When it took its slot; the arrival time before that.
    pub started_at: Instant,
}

/// The complete state of a run.
pub struct World {
    pub(super) d: &'static Deployment,
    pub(super) scenario: Scenario,
    pub(super) policy: Policy,
    pub(super) set: ConfigSet,
    pub(super) start: Instant,
    pub(super) now: Instant,
    pub(super) rng: StdRng,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    pub(super) hosts: Vec<Host>,
    pub(super) servers: Vec<[Vec<Server>; SERVICES]>,
    pub(super) links: Vec<LinkMeter>,
    callers: Vec<Caller>,
    pub(super) reqs: Vec<Option<Req>>,
    free: Vec<usize>,
    pub(super) table: Table,
    pub(super) plans: Vec<Plan>,
    pub(super) planners: Vec<Planner>,
    pub(super) observed: Observed,
    inside: Vec<Bucket>,
    started: Vec<Bucket>,
    pub(super) tally: Tally,
}

impl World {
    /// Creates the initial state of a run and schedules its first events.
    pub fn new(run: Run, seed: u64) -> Self {
        let d = run.deployment;
        let start = Instant::now();
        let set = d.set();
        let own = set.zones[0].name.clone();
        let listed = setup::listed(d, |_| HostStatus::Live);
        let plan = |r: usize| Plan::new(name_of(d.regions[r]), Generation(1), 1);
        let quota = |o: usize| {
            let organisation = &set.organisations[o];
            let burst = u64::from(organisation.burst) * MILLI_REQUESTS;
            Bucket::new(Quota::new(organisation.rate.0, burst), start)
        };
        let mut world = Self {
            d,
            scenario: run.scenario,
            policy: run.policy,
            start,
            now: start,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            hosts: setup::hosts(d, &set, start),
            servers: setup::servers(d),
            links: vec![LinkMeter::default(); REGIONS * (REGIONS - 1)],
            callers: setup::callers(),
            reqs: Vec::new(),
            free: Vec::new(),
            table: Table::new(Generation(1), &set, &own, &listed),
            plans: (0..REGIONS).map(plan).collect(),
            planners: (0..REGIONS)
                .map(|r| Planner::with_plan(plan(r), 1))
                .collect(),
            observed: Observed::new(start),
            inside: organisations().map(quota).collect(),
            started: organisations().map(quota).collect(),
            tally: Tally::default(),
            set,
        };
        world.at(TICK, Event::Tick);
        world.at(cardamomroad::planner::PLAN_PERIOD, Event::Plan);
        (0..SERVICES).for_each(|s| world.at(Duration::ZERO, Event::Arrive(s)));
        world
    }

    /// Processes events until the end of the run and returns the results.
    pub fn run(mut self) -> Figures {
        let end = self.start + self.scenario.length() + FINISH_TIME;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.tally.figures(self.slot_seconds(), self.link_peak())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(service) => self.arrive(service),
            Event::RetryAdmit(id) => self.admit(id),
            Event::Send(id) => self.send(id),
            Event::Served(id) => self.served(id),
            Event::Answer(id) => self.answer(id),
            Event::Tick => self.tick(),
            Event::Plan => {
                self.at(cardamomroad::planner::PLAN_PERIOD, Event::Plan);
                self.step_planners();
            }
            Event::Publish(region) => self.publish(region),
        }
    }

    /// Schedules an event `after` the current time.
    pub(super) fn at(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        let key = (self.now + after, self.sequence, event);
        self.events.push(Reverse(key));
    }

    /// Returns the time since the start.
    pub(super) fn offset(&self) -> Duration {
        self.now - self.start
    }

    /// Returns whether a zone's hosts and upstreams have failed.
    pub(super) fn is_dead(&self, zone: usize) -> bool {
        self.scenario.is_lost(self.offset(), region_of(zone))
    }

    /// Returns whether a zone's failure has been detected.
    pub(super) fn is_known_dead(&self, zone: usize) -> bool {
        let before = self.offset().saturating_sub(DETECTION_DELAY);
        self.scenario.is_lost(before, region_of(zone))
    }

    /// Returns whether hosts of two zones can reach each other.
    pub(super) fn reaches(&self, a: usize, b: usize) -> bool {
        !self.is_dead(a) && !self.is_dead(b) && !self.scenario.is_cut(self.offset(), a, b)
    }

    fn arrive(&mut self, service: usize) {
        let at = self.offset();
        if at > self.scenario.length() {
            return;
        }
        let demand_share = |o: usize, r: usize| self.scenario.demand_share(at, service, o, r);
        let shares: Vec<f64> = organisations()
            .flat_map(|o| (0..REGIONS).map(move |r| (o, r)))
            .map(|(o, r)| demand_share(o, r))
            .collect();
        let total: f64 = shares.iter().sum();
        let rate = self.d.services[service].rate() * total;
        let wait = Exp::new(rate).map_or(1.0, |d| d.sample(&mut self.rng));
        self.at(Duration::from_secs_f64(wait), Event::Arrive(service));
        let mut point = self.rng.random::<f64>() * total;
        let drawn = shares.iter().position(|p| {
            point -= p;
            point <= 0.0
        });
        let drawn = drawn.unwrap_or(0);
        self.request(service, drawn / REGIONS, drawn % REGIONS);
    }

    /// Creates a request, counts it and sends it to an entry host.
    fn request(&mut self, service: usize, organisation: usize, region: usize) {
        let zones = Scenario::zones(region);
        let zone = self.rng.random_range(zones);
        let (size, work) = self.draw(service);
        let delay = |r: usize| match r == region {
            true => CLIENT_DELAY,
            false => CLIENT_DELAY + self.d.delay,
        };
        let nearest = (0..REGIONS).filter(|r| !self.scenario.is_lost(self.offset(), *r));
        let nearest = nearest.map(delay).min().unwrap_or(CLIENT_DELAY);
        let upload = self.d.services[service].upload.as_ref();
        let transfer = upload.map_or(0.0, |u| size / u.uplink);
        let inside = self.inside[organisation].debit(self.now, MILLI_REQUESTS);
        let measured = self.offset() >= self.scenario.measure_at();
        let count = &mut self.tally.counts[service][organisation];
        count.inside += u64::from(inside && measured);
        count.offered += u64::from(measured);
        let Some(host) = self.entry(organisation, zone) else {
            if measured {
                self.tally
                    .refused(service, organisation, Refused::Unreachable);
            }
            return;
        };
        let req = Req {
            organisation,
            service,
            host,
            gateway: host,
            forwarded_by: None,
            server: (0, 0),
            size,
            bytes_left: 0,
            work,
            sent_at: self.now,
            deadline: self.now + self.d.services[service].deadline,
            best_latency: nearest * 2 + work + Duration::from_secs_f64(transfer),
            hop_delay: delay(region_of(self.hosts[host].zone)) * 2,
            measured,
            since: None,
            reserved: None,
            crosses: false,
            holds_slot: false,
            started_at: self.now,
        };
        let id = self.insert(req);
        self.admit(id);
    }

    /// Draws the upload size in bytes and the processing time of a request.
    fn draw(&mut self, service: usize) -> (f64, Duration) {
        let sizing = &self.d.services[service];
        if let Some(u) = &sizing.upload {
            return (u.size(self.rng.random()), sizing.work);
        }
        let mean = sizing.work.as_secs_f64();
        let mu = mean.ln() - WORK_SIGMA * WORK_SIGMA / 2.0;
        let work = LogNormal::new(mu, WORK_SIGMA).map_or(mean, |d| d.sample(&mut self.rng));
        (0.0, Duration::from_secs_f64(work))
    }

    /// Returns the entry host that a random caller uses, or `None` if none responds.
    fn entry(&mut self, organisation: usize, zone: usize) -> Option<usize> {
        if let Some(host) = self.scenario.pinned(organisation)
            && self.rng.random::<f64>() < SKEW_FRACTION
        {
            return Some(host);
        }
        let i = self.rng.random_range(0..CALLERS_PER_ZONE);
        let i = (organisation * ZONES + zone) * CALLERS_PER_ZONE + i;
        let dead: Vec<bool> = (0..HOSTS)
            .map(|h| self.is_dead(self.hosts[h].zone))
            .collect();
        let names = &self.hosts;
        let index = |name: &str| names.iter().position(|h| h.name.as_str() == name);
        let table = &self.table;
        let caller = &mut self.callers[i];
        caller.host(
            self.now,
            |client| ask(table, client, index),
            |h| !dead[h],
            &mut self.rng,
        )
    }

    /// Debits a request from the host's rate budget, then starts or queues it.
    fn admit(&mut self, id: usize) {
        let Some(req) = &self.reqs[id] else {
            return;
        };
        let (host, organisation) = (req.host, req.organisation);
        if self.is_dead(self.hosts[host].zone) {
            self.lose(id);
            return;
        }
        let attempt = match req.since {
            None => Attempt::First,
            Some(since) => Attempt::Retry { since },
        };
        let name = &self.set.organisations[organisation].name;
        let debit = self.hosts[host].budgets.debit(self.now, name, attempt);
        match debit {
            Debit::Granted => {
                let within = self.started[organisation].debit(self.now, MILLI_REQUESTS);
                self.tally.over_rate += u64::from(!within);
                let zone = self.hosts[host].zone;
                if let Some(req) = &self.reqs[id] {
                    self.observed.count(zone, req.service);
                }
                self.start_or_queue(id);
            }
            Debit::Wait { until } => {
                if let Some(req) = &mut self.reqs[id] {
                    req.since.get_or_insert(self.now);
                }
                self.at(until - self.now, Event::RetryAdmit(id));
            }
            Debit::Refused { .. } => self.refuse(id, Refused::Rate),
        }
    }

    /// Removes and counts a refused request.
    pub(super) fn refuse(&mut self, id: usize, why: Refused) {
        let Some(req) = self.remove(id) else {
            return;
        };
        if req.measured {
            self.tally.refused(req.service, req.organisation, why);
        }
    }

    /// Removes and counts a request whose host, gateway or upstream failed.
    pub(super) fn lose(&mut self, id: usize) {
        let Some(req) = self.remove(id) else {
            return;
        };
        self.tally.lost += 1;
        if req.holds_slot {
            self.release(&req);
        }
    }

    /// Removes an answered request and records its latency. Requests of the
    /// flooding organisation are not recorded.
    pub(super) fn done(&mut self, id: usize) {
        let Some(req) = self.remove(id) else {
            return;
        };
        if req.measured && !self.scenario.floods(req.organisation) {
            let latency = self.now - req.sent_at + req.hop_delay;
            self.tally
                .answered(req.service, latency.saturating_sub(req.best_latency));
        }
    }

    fn insert(&mut self, req: Req) -> usize {
        if let Some(id) = self.free.pop() {
            self.reqs[id] = Some(req);
            return id;
        }
        self.reqs.push(Some(req));
        self.reqs.len() - 1
    }

    fn remove(&mut self, id: usize) -> Option<Req> {
        let req = self.reqs[id].take()?;
        self.free.push(id);
        Some(req)
    }

    /// Returns the busiest minute of any link, relative to the link's capacity.
    fn link_peak(&self) -> f64 {
        let minutes = self.links.iter().map(LinkMeter::busiest_minute);
        let busiest = minutes.max().unwrap_or(0) as f64;
        busiest / self.d.link.bytes_per_minute().0 as f64
    }

    /// Returns the slot time available at open zones while measuring, in seconds by service.
    fn slot_seconds(&self) -> [f64; SERVICES] {
        let begin = self.scenario.measure_at();
        let at = |service: usize| {
            let sizing = &self.d.services[service];
            let zones = (0..ZONES).map(|zone| {
                let lost = self.scenario.is_lost(FAULT_AT, region_of(zone));
                let shut = lost || self.scenario.is_drained(FAULT_AT, zone, service);
                let open = if shut {
                    FAULT_AT
                } else {
                    self.scenario.length()
                };
                open.saturating_sub(begin).as_secs_f64()
            });
            let slots = sizing.servers_per_zone() as f64 * f64::from(sizing.slots);
            zones.sum::<f64>() * slots
        };
        [at(0), at(1)]
    }

    /// Makes the hosts of a region use its latest plan.
    fn publish(&mut self, region: usize) {
        self.plans[region] = self.planners[region].plan().clone();
        let closed = &self.plans[region];
        if !closed.closed.is_empty() {
            self.table = self.table.with_plan(closed);
        }
    }

    /// Runs a step of every planner and schedules the publication of the plans.
    /// Called periodically and when the configuration changes.
    pub(super) fn step_planners(&mut self) {
        for region in 0..REGIONS {
            if !self.step_planner(region) {
                continue;
            }
            self.at(PLAN_PROPAGATION, Event::Publish(region));
        }
    }
}
