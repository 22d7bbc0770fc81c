//! Simulates the scheduling decisions of a whole fleet in virtual time, without a network.
//!
//! Real dispatchers exchange messages through an in-memory transport with delay and loss.
//! Upstreams are simulated; they process a request faster if its object is in their cache.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::{
    cell::Cell,
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use cardamomroad::{
    edge::{
        datagram::{
            Datagram,
            Outgoing, //
        },
        dispatcher::{
            Dispatcher,
            host_registration, //
        },
        message::{
            DatagramReceived,
            Job,
            PlacementDecision,
            RefusalReason,
            ReservedSlot,
            Submit,
            Tick,
            TopicObserved,
            TopicUpdate,
            UpdateOrigin, //
        },
        metrics::EdgeMetrics,
        model::{
            ConfigVersion,
            Configuration,
            Priority,
            Regions,
            Registration,
            Service,
            Standing, //
        },
        settings::{
            Bounds,
            Settings, //
        },
        topic::{
            Change,
            Changes,
            Record,
            Revision,
            Topic, //
        },
        topic_watch::UpdateSource,
        upstreams::{
            TryEnd,
            key_of, //
        },
    },
    post::post,
    quarantine::Suspect,
    util::id::{
        Incarnation,
        RegionName,
        ServiceName,
        ZoneName, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use smallvec::SmallVec;
use tokio::{
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    time::{
        Instant,
        interval,
        sleep, //
    },
};
use xtra::{
    Address,
    Mailbox, //
};

/// Interval between two ticks of a dispatcher.
const TICK: Duration = Duration::from_millis(50);
/// One-way message delay within a region.
const DELAY_WITHIN_REGION: Duration = Duration::from_millis(1);
/// One-way message delay between regions.
const DELAY_BETWEEN_REGIONS: Duration = Duration::from_millis(35);

/// Size and timing of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Zones as (zone, region, number of hosts, number of upstreams).
    pub zones: Vec<(&'static str, &'static str, usize, usize)>,
    /// Concurrent requests that an upstream accepts.
    pub slots: u32,
    /// Objects that an upstream keeps in its cache.
    pub cache_capacity: usize,
    /// Processing time of a request whose object is not cached.
    pub uncached: Duration,
    /// Processing time of a request whose object is cached.
    pub cached: Duration,
    /// Target response time of each request; the deadline is twice as long.
    pub latency_target: Duration,
    /// Size of each answer's body, in bytes.
    pub answer_bytes: u64,
}

/// State of a simulated upstream.
#[derive(Debug, Default)]
struct UpstreamState {
    cached_objects: Vec<u64>,
    running: u32,
    runs: usize,
}

/// Counters collected over the whole fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetStats {
    /// Maximum number of requests that ran concurrently at one upstream.
    pub most_running: u32,
    /// Requests rejected by an upstream because all its slots were taken.
    pub shed: usize,
    /// Runs whose object was not in the upstream's cache.
    pub uncached: usize,
    /// Total runs.
    pub runs: usize,
    /// Messages sent between hosts, including lost ones.
    pub messages: usize,
    /// Runs for callers of the upstream's zone.
    pub own_zone: usize,
    /// Runs for callers of another zone of the upstream's region.
    pub own_region: usize,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Answered after this time.
    Answered(Duration),
    /// Refused after this time.
    Refused(RefusalReason, Duration),
}

/// A simulated host.
#[derive(Clone)]
pub struct Host {
    pub settings: Arc<Settings>,
    pub dispatcher: Address<Dispatcher>,
    /// The configuration in force.
    pub configuration: Arc<ArcSwapOption<Configuration>>,
    partitioned: Arc<Mutex<bool>>,
    /// Messages to this host that were lost because one of the two hosts was partitioned.
    undelivered: Arc<Mutex<Vec<Datagram>>>,
}

impl Host {
    /// Delivers a message as if another host had sent it.
    pub async fn receive(&self, msg: Datagram) {
        let delivered = self.dispatcher.send(DatagramReceived { msg }).await;
        delivered.expect("dispatcher is running");
    }

    /// Submits a request; the receiver yields where it is sent.
    pub async fn submit(&self, job: Job) -> oneshot::Receiver<PlacementDecision> {
        let (reply, verdict) = oneshot::channel();
        let submitted = self.dispatcher.send(Submit { job, reply }).await;
        submitted.expect("dispatcher is running");
        verdict
    }

    /// Queues a change of one record for the dispatcher.
    pub fn publish(&self, topic: Topic, name: &str, record: Record) {
        let mut msg = full_update(topic, vec![(name.to_owned(), record)]);
        if let TopicUpdate::Whole(changes) = msg.news {
            msg.news = TopicUpdate::Since(changes);
        }
        post(&self.dispatcher, msg);
    }

