//! The actor that owns what a host believes, and decides where requests go.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwapOption;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    time::Instant,
};
use xtra::{
    Actor,
    Address,
    Context,
    Handler,
    Mailbox, //
};

use super::{
    freshness::{
        Freshness,
        suspended, //
    },
    lines::LineBudget,
    message::{
        Crashed,
        Ended,
        Heard,
        IsFresh,
        IsReady,
        Job,
        Leave,
        Lookup,
        News,
        Observed,
        Placed,
        Refund,
        Refused,
        Reload,
        Submit,
        Tick,
        Verdict,
        Why, //
    },
    metrics::{
        EdgeMetrics,
        PlaceLabels,
        TryLabels, //
    },
    model::{
        Configuration,
        HostRegistration, //
    },
    peers::{
        Datagram,
        FAR_INTERVALS,
        HostState,
        PeerMessage,
        Peers,
        RunEvent,
        RunningMessage, //
    },
    placement::{
        self,
        Places,
        Wish, //
    },
    quota::{
        Debit,
        Quotas,
        Sharers, //
    },
    settings::{
        SHIFT_WINDOW,
        Settings, //
    },
    spill::{
        self,
        RegionLoad,
        SlowShares, //
    },
    topic::{
        Change,
        Record,
        Topic, //
    },
    upstreams::{
        TryEnd,
        UpstreamKey,
        Upstreams, //
    },
};
use crate::{
    quarantine::Quarantine,
    retry::{
        Budget,
        DrainMeter, //
    },
    util::id::{
        HostName,
        Incarnation,
        OrganisationName,
        RegionName,
        ServiceName,
        UpstreamId,
        ZoneName, //
    },
};

/// The part of its aim that a request waits in any case, one in this many.
const WAIT_PART: u32 = 8;
/// The part of its aim that a request waits for a token, one in this many.
const TOKEN_WAIT_PART: u32 = 4;
/// Time that an answer takes beside the work itself.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);
/// The shortest time after which a refused caller comes back.
const RETURN_MIN: Duration = Duration::from_millis(250);
/// The further time over which returning callers are spread.
const RETURN_SPREAD: Duration = Duration::from_millis(500);
/// The time between two looks at the shares of the regions.
const SHARES_INTERVAL: Duration = Duration::from_millis(250);
/// When a caller comes back whose request crashes upstreams.
const QUARANTINE_RETURN: Duration = Duration::from_secs(60);
/// Suspect requests that one message tells of.
const SUSPECTS_TOLD: usize = 8;
/// The part of [`super::settings::Bounds::shift`] that the shares use; the rest is for chance.
const SHIFT_PART: f64 = 0.6;
/// The part of the retry bounds that the hosts use; the rest is for chance.
const RETRY_PART: f64 = 0.5;
/// Requests a second that a zone's callers are taken to send before any were seen.
const OFFERED_PRIOR: f64 = 1.0;

/// The state of one service.
#[derive(Debug)]
struct Demand {
    offered: DrainMeter,
    shares: SlowShares,
    budget: Budget,
}

/// A request that waits for an upstream.
#[derive(Debug)]
struct Waiting {
    job: Job,
    region: RegionName,
    until: Instant,
    /// Whether its organisation's token was taken.
    paid: bool,
    reply: oneshot::Sender<Verdict>,
}

/// A message to another host, and where it goes.
pub type Outgoing = (SocketAddr, Datagram);

/// The actor.
pub struct Dispatcher {
    settings: Arc<Settings>,
    incarnation: Incarnation,
    me: Option<Address<Self>>,
    configuration: Arc<ArcSwapOption<Configuration>>,
    upstreams: Upstreams,
    evacuated: BTreeSet<ZoneName>,
    peers: Peers,
    quotas: Quotas,
    freshness: Freshness,
    demand: HashMap<ServiceName, Demand>,
    queue: Vec<Waiting>,
    /// When the upstreams' topic could not be read, and when it came back.
    outage: Outage,
    /// Upstreams whose registration vanished during an outage, and when they count as gone.
    vanished: HashMap<UpstreamId, Instant>,
    seen: BTreeMap<&'static str, bool>,
    outgoing: mpsc::Sender<Outgoing>,
    relay: watch::Sender<Option<SocketAddr>>,
    quarantine: Quarantine,
    metrics: Arc<EdgeMetrics>,
    placed_lines: LineBudget,
    rate_lines: LineBudget,
    sequence: u64,
    rounds: u32,
    spoke: Option<Instant>,
    shared: Option<Instant>,
    hosts_known: bool,
    leaving: bool,
    rng: SmallRng,
}

