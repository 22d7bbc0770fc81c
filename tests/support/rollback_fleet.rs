//! Hosts in virtual time that follow a store which can go back to an older copy, fail, or close the
//! connections of waiting watches. They exchange messages and relay queries in memory.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use cardamomroad::{
    edge::{
        datagram::Outgoing,
        dialect::LookupQuery,
        dispatcher::{
            Dispatcher,
            host_registration, //
        },
        message::{
            ConfirmedConfiguration,
            DatagramReceived,
            Job,
            Lookup,
            PlacementDecision,
            Submit,
            Tick, //
        },
        metrics::EdgeMetrics,
        model::{
            ConfigVersion,
            Configuration,
            HostRegistration,
            Priority,
            Regions,
            Registration,
            Standing, //
        },
        relay::{
            RelayQuery,
            SuspendAwareInstant,
            TopicCaches, //
        },
        settings::{
            Bounds,
            Settings, //
        },
        topic::{
            ANSWER_TIMEOUT,
            Change,
            Changes,
            Era,
            Record,
            Revision,
            Source,
            SourceError,
            Topic, //
        },
        topic_watch::{
            UpdateSource,
            follow_store, //
        },
    },
    quarantine::Suspect,
    util::id::{
        HostName,
        Incarnation, //
    },
};
use smallvec::SmallVec;
use tokio::{
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    task::JoinSet,
    time::{
        Instant,
        sleep,
        sleep_until, //
    },
};
use xtra::{
    Address,
    Mailbox, //
};

/// Time that a message or query takes from one host to another.
const DELAY: Duration = Duration::from_millis(2);

/// Number of the next process, so that hosts accept the messages of one that has restarted.
static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(1);

/// The data of a store, which can be copied.
#[derive(Clone, Default)]
pub struct Data {
    revision: u64,
    records: BTreeMap<(usize, String), Record>,
    history: Vec<(usize, u64, Change)>,
}

#[derive(Default)]
struct State {
    data: Data,
    /// Era that answers carry.
    era: Option<Era>,
    lists: usize,
    calls: usize,
    /// How calls fail; `None` while they are answered.
    fault: Option<Fault>,
    /// Number of times that the waiting watches were closed.
    cuts: u64,
    /// Number of times that the open connections went silent.
    silences: u64,
}

/// How all calls of a store fail.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// They are refused at once.
    Refused,
    /// They get no answer, and time out.
    Silent,
}

/// A store without a network.
pub struct FakeStore {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl FakeStore {
    pub fn new(era: Option<u64>) -> Arc<Self> {
        let store = Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        };
        store.state().era = era.map(Era);
        Arc::new(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }

    /// Writes a record, or removes it.
    pub fn write(&self, topic: Topic, name: &str, record: Option<Record>) {
        let mut state = self.state();
        let data = &mut state.data;
        data.revision += 1;
        let key = (topic.index(), name.to_owned());
        match &record {
            Some(record) => data.records.insert(key, record.clone()),
            None => data.records.remove(&key),
        };
        let name = name.to_owned();
        let change = Change { name, record };
        data.history.push((topic.index(), data.revision, change));
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }

    pub fn write_configuration(&self, version: u64) {
        let record = Record::Configuration(configuration(version));
        self.write(Topic::Configuration, "main", Some(record));
    }

    pub fn write_upstream(&self, zone: &str, standing: Standing) {
        let entry = upstream(zone, standing);
        let record = Record::Upstream(Box::new(entry));
        self.write(Topic::Upstreams, &format!("u-{zone}"), Some(record));
    }

    pub fn copy(&self) -> Data {
        self.state().data.clone()
    }

    /// Goes back to a copy. The watches that wait at this moment wait on.
    pub fn go_back(&self, data: &Data, era: u64) {
        let mut state = self.state();
        state.data = data.clone();
        state.era = Some(Era(era));
    }

    /// Makes all calls fail, also those that wait, or ends that.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.state().fault = fault;
        self.changed.send_modify(|n| *n += 1);
    }