    /// Takes the messages to this host that a partition has held up.
    pub fn take_undelivered(&self) -> Vec<Datagram> {
        std::mem::take(&mut self.undelivered.lock().expect("lock is not poisoned"))
    }

    /// Partitions the host from all others, or reconnects it.
    pub fn set_partitioned(&self, partitioned: bool) {
        *self.partitioned.lock().expect("lock is not poisoned") = partitioned;
    }

    fn is_partitioned(&self) -> bool {
        *self.partitioned.lock().expect("lock is not poisoned")
    }
}

/// A simulated fleet.
pub struct TestFleet {
    pub plan: Plan,
    pub hosts: Arc<Vec<Host>>,
    upstreams: Arc<Mutex<HashMap<u32, UpstreamState>>>,
    stats: Arc<Mutex<FleetStats>>,
    /// Fraction of the messages that is lost, in thousandths.
    loss_milli: Arc<Mutex<u32>>,
    next_request: Cell<u64>,
}

pub fn service() -> ServiceName {
    "dispatch".parse().expect("service")
}

fn settings(plan: &Plan, zone: &str, zone_index: usize, n: usize) -> Settings {
    let regions: BTreeMap<ZoneName, RegionName> = plan
        .zones
        .iter()
        .map(|(z, r, ..)| (z.parse().expect("zone"), r.parse().expect("region")))
        .collect();
    let at = |port| SocketAddr::from(([10, 0, zone_index as u8, n as u8], port));
    let zone: ZoneName = zone.parse().expect("zone");
    Settings {
        host: format!("{zone}-{n}").parse().expect("host"),
        region: regions[&zone].clone(),
        zone,
        regions,
        callers: at(80),
        readiness: at(81),
        lookups: at(82),
        peers: at(83),
        store: at(84),
        bounds: Bounds {
            revocation: Duration::from_secs(5),
            drain: Duration::from_secs(4),
            adoption: Duration::from_secs(4),
            evacuation: Duration::from_secs(5),
            grace: Duration::from_secs(6),
            upstream_heartbeat: Duration::from_millis(1500),
            reregistration: Duration::from_secs(2),
            lookup_ttl: Duration::from_secs(1),
            retry_ratio: 0.2,
            retry_slack: 200.0,
            max_shift: 0.15,
        },
        millicores: if n == 0 { 500 } else { 100 },
        memory_bytes: 1 << 28,
        is_first_start: true,
    }
}

/// Returns the registration of an upstream of [`service`].
pub fn upstream(zone: &str, zone_index: usize, n: usize, slots: u32) -> Registration {
    Registration {
        id: format!("i-{zone}-{n}").parse().expect("id"),
        service: service(),
        address: SocketAddr::from(([10, 1, zone_index as u8, n as u8], 90)),
        zone: zone.parse().expect("zone"),
        slots,
        standing: Standing::Ready,
        cold_for: Duration::ZERO,
        born: Some(1),
    }
}

/// Returns the configuration of a fleet without organisations.
pub fn configuration() -> Configuration {
    Configuration {
        version: ConfigVersion(1),
        routes: HashMap::new(),
        services: HashMap::from([(
            service(),
            Service {
                name: service(),
                cold_time: Duration::from_secs(3),
                cold_rate: 2.0,
            },
        )]),
        organisations: Vec::new(),
        keys: HashMap::new(),
        body_bytes_max: 1 << 20,
        client_limits: Default::default(),
        unreadable_parts: 0,
        requires_keys: false,
    }
}

fn full_update(topic: Topic, records: Vec<(String, Record)>) -> TopicObserved {
    let changes = records.into_iter().map(|(name, record)| Change {
        name,
        record: Some(record),
    });
    TopicObserved {
        topic,
        origin: UpdateOrigin::Store,
        read_at: cardamomroad::edge::relay::SuspendAwareInstant::now(),
        news: TopicUpdate::Whole(Changes {
            changes: changes.collect(),
            revision: Revision(1),
            ..Changes::default()
        }),
    }
}