/// Whether the store can be read.
#[derive(Clone, Copy, Debug, Default)]
struct Outage {
    on: bool,
    ended: Option<Instant>,
}

impl Dispatcher {
    /// Returns the actor of a host that knows nothing yet.
    pub fn new(
        settings: Arc<Settings>,
        incarnation: Incarnation,
        configuration: Arc<ArcSwapOption<Configuration>>,
        outgoing: mpsc::Sender<Outgoing>,
        relay: watch::Sender<Option<SocketAddr>>,
        metrics: Arc<EdgeMetrics>,
        seed: u64,
    ) -> Self {
        Self {
            freshness: Freshness::new(settings.bounds.revocation),
            incarnation,
            me: None,
            configuration,
            upstreams: Upstreams::default(),
            evacuated: BTreeSet::new(),
            peers: Peers::default(),
            quotas: Quotas::default(),
            demand: HashMap::new(),
            queue: Vec::new(),
            outage: Outage::default(),
            vanished: HashMap::new(),
            seen: BTreeMap::new(),
            outgoing,
            relay,
            quarantine: Quarantine::new(&settings.host, incarnation),
            metrics,
            placed_lines: LineBudget::default(),
            rate_lines: LineBudget::default(),
            sequence: 0,
            rounds: 0,
            spoke: None,
            shared: None,
            hosts_known: false,
            leaving: false,
            settings,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn is_ready(&self, now: Instant) -> bool {
        !self.leaving
            && self.hosts_known
            && self.configuration.load().is_some()
            && !self.upstreams.is_empty()
            && self.freshness.holds(now)
    }

    fn state(&self, now: Instant) -> HostState {
        match (self.leaving, self.is_ready(now)) {
            (true, _) => HostState::Leaving,
            (false, true) => HostState::Ready,
            (false, false) => HostState::Stale,
        }
    }

    // What the platform publishes.

    fn observe(&mut self, now: Instant, msg: Observed) {
        let (whole, changes) = match msg.news {
            News::Outage => {
                self.note_outage(msg.topic);
                return;
            }
            News::Whole(changes) => (true, changes.changes),
            News::Since(changes) => (false, changes.changes),
        };
        if msg.topic == Topic::Upstreams && self.outage.on {
            self.outage = Outage {
                on: false,
                ended: Some(now),
            };
            log::info!(event = "dependency-regained", dependency = "store"; "");
        }
        if whole {
            self.forget_missing(now, msg.topic, &changes);
        }
        for change in changes {
            self.apply(now, msg.topic, change);
        }
        if msg.topic == Topic::Configuration {
            self.freshness.confirm(msg.asked_at, msg.suspended);
        }
        if msg.topic == Topic::Hosts {
            self.hosts_known = true;
            self.quotas.set_sharers(now, self.sharers());
        }
        self.drain_queue(now);
    }

    fn note_outage(&mut self, topic: Topic) {
        if topic == Topic::Upstreams && !self.outage.on {
            self.outage.on = true;
            log::warn!(event = "dependency-lost", dependency = "store"; "");
        }
    }

    /// Removes what a whole list does not name any more.
    fn forget_missing(&mut self, now: Instant, topic: Topic, changes: &[Change]) {
        let named: BTreeSet<&str> = changes.iter().map(|c| c.name.as_str()).collect();
        let gone: Vec<String> = match topic {
            Topic::Configuration => Vec::new(),
            Topic::Upstreams => names_of(self.upstreams.ids()),
            Topic::Evacuations => names_of(self.evacuated.iter()),
            Topic::Hosts => names_of(self.peers.names()),
        };
        for name in gone {
            if !named.contains(name.as_str()) {
                self.apply(now, topic, Change { name, record: None });
            }
        }
    }

    fn apply(&mut self, now: Instant, topic: Topic, change: Change) {
        match change.record {
            Some(Record::Configuration(cfg)) => self.adopt(now, cfg),
            Some(Record::Upstream(entry)) => {
                self.vanished.remove(&entry.id);
                let cfg = self.configuration.load_full();
                let service = cfg.as_ref().and_then(|c| c.services.get(&entry.service));
                self.upstreams.register(now, *entry, service);
            }
            Some(Record::Evacuation(zone)) => {
                if self.evacuated.insert(zone.clone()) {
                    log::info!(event = "evacuation-started", zone:%; "");
                }
            }
            Some(Record::Host(entry)) => {
                if entry.name != self.settings.host {
                    self.peers.register(*entry);
                }
            }
            None => self.remove(now, topic, &change.name),
        }
    }

    fn remove(&mut self, now: Instant, topic: Topic, name: &str) {
        match topic {
            Topic::Configuration => {}
            Topic::Upstreams => {
                let Ok(id) = name.parse::<UpstreamId>() else {
                    return;
                };
                match self.outage.ended {
                    Some(ended) if now < ended + self.settings.bounds.reregistration => {
                        self.vanished
                            .entry(id)
                            .or_insert(ended + self.settings.bounds.reregistration);
                    }
                    _ => {
                        self.upstreams.remove(&id);
                    }
                }
            }
            Topic::Evacuations => self.end_evacuation(now, name),
            Topic::Hosts => {
                if let Ok(host) = name.parse::<HostName>() {
                    self.peers.remove(&host);
                }
            }
        }
    }

    fn end_evacuation(&mut self, now: Instant, name: &str) {
        let Ok(zone) = name.parse::<ZoneName>() else {
            return;
        };
        if !self.evacuated.remove(&zone) {
            return;
        }
        log::info!(event = "evacuation-ended", zone:%; "");
        // Its upstreams may have become cold without having said so yet.
        let cfg = self.configuration.load_full();
        let cold_time = |service: &ServiceName| {
            let service = cfg.as_ref().and_then(|c| c.services.get(service));
            service.map_or(Duration::ZERO, |s| s.cold_time)
        };
        self.upstreams.chill(&zone, cold_time, now);
    }

    fn adopt(&mut self, now: Instant, cfg: Arc<Configuration>) {
        let current = self.configuration.load_full();
        if current.as_ref().is_some_and(|c| c.version >= cfg.version) {
            return;
        }
        log::info!(
            event = "configuration-adopted",
            version:% = cfg.version,
            organisations = cfg.organisations.len();
            ""
        );
        let rates = cfg.organisations.iter().map(|o| (&o.name, o.rate));
        self.quotas.configure(now, rates);
        self.configuration.store(Some(cfg));
    }

    // Requests.

    fn demand_mut(&mut self, service: &ServiceName, now: Instant) -> &mut Demand {
        let settings = &self.settings;
        let hosts = (self.peers.len() + 1) as f64;
        self.demand.entry(service.clone()).or_insert_with(|| {
            let bounds = &settings.bounds;
            let ratio = bounds.retry_ratio * RETRY_PART * 1000.0;
            let most = bounds.retry_slack * RETRY_PART * 1000.0 / hosts;
            Demand {
                offered: DrainMeter::new(now),
                shares: SlowShares::new(&settings.region, bounds.shift * SHIFT_PART, SHIFT_WINDOW),
                budget: Budget::with_limits(ratio as u64, most as u64),
            }
        })
    }

    fn submit(&mut self, now: Instant, msg: Submit) {
        let Submit { job, reply } = msg;
        let mut paid = true;
        if self.quarantine.is_refused(now, job.suspect) {
            self.refund_later_try(now, &job);
            answer(reply, self.quarantined());
            return;
        }
        if job.tried.is_empty() {
            if let Some(organisation) = &job.organisation {
                self.quotas.arrived(now, organisation);
                paid = self.quotas.debit(now, organisation) == Debit::Paid;
            }
            let demand = self.demand_mut(&job.service, now);
            demand.offered.finished(now);
            demand.budget.earn();
        } else if !self.demand_mut(&job.service, now).budget.take() {
            self.refund(now, &job);
            answer(reply, self.refused(Why::RetryBudget));
            return;
        }
        let region = self.region_of(now, &job);
        let until = self.wait_until(&job);
        let waiting = Waiting {
            job,
            region,
            until,
            paid,
            reply,
        };
        if let Some(waiting) = self.try_place(now, waiting) {
            self.queue.push(waiting);
        }
        self.ask_for_tokens(now);
    }

    /// Returns until when a request waits for an upstream: as long as it can
    /// still be answered in time, and a little in any case.
    fn wait_until(&self, job: &Job) -> Instant {
        let pool = self.upstreams.pool(&job.service);
        let work = pool.map_or(0.0, |p| p.work_of(job.route).expect(Some(0)));
        let work = Duration::from_secs_f64(work) + ANSWER_MARGIN;
        let in_time = job.aim.saturating_sub(job.lost + work);
        let wait = in_time.max(job.aim / WAIT_PART);
        (job.received + wait).min(job.deadline)
    }

    /// Returns the region in which a request runs.
    fn region_of(&mut self, now: Instant, job: &Job) -> RegionName {
        let home = self.settings.region.clone();
        // The same object spills from all hosts of a region to the same one.
        let point = (job.object >> 11) as f64 / (1u64 << 53) as f64;
        let region = self
            .demand_mut(&job.service, now)
            .shares
            .region_at(&home, point);
        if job.regions.is_empty() || job.regions.contains(&region) {
            return region;
        }
        match job.regions.contains(&home) {
            true => home,
            false => job.regions[0].clone(),
        }
    }

    /// Places a request, refuses it, or returns it where it has to wait.
    fn try_place(&mut self, now: Instant, mut waiting: Waiting) -> Option<Waiting> {
        if waiting.reply.is_closed() {
            if waiting.paid {
                self.refund(now, &waiting.job);
            }
            return None;
        }
        if !waiting.paid {
            waiting = self.pay(now, waiting)?;
            if !waiting.paid {
                return Some(waiting);
            }
        }
        let late = waiting.until <= now;
        let picked = self.pick(now, &waiting.job, &waiting.region, late);
        if let Some(placed) = picked {
            // A caller that went away drops the place, which gives it back.
            answer(waiting.reply, Verdict::Send(placed));
            return None;
        }
        if !late {
            return Some(waiting);
        }
        self.refund(now, &waiting.job);
        let verdict = self.refused(Why::Busy);
        answer(waiting.reply, verdict);
        None
    }

    /// Takes a waiting request's token, or refuses it where none is to be had.
    fn pay(&mut self, now: Instant, mut waiting: Waiting) -> Option<Waiting> {
        let Some(organisation) = &waiting.job.organisation else {
            waiting.paid = true;
            return Some(waiting);
        };
        let patience = waiting.job.received + waiting.job.aim / TOKEN_WAIT_PART;
        match self.quotas.debit(now, organisation) {
            Debit::Paid => waiting.paid = true,
            Debit::Short if now < patience => {}
            Debit::Short | Debit::Spent => {
                if self.rate_lines.allows("rate-used-up") {
                    log::info!(
                        event = "rate-used-up",
                        id:% = waiting.job.id,
                        organisation:%,
                        share:% = self.quotas.describe(organisation);
                        ""
                    );
                }
                let verdict = self.refused(Why::Rate);
                answer(waiting.reply, verdict);
                return None;
            }
        }
        Some(waiting)
    }

    fn pick(&mut self, now: Instant, job: &Job, region: &RegionName, late: bool) -> Option<Placed> {
        let places = Places {
            zone: &self.settings.zone,
            regions: &self.settings.regions,
            evacuated: &self.evacuated,
        };
        let wish = Wish {
            object: job.object,
            route: job.route,
            bytes: job.bytes,
            region,
            tried: &job.tried,
            late,
        };
        let pool = self.upstreams.pool(&job.service)?;
        let key = placement::pick(pool, places, &wish, now)?;
        let cfg = self.configuration.load_full();
        let service = cfg.as_ref().and_then(|c| c.services.get(&job.service));
        let hosts = self.peers.registered_in(&self.settings.zone) + 1;
        let cold = service.map(|s| (s.cold_rate, hosts));
        let object = job.object;
        let place = self.upstreams.started(now, &job.service, key, object, cold);
        self.announce(&job.service, key, RunEvent::Started { object });
        let me = self.me.clone();
        let u = self.upstreams.get_mut(&job.service, key)?;
        let (address, id) = (u.entry.address, u.entry.id.clone());
        self.note_placed(now, job, &id, key, place);
        let ended = Ended {
            service: job.service.clone(),
            key,
            route: job.route,
            place,
            end: TryEnd::Abandoned,
            held: Duration::ZERO,
            load: None,
        };
        Some(Placed::new(address, id, ended, me))
    }

    /// Logs and counts where a request goes, and from what that was decided.
    fn note_placed(
        &mut self,
        now: Instant,
        job: &Job,
        id: &UpstreamId,
        key: UpstreamKey,
        place: Option<usize>,
    ) {
        let Some(u) = self.upstreams.get_mut(&job.service, key) else {
            return;
        };
        let (zone, load, slots) = (u.entry.zone.clone(), u.load(now), u.entry.slots);
        let waited = now.saturating_duration_since(job.received);
        self.metrics.waiting.observe(waited.as_secs_f64());
        let labels = PlaceLabels {
            place: match () {
                () if zone == self.settings.zone => "zone",
                () if self.settings.region_of(&zone) == Some(&self.settings.region) => "region",
                () => "other-region",
            },
            object: if place.is_some() { "known" } else { "strange" },
        };
        self.metrics.placed.get_or_create(&labels).inc();
        if self.placed_lines.allows("placed") {
            log::info!(
                event = "placed",
                id:% = job.id,
                upstream:% = id,
                zone:%,
                load,
                slots,
                object_place:? = place,
                lost_ms = job.lost.as_millis() as u64,
                waited_ms = waited.as_millis() as u64;
                ""
            );
        }
    }

    fn refund(&mut self, now: Instant, job: &Job) {
        if let (Some(organisation), false) = (&job.organisation, job.may_have_run) {
            self.quotas.refund(now, organisation);
        }
    }

    fn refused(&mut self, why: Why) -> Verdict {
        let spread = RETURN_SPREAD.mul_f64(self.rng.random::<f64>());
        Verdict::Refused(Refused {
            why,
            after: RETURN_MIN + spread,
        })
    }

    /// Gives the token of a request back that was tried before and is not sent again.
    fn refund_later_try(&mut self, now: Instant, job: &Job) {
        if !job.tried.is_empty() {
            self.refund(now, job);
        }
    }

    fn quarantined(&self) -> Verdict {
        Verdict::Refused(Refused {
            why: Why::Quarantine,
            after: QUARANTINE_RETURN,
        })
    }

    /// Gives waiting requests another chance, the most urgent ones first.
    fn drain_queue(&mut self, now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_key(|w| (w.job.priority, w.job.received));
        for waiting in queue {
            if let Some(waiting) = self.try_place(now, waiting) {
                self.queue.push(waiting);
            }
        }
    }

    // Other hosts.

    fn hear(&mut self, now: Instant, msg: Datagram) {
        match msg {
            Datagram::State(msg) => self.hear_state(now, msg),
            Datagram::Running(msg) => {
                let change = self.peers.hear_running(now, &msg);
                self.upstreams.hear(now, change, &msg);
                if change < 0 {
                    self.drain_queue(now);
                }
            }
        }
    }

    fn hear_state(&mut self, now: Instant, msg: PeerMessage) {
        if !self.peers.hear(now, &msg) {
            return;
        }
        for (organisation, granted) in &msg.grants {
            self.quotas.deposit(now, organisation, *granted);
        }
        self.quarantine.merge(now, &msg.suspects);
        self.lend(now, &msg);
        self.upstreams.set_others(&self.peers.running());
        self.drain_queue(now);
    }

    /// Grants what another host asks for, as far as it can be spared.
    fn lend(&mut self, now: Instant, msg: &PeerMessage) {
        let mut grants = Vec::new();
        for (organisation, wanted) in &msg.wants {
            let granted = match self.leaving {
                true => 0,
                false => self.quotas.lend(now, organisation, *wanted, &msg.host),
            };
            if granted > 0 {
                grants.push((organisation.clone(), granted));
            }
        }
        if grants.is_empty() {
            return;
        }
        if let Some(address) = self.peers.address(&msg.host) {
            let mut reply = self.message(now);
            reply.grants = grants;
            self.post_message(address, reply);
        }
    }

    /// Returns the hosts that share the organisations' rates.
    fn sharers(&self) -> Sharers {
        let mut zones = self.peers.by_zone();
        let own = zones.entry(self.settings.zone.clone()).or_default();
        own.push(self.settings.host.clone());
        Sharers {
            host: Some(self.settings.host.clone()),
            zone: Some(self.settings.zone.clone()),
            zones,
        }
    }

    /// Asks homes of this zone, or of others, for the tokens that are about to be missing.
    fn ask_for_tokens(&mut self, now: Instant) {
        let mut asks: BTreeMap<SocketAddr, Vec<(OrganisationName, u64)>> = BTreeMap::new();
        let mut waiting: HashMap<OrganisationName, u64> = HashMap::new();
        let unpaid = self.queue.iter().filter(|w| !w.paid);
        for organisation in unpaid.filter_map(|w| w.job.organisation.as_ref()) {
            *waiting.entry(organisation.clone()).or_default() += 1;
        }
        for want in self.quotas.asks(now, &waiting) {
            for lenders in &want.lenders {
                let lender = lenders.iter().find(|h| self.peers.is_live(h));
                if let Some(address) = lender.and_then(|h| self.peers.address(h)) {
                    let entry = asks.entry(address).or_default();
                    entry.push((want.organisation.clone(), want.amount));
                }
            }
        }
        for (address, wants) in asks {
            let mut msg = self.message(now);
            msg.wants = wants;
            self.post_message(address, msg);
        }
    }

    fn message(&mut self, now: Instant) -> PeerMessage {
        self.sequence += 1;
        let offered = self.demand.iter();
        PeerMessage {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state(now),
            running: self.upstreams.running(),
            offered: offered
                .map(|(s, d)| (s.clone(), d.offered.rate_at(now) as f32))
                .collect(),
            wants: Vec::new(),
            grants: Vec::new(),
            suspects: self.quarantine.entries(now, SUSPECTS_TOLD),
        }
    }

    fn post_message(&self, address: SocketAddr, msg: PeerMessage) {
        self.post_datagram(address, Datagram::State(msg));
    }

    fn post_datagram(&self, address: SocketAddr, msg: Datagram) {
        if let Err(e) = self.outgoing.try_send((address, msg)) {
            log::debug!(event = "message-dropped", to:% = address, cause:% = e; "");
        }
    }

    /// Tells all other hosts what runs here.
    fn speak(&mut self, now: Instant) {
        if self
            .spoke
            .is_some_and(|at| now < at + self.peers.interval())
        {
            return;
        }
        self.spoke = Some(now);
        let msg = self.message(now);
        let (regions, home) = (&self.settings.regions, &self.settings.region);
        for address in self.peers.addresses(regions, home, true) {
            self.post_message(address, msg.clone());
        }
        self.rounds += 1;
        if !self.leaving && !self.rounds.is_multiple_of(FAR_INTERVALS) {
            return;
        }
        for address in self.peers.addresses(regions, home, false) {
            self.post_message(address, msg.clone());
        }
    }

    /// Tells the hosts that use an upstream how many requests of this one run there.
    fn announce(&mut self, service: &ServiceName, key: UpstreamKey, event: RunEvent) {
        let Some(u) = self.upstreams.get_mut(service, key) else {
            return;
        };
        self.sequence += 1;
        let msg = RunningMessage {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            upstream: key,
            running: u.running,
            event,
        };
        let zone = u.entry.zone.clone();
        let (regions, own) = (&self.settings.regions, &self.settings.zone);
        for address in self.peers.prompt(regions, &zone, own) {
            self.post_datagram(address, Datagram::Running(msg.clone()));
        }
    }

    /// Moves the shares of the regions towards the present loads.
    fn share(&mut self, now: Instant) {
        if self.shared.is_some_and(|at| now < at + SHARES_INTERVAL) {
            return;
        }
        self.shared = Some(now);
        let services: Vec<ServiceName> = self.upstreams.pools().map(|(s, _)| s.clone()).collect();
        for service in services {
            let loads = self.loads(now, &service);
            let target = spill::shares(&self.settings.region, &loads);
            self.demand_mut(&service, now).shares.follow(now, &target);
        }
    }

    fn loads(&mut self, now: Instant, service: &ServiceName) -> BTreeMap<RegionName, RegionLoad> {
        let mut loads: BTreeMap<RegionName, RegionLoad> = BTreeMap::new();
        let own = self.demand_mut(service, now).offered.rate_at(now);
        let offered = self.peers.offered(service, &self.settings.regions);
        let Some(pool) = self.upstreams.pool(service) else {
            return loads;
        };
        for region in self.settings.regions.values() {
            loads.entry(region.clone()).or_default().demand += OFFERED_PRIOR * pool.work();
        }
        for (region, rate) in offered {
            loads.entry(region).or_default().demand += rate * pool.work();
        }
        let home = loads.entry(self.settings.region.clone()).or_default();
        home.demand += own * pool.work();
        for u in &pool.upstreams {
            let Some(region) = self.settings.region_of(&u.entry.zone) else {
                continue;
            };
            let takes = u.entry.standing == super::model::Standing::Ready;
            if takes && !self.evacuated.contains(&u.entry.zone) {
                loads.entry(region.clone()).or_default().slots += f64::from(u.entry.slots);
            }
        }
        loads
    }

    fn tick(&mut self, now: Instant) {
        let was_fresh = self.freshness.holds(now);
        self.freshness.observe(suspended());
        self.note_freshness(was_fresh, self.freshness.holds(now));
        self.set_gauges(now);
        if self.peers.expire(now) {
            self.upstreams.set_others(&self.peers.running());
        }
        let gone: Vec<UpstreamId> = self
            .vanished
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.vanished.remove(&id);
            self.upstreams.remove(&id);
        }
        self.speak(now);
        self.ask_for_tokens(now);
        self.choose_relay(now);
        self.share(now);
        self.drain_queue(now);
    }

    fn set_gauges(&self, now: Instant) {
        let age = self.freshness.age(now).unwrap_or(Duration::MAX);
        let number = |n: u128| i64::try_from(n).unwrap_or(i64::MAX);
        self.metrics.key_age.set(number(age.as_millis()));
        self.metrics
            .hosts
            .set(number(self.peers.live_count() as u128));
        let upstreams = self.upstreams.pools().map(|(_, p)| p.upstreams.len());
        self.metrics
            .upstreams
            .set(number(upstreams.sum::<usize>() as u128));
        if let Some(cfg) = self.configuration.load().as_ref() {
            self.metrics
                .configuration
                .set(number(u128::from(cfg.version.0)));
        }
    }

    /// Chooses the host that reads the store for this zone.
    fn choose_relay(&mut self, now: Instant) {
        let own = registration(&self.settings);
        let relay = self.peers.relay(&own, self.is_ready(now));
        self.relay.send_if_modified(|known| {
            if *known == relay {
                return false;
            }
            let address = relay.map_or_else(|| "self".to_owned(), |a| a.to_string());
            log::info!(event = "relay-chosen", address:%; "");
            *known = relay;
            true
        });
    }

    fn note_freshness(&mut self, was: bool, is: bool) {
        let known = self.seen.insert("fresh", is).unwrap_or(was);
        if known != is {
            log::info!(event = "key-freshness", holds = is; "");
        }
    }

    // Look-ups.

    /// Returns the hosts that a caller should use: those of its zone, else those
    /// of its region, else all.
    fn lookup(&self, now: Instant, zone: Option<&ZoneName>) -> Vec<SocketAddr> {
        let mut hosts: Vec<(&ZoneName, SocketAddr)> = self.peers.ready().collect();
        if self.is_ready(now) || (hosts.is_empty() && !self.leaving) {
            hosts.push((&self.settings.zone, self.settings.callers));
        }
        let zone = zone.unwrap_or(&self.settings.zone);
        let region = self.settings.region_of(zone);
        let near = |h: &&(&ZoneName, SocketAddr)| h.0 == zone;
        let in_region = |h: &&(&ZoneName, SocketAddr)| self.settings.region_of(h.0) == region;
        let mut chosen: Vec<_> = hosts.iter().filter(near).collect();
        if chosen.is_empty() {
            chosen = hosts.iter().filter(in_region).collect();
        }
        if chosen.is_empty() {
            chosen = hosts.iter().collect();
        }
        chosen.into_iter().map(|h| h.1).collect()
    }
}

fn names_of<T: ToString>(items: impl IntoIterator<Item = T>) -> Vec<String> {
    items.into_iter().map(|i| i.to_string()).collect()
}

/// Sends a verdict; a caller that is gone needs none.
fn answer(reply: oneshot::Sender<Verdict>, verdict: Verdict) {
    drop(reply.send(verdict));
}

impl Actor for Dispatcher {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), ()> {
        self.me = mailbox.address().try_upgrade();
        Ok(())
    }