    /// Closes the connections of the watches that wait.
    pub fn cut_watches(&self) {
        self.state().cuts += 1;
        self.changed.send_modify(|n| *n += 1);
    }

    /// Makes the connections of the watches that wait silent. New calls are answered.
    pub fn silence_watches(&self) {
        self.state().silences += 1;
    }

    /// Waits until a call fails that cannot be answered.
    async fn fail(fault: Fault, end: Instant) -> SourceError {
        match fault {
            Fault::Refused => SourceError::Refused(503),
            Fault::Silent => {
                sleep_until(end + ANSWER_TIMEOUT).await;
                SourceError::NoAnswer("no answer in time".to_owned())
            }
        }
    }

    /// Returns how many lists and how many calls in total there were.
    pub fn calls(&self) -> (usize, usize) {
        let state = self.state();
        (state.lists, state.calls)
    }
}

impl Source for FakeStore {
    async fn list(&self, topic: Topic) -> Result<Changes, SourceError> {
        sleep(DELAY).await;
        let fault = self.state().fault;
        if let Some(fault) = fault {
            return Err(Self::fail(fault, Instant::now()).await);
        }
        let mut state = self.state();
        state.lists += 1;
        state.calls += 1;
        let records = state.data.records.iter();
        let records = records.filter(|((t, _), _)| *t == topic.index());
        let changes = records.map(|((_, name), record)| Change {
            name: name.clone(),
            record: Some(record.clone()),
        });
        Ok(Changes {
            changes: changes.collect(),
            revision: Revision(state.data.revision),
            era: state.era,
            rewritten: Vec::new(),
        })
    }

    async fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, SourceError> {
        let end = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        let (cuts, silences) = {
            let mut state = self.state();
            state.calls += 1;
            (state.cuts, state.silences)
        };
        loop {
            let fault = match self.state() {
                state if state.silences != silences => Some(Fault::Silent),
                state => state.fault,
            };
            if let Some(fault) = fault {
                return Err(Self::fail(fault, end).await);
            }
            {
                let state = self.state();
                if state.cuts != cuts {
                    return Err(SourceError::NoAnswer("connection closed".to_owned()));
                }
                let data = &state.data;
                if after.0 > data.revision {
                    return Err(SourceError::HistoryLost);
                }
                let later = data.history.iter();
                let later = later.filter(|(t, r, _)| *t == topic.index() && *r > after.0);
                let changes: Vec<Change> = later.map(|(.., change)| change.clone()).collect();
                if !changes.is_empty() || Instant::now() >= end {
                    return Ok(Changes {
                        changes,
                        revision: Revision(data.revision),
                        era: state.era,
                        rewritten: Vec::new(),
                    });
                }
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = sleep_until(end) => {}
            }
        }
    }

    async fn register(&self, host: &HostRegistration) -> Result<Option<Era>, SourceError> {
        let record = Record::Host(Box::new(host.clone()));
        self.write(Topic::Hosts, host.name.as_str(), Some(record));
        Ok(self.state().era)
    }

    async fn unregister(&self, host: &HostName) -> Result<(), SourceError> {
        self.write(Topic::Hosts, host.as_str(), None);
        Ok(())
    }
}

pub fn configuration(version: u64) -> Arc<Configuration> {
    Arc::new(Configuration {
        version: ConfigVersion(version),
        routes: HashMap::new(),
        services: HashMap::new(),
        organisations: Vec::new(),
        keys: HashMap::new(),
        body_bytes_max: 1 << 20,
        unreadable_parts: 0,
        requires_keys: false,
        client_limits: Default::default(),
    })
}

/// Returns the registration of the only upstream of a zone.
pub fn upstream(zone: &str, standing: Standing) -> Registration {
    Registration {
        id: format!("u-{zone}").parse().expect("id"),
        service: "desk".parse().expect("service"),
        address: SocketAddr::from(([10, 1, zone.as_bytes()[0], 1], 90)),
        zone: zone.parse().expect("zone"),
        slots: 4,
        standing,
        cold_for: Duration::ZERO,
        born: Some(1),
    }
}