impl TestFleet {
    /// Starts a fleet, publishes its configuration and waits 5 s for the hosts to exchange
    /// messages.
    pub async fn start(plan: Plan) -> Self {
        let (mut hosts, mut outgoing) = (Vec::new(), Vec::new());
        for (zone_index, (zone, _, count, _)) in plan.zones.iter().enumerate() {
            for n in 0..*count {
                let settings = Arc::new(settings(&plan, zone, zone_index, n));
                let (tx, rx) = mpsc::channel(4096);
                let configuration = Arc::new(ArcSwapOption::empty());
                let dispatcher = Dispatcher::new(
                    settings.clone(),
                    Incarnation(1),
                    configuration.clone(),
                    tx,
                    watch::channel(UpdateSource::default()).0,
                    Arc::new(EdgeMetrics::new()),
                    hosts.len() as u64,
                );
                let dispatcher = xtra::spawn_tokio(dispatcher, Mailbox::unbounded());
                hosts.push(Host {
                    settings,
                    dispatcher,
                    configuration,
                    partitioned: Arc::default(),
                    undelivered: Arc::default(),
                });
                outgoing.push(rx);
            }
        }
        let fleet = Self {
            plan,
            hosts: Arc::new(hosts),
            upstreams: Arc::default(),
            stats: Arc::default(),
            loss_milli: Arc::default(),
            next_request: Cell::new(0),
        };
        for (host, rx) in fleet.hosts.iter().zip(outgoing) {
            tokio::spawn(tick(host.dispatcher.clone()));
            tokio::spawn(fleet.message_forwarder(host.clone(), rx));
        }
        fleet.publish().await;
        sleep(Duration::from_secs(5)).await;
        fleet
    }

    /// Sends all hosts the records that the platform publishes.
    async fn publish(&self) {
        let entries = self.hosts.iter().map(|h| host_registration(&h.settings));
        let hosts: Vec<_> = entries
            .map(|e| (e.name.to_string(), Record::Host(Box::new(e))))
            .collect();
        let mut upstreams = Vec::new();
        for (zone_index, (zone, _, _, count)) in self.plan.zones.iter().enumerate() {
            for n in 0..*count {
                let entry = upstream(zone, zone_index, n, self.plan.slots);
                upstreams.push((entry.id.to_string(), Record::Upstream(Box::new(entry))));
            }
        }
        let cfg = Record::Configuration(Arc::new(configuration()));
        for host in self.hosts.iter() {
            for msg in [
                full_update(Topic::Hosts, hosts.clone()),
                full_update(Topic::Configuration, vec![("main".to_owned(), cfg.clone())]),
                full_update(Topic::Upstreams, upstreams.clone()),
            ] {
                host.dispatcher
                    .send(msg)
                    .await
                    .expect("dispatcher is running");
            }
            tokio::spawn(refresh(host.dispatcher.clone()));
        }
    }

    /// Returns a task that forwards one host's messages to the other hosts.
    fn message_forwarder(
        &self,
        from: Host,
        mut outgoing: mpsc::Receiver<Outgoing>,
    ) -> impl Future<Output = ()> + use<> {
        let hosts = self.hosts.clone();
        let (stats, loss_milli) = (self.stats.clone(), self.loss_milli.clone());
        let by_address: HashMap<SocketAddr, usize> = hosts
            .iter()
            .enumerate()
            .map(|(i, h)| (h.settings.peers, i))
            .collect();
        let mut rng = SmallRng::seed_from_u64(u64::from(from.settings.peers.port()));
        async move {
            while let Some((to, msg)) = outgoing.recv().await {
                for address in to {
                    let host = hosts[by_address[&address]].clone();
                    stats.lock().expect("lock is not poisoned").messages += 1;
                    let is_lost = rng.random_range(0..1000)
                        < *loss_milli.lock().expect("lock is not poisoned");
                    if from.is_partitioned() || host.is_partitioned() {
                        let mut undelivered =
                            host.undelivered.lock().expect("lock is not poisoned");
                        undelivered.push(msg.clone());
                        continue;
                    }
                    if is_lost {
                        continue;
                    }
                    let delay = match host.settings.region == from.settings.region {
                        true => DELAY_WITHIN_REGION,
                        false => DELAY_BETWEEN_REGIONS,
                    };
                    let msg = msg.clone();
                    tokio::spawn(async move {
                        sleep(delay).await;
                        drop(host.dispatcher.send(DatagramReceived { msg }).await);
                    });
                }
            }
        }
    }

    /// Sets the fraction of messages between hosts that is lost, in thousandths.
    pub fn set_loss_milli(&self, loss: u32) {
        *self.loss_milli.lock().expect("lock is not poisoned") = loss;
    }