    async fn stopped(self) {}
}

impl Handler<Observed> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: Observed, _: &mut Context<Self>) {
        self.observe(Instant::now(), msg);
    }
}

impl Handler<Submit> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: Submit, _: &mut Context<Self>) {
        self.submit(Instant::now(), msg);
    }
}

impl Handler<Ended> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: Ended, _: &mut Context<Self>) {
        let now = Instant::now();
        let settings = self.settings.clone();
        let is_near = |zone: &ZoneName| settings.region_of(zone) == Some(&settings.region);
        let event = match self.upstreams.finished(now, &msg, is_near) {
            Some(slowness) => RunEvent::Answered { slowness },
            None => RunEvent::Unanswered,
        };
        self.metrics
            .tries
            .get_or_create(&TryLabels {
                end: msg.end.as_str(),
            })
            .inc();
        self.announce(&msg.service, msg.key, event);
        if msg.end == TryEnd::Misdirected {
            log::info!(event = "upstream-replaced", key = msg.key; "");
        }
        self.drain_queue(now);
    }
}

impl Handler<Crashed> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: Crashed, _: &mut Context<Self>) {
        let now = Instant::now();
        log::warn!(
            event = "upstream-crashed",
            upstream:% = msg.upstream,
            suspect:% = msg.suspect;
            ""
        );
        self.quarantine.on_death(now, msg.upstream, &[msg.suspect]);
    }
}