fn settings(name: &str) -> Settings {
    let at = |port| SocketAddr::from(([10, 0, name.as_bytes()[1], 1], port));
    let regions = ["a", "b"].map(|z| (z.parse().expect("zone"), "land".parse().expect("region")));
    Settings {
        host: name.parse().expect("host"),
        region: "land".parse().expect("region"),
        zone: "a".parse().expect("zone"),
        regions: BTreeMap::from(regions),
        callers: at(80),
        readiness: at(81),
        lookups: at(82),
        peers: at(83),
        store: at(84),
        bounds: Bounds {
            revocation: Duration::from_secs(5),
            drain: Duration::from_millis(2500),
            adoption: Duration::from_millis(2500),
            evacuation: Duration::from_secs(5),
            grace: Duration::from_secs(6),
            upstream_heartbeat: Duration::from_millis(1500),
            reregistration: Duration::from_secs(2),
            lookup_ttl: Duration::from_secs(1),
            retry_ratio: 0.2,
            retry_slack: 200.0,
            max_shift: 0.15,
        },
        // The first host leads the zone and reads the store for the others.
        millicores: if name == "h0" { 500 } else { 100 },
        memory_bytes: 1 << 28,
        is_first_start: false,
    }
}

type Hosts = Arc<Mutex<HashMap<SocketAddr, (Address<Dispatcher>, TopicCaches)>>>;

/// A host of zone `a`. Dropping it ends it.
pub struct Host {
    pub settings: Settings,
    pub caches: TopicCaches,
    pub metrics: Arc<EdgeMetrics>,
    pub settings_tx: watch::Sender<Arc<Settings>>,
    dispatcher: Address<Dispatcher>,
    configuration: Arc<ArcSwapOption<Configuration>>,
    hosts: Hosts,
    _tasks: JoinSet<()>,
}

/// Starts a store in an era, with version 1 of the configuration and an upstream in each zone, and
/// `count` hosts that follow it, and waits until they know each other.
pub async fn start_fleet(era: Option<u64>, count: usize) -> (Arc<FakeStore>, Vec<Host>) {
    let store = FakeStore::new(era);
    store.write_configuration(1);
    store.write_upstream("a", Standing::Ready);
    store.write_upstream("b", Standing::Ready);
    let registry = Arc::default();
    let mut hosts = Vec::new();
    for n in 0..count {
        hosts.push(start_host(&format!("h{n}"), &store, &registry).await);
    }
    sleep(Duration::from_secs(10)).await;
    (store, hosts)
}

/// Starts a host that knows the others in `hosts` and registers itself.
pub async fn start_host(name: &str, store: &Arc<FakeStore>, hosts: &Hosts) -> Host {
    let settings = settings(name);
    let configuration: Arc<ArcSwapOption<Configuration>> = Arc::default();
    let metrics = Arc::new(EdgeMetrics::new());
    let (outgoing, outgoing_rx) = mpsc::channel(1024);
    let (path, path_rx) = watch::channel(UpdateSource::default());
    let dispatcher = Dispatcher::new(
        Arc::new(settings.clone()),
        Incarnation(NEXT_INCARNATION.fetch_add(1, Ordering::Relaxed)),
        configuration.clone(),
        outgoing,
        path,
        metrics.clone(),
        1,
    );
    let mut tasks = JoinSet::new();
    let (dispatcher_address, mailbox) = Mailbox::unbounded();
    tasks.spawn(xtra::run(mailbox, dispatcher));
    let dispatcher: Address<Dispatcher> = dispatcher_address;
    let outage_min = settings.bounds.upstream_heartbeat;
    let caches = TopicCaches::new(dispatcher.clone()).with_outage_min(outage_min);
    let entry = host_registration(&settings);
    store.register(&entry).await.expect("the store accepts it");
    let own = (dispatcher.clone(), caches.clone());
    hosts.lock().expect("lock").insert(settings.peers, own);
    let (settings_tx, settings_rx) = watch::channel(Arc::new(settings.clone()));
    for topic in Topic::ALL {
        tasks.spawn(follow_store(
            store.clone(),
            topic,
            caches.clone(),
            metrics.clone(),
            path_rx.clone(),
            settings_rx.clone(),
        ));
    }
    tasks.spawn(follow_relay(path_rx, caches.clone(), hosts.clone()));
    tasks.spawn(forward(outgoing_rx, hosts.clone()));
    let ticked = dispatcher.clone();
    tasks.spawn(async move {
        while ticked.send(Tick).await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
    });
    Host {
        settings,
        caches,
        metrics,
        settings_tx,
        dispatcher,
        configuration,
        hosts: hosts.clone(),
        _tasks: tasks,
    }
}