    /// Returns the number of runs in each region.
    pub fn runs_by_region(&self) -> BTreeMap<&'static str, usize> {
        let mut runs = BTreeMap::new();
        let upstreams = self.upstreams.lock().expect("lock is not poisoned");
        for (zone_index, (zone, region, _, count)) in self.plan.zones.iter().enumerate() {
            for n in 0..*count {
                let key = key_of(&upstream(zone, zone_index, n, 1).id);
                let runs_of_upstream = upstreams.get(&key).map_or(0, |u| u.runs);
                *runs.entry(*region).or_default() += runs_of_upstream;
            }
        }
        runs
    }

    pub fn stats(&self) -> MutexGuard<'_, FleetStats> {
        self.stats.lock().expect("lock is not poisoned")
    }

    /// Returns the hosts of a zone.
    pub fn hosts_in_zone(&self, zone: &str) -> Vec<Host> {
        let hosts = self.hosts.iter();
        let hosts = hosts.filter(|h| h.settings.zone.as_str() == zone);
        hosts.cloned().collect()
    }

    /// Returns a new request for an object.
    pub fn job(&self, object: u64) -> Job {
        let id = self.next_request.get();
        self.next_request.set(id + 1);
        let now = Instant::now();
        Job {
            id: format!("r{id}"),
            service: service(),
            organisation: None,
            priority: Priority(1),
            route_priority: Priority(1),
            route: 1,
            bytes: 0,
            object,
            has_object: true,
            regions: Regions::new(),
            received: now,
            suspect: Suspect(u128::from(id)),
            lost_time: Duration::ZERO,
            latency_target: self.plan.latency_target,
            deadline: now + self.plan.latency_target * 2,
            tried: SmallVec::new(),
            may_have_run: false,
        }
    }

    /// Sends a request for an object through a host. The receiver yields its outcome.
    pub fn send(&self, host: &Host, object: u64) -> oneshot::Receiver<Outcome> {
        let job = self.job(object);
        let (outcome_tx, outcome_rx) = oneshot::channel();
        let (host, plan) = (host.clone(), self.plan.clone());
        let (upstreams, stats) = (self.upstreams.clone(), self.stats.clone());
        tokio::spawn(async move {
            let start = job.received;
            let verdict = host.submit(job).await;
            let outcome = match verdict.await.expect("dispatcher sends a verdict") {
                PlacementDecision::Refused(refused) => {
                    Outcome::Refused(refused.reason, start.elapsed())
                }
                PlacementDecision::Send(placed) => {
                    count_place(&plan, &stats, &host.settings, &placed);
                    match run(&plan, &upstreams, &stats, object, *placed).await {
                        true => Outcome::Answered(start.elapsed()),
                        false => Outcome::Refused(RefusalReason::TriesExhausted, start.elapsed()),
                    }
                }
            };
            // Callers may drop the receiver.
            outcome_tx.send(outcome).ok();
        });
        outcome_rx
    }
}

async fn tick(dispatcher: Address<Dispatcher>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        if dispatcher.send(Tick).await.is_err() {
            return;
        }
    }
}

/// Confirms the configuration every second, so that it does not become stale.
async fn refresh(dispatcher: Address<Dispatcher>) {
    loop {
        sleep(Duration::from_secs(1)).await;
        let mut msg = full_update(Topic::Configuration, Vec::new());
        msg.news = TopicUpdate::Since(Changes {
            changes: Vec::new(),
            revision: Revision(1),
            ..Changes::default()
        });
        if dispatcher.send(msg).await.is_err() {
            return;
        }
    }
}

/// Counts the location of a run's upstream relative to the caller's host.
fn count_place(plan: &Plan, stats: &Mutex<FleetStats>, host: &Settings, placed: &ReservedSlot) {
    let id = placed.id.to_string();
    let (name, region, ..) = plan
        .zones
        .iter()
        .find(|(zone, ..)| id.starts_with(&format!("i-{zone}-")))
        .expect("zone of the upstream");
    let mut stats = stats.lock().expect("lock is not poisoned");
    stats.own_zone += usize::from(host.zone.as_str() == *name);
    stats.own_region += usize::from(host.zone.as_str() != *name && host.region.as_str() == *region);
}

/// Runs a request at an upstream. Returns false if the upstream had no free slot.
async fn run(
    plan: &Plan,
    upstreams: &Mutex<HashMap<u32, UpstreamState>>,
    stats: &Mutex<FleetStats>,
    object: u64,
    mut placed: ReservedSlot,
) -> bool {
    let key = key_of(&placed.id);
    let work = {
        let mut upstreams = upstreams.lock().expect("lock is not poisoned");
        let u = upstreams.entry(key).or_default();
        let mut stats = stats.lock().expect("lock is not poisoned");
        if u.running >= plan.slots {
            stats.shed += 1;
            placed.ended(TryEnd::Shed);
            return false;
        }
        u.running += 1;
        u.runs += 1;
        stats.runs += 1;
        stats.most_running = stats.most_running.max(u.running);
        let is_cached = u.cached_objects.contains(&object);
        stats.uncached += usize::from(!is_cached);
        u.cached_objects.retain(|o| *o != object);
        u.cached_objects.insert(0, object);
        u.cached_objects.truncate(plan.cache_capacity);
        if is_cached {
            plan.cached
        } else {
            plan.uncached
        }
    };
    sleep(work).await;
    if let Some(u) = upstreams
        .lock()
        .expect("lock is not poisoned")
        .get_mut(&key)
    {
        u.running -= 1;
    }
    placed.ended(TryEnd::Whole);
    placed.received(plan.answer_bytes);
    true
}