impl Handler<Reload> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: Reload, _: &mut Context<Self>) {
        self.freshness.set_bound(msg.settings.bounds.revocation);
        self.settings = msg.settings;
    }
}

impl Handler<Refund> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: Refund, _: &mut Context<Self>) {
        self.quotas.refund(Instant::now(), &msg.organisation);
    }
}

impl Handler<Tick> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.tick(Instant::now());
    }
}

impl Handler<Heard> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: Heard, _: &mut Context<Self>) {
        self.hear(Instant::now(), msg.msg);
    }
}

impl Handler<Lookup> for Dispatcher {
    type Return = Vec<SocketAddr>;

    async fn handle(&mut self, msg: Lookup, _: &mut Context<Self>) -> Vec<SocketAddr> {
        self.lookup(Instant::now(), msg.query.zone.as_ref())
    }
}

impl Handler<IsReady> for Dispatcher {
    type Return = bool;

    async fn handle(&mut self, _: IsReady, _: &mut Context<Self>) -> bool {
        self.is_ready(Instant::now())
    }
}

impl Handler<IsFresh> for Dispatcher {
    type Return = bool;

    async fn handle(&mut self, _: IsFresh, _: &mut Context<Self>) -> bool {
        self.freshness.observe(suspended());
        self.freshness.holds(Instant::now())
    }
}

impl Handler<Leave> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.leaving = true;
        self.spoke = None;
        self.speak(Instant::now());
    }
}

/// Returns the registration of the host that these settings describe.
pub fn registration(settings: &Settings) -> HostRegistration {
    HostRegistration {
        name: settings.host.clone(),
        zone: settings.zone.clone(),
        callers: settings.callers,
        peers: settings.peers,
        millicores: settings.millicores,
    }
}