async fn forward(mut outgoing: mpsc::Receiver<Outgoing>, hosts: Hosts) {
    while let Some((to, msg)) = outgoing.recv().await {
        sleep(DELAY).await;
        for address in to {
            let host = hosts.lock().expect("lock").get(&address).cloned();
            if let Some((dispatcher, _)) = host {
                // A host that has just ended receives nothing.
                drop(dispatcher.send(DatagramReceived { msg: msg.clone() }).await);
            }
        }
    }
}

async fn follow_relay(path: watch::Receiver<UpdateSource>, caches: TopicCaches, hosts: Hosts) {
    loop {
        sleep(DELAY).await;
        let relay = path.borrow().relay.map(|r| r.address);
        let relay = relay.and_then(|r| hosts.lock().expect("lock").get(&r).cloned());
        let Some((_, relay)) = relay else {
            continue;
        };
        let query = RelayQuery {
            after: caches.positions(),
            wait_ms: 250,
            configuration: caches.configuration_version(),
        };
        let sent_at = SuspendAwareInstant::now();
        let answer = relay.answer(&query).await;
        caches.apply_relayed(&query, answer, sent_at);
    }
}

impl Host {
    /// Returns whether requests with keys may run.
    pub async fn is_fresh(&self) -> bool {
        let confirmed = self.dispatcher.send(ConfirmedConfiguration).await;
        confirmed.expect("it runs").is_some()
    }

    /// Returns the hosts that a new one has to know.
    pub fn registry(&self) -> Hosts {
        self.hosts.clone()
    }

    /// Returns the other hosts that this one names in look-ups.
    pub async fn known_hosts(&self) -> BTreeSet<String> {
        let query = LookupQuery { zone: None };
        let addresses = self.dispatcher.send(Lookup { query }).await;
        let addresses = addresses.expect("it runs").into_iter();
        let name = |a: SocketAddr| match a.ip() {
            IpAddr::V4(ip) => format!("h{}", char::from(ip.octets()[2])),
            IpAddr::V6(_) => String::new(),
        };
        let own = self.settings.host.as_str();
        addresses.map(name).filter(|n| n != own).collect()
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> u64 {
        self.configuration
            .load()
            .as_ref()
            .map_or(0, |c| c.version.0)
    }

    /// Returns the zones of the upstreams that requests for different objects are sent to.
    pub async fn used_zones(&self) -> BTreeSet<String> {
        let mut used = BTreeSet::new();
        for n in 0..16_u64 {
            let now = Instant::now();
            let job = Job {
                id: format!("r{n}"),
                service: "desk".parse().expect("service"),
                organisation: None,
                priority: Priority(1),
                route_priority: Default::default(),
                route: 1,
                bytes: 0,
                object: n.wrapping_mul(0x9E37_79B9_7F4A_7C15),
                has_object: true,
                regions: Regions::new(),
                received: now,
                suspect: Suspect(u128::from(n)),
                lost_time: Duration::ZERO,
                latency_target: Duration::from_millis(100),
                deadline: now + Duration::from_millis(200),
                tried: SmallVec::new(),
                may_have_run: false,
            };
            let (reply, decision) = oneshot::channel();
            let msg = Submit { job, reply };
            self.dispatcher.send(msg).await.expect("it runs");
            if let PlacementDecision::Send(slot) = decision.await.expect("a decision") {
                used.insert(slot.id.as_str().trim_start_matches("u-").to_owned());
            }
        }
        used
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let mut hosts = self.hosts.lock().expect("lock");
        hosts.remove(&self.settings.peers);
    }
}
