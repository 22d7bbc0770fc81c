//! Actor that holds a host's view of the fleet and assigns requests to upstreams.

mod answers;
mod claims;
mod demand;
mod domains;
mod notices;
mod observations;
mod peer_messages;
mod preview;
mod queue;
mod region_shares;
mod requests;
mod store_rollback;

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use arc_swap::ArcSwapOption;
use rand::{
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
    time::Instant, //
};
use xtra::{
    Actor,
    Address,
    Context,
    Handler,
    Mailbox, //
};

pub use self::preview::Preview;
use self::{
    claims::Claims,
    demand::Demand,
    domains::{
        LocalRun,
        ZoneHashes, //
    },
    peer_messages::HostsInUse,
};
use super::{
    answer_size::AnswerSizes,
    config_versions::ConfigVersions,
    datagram::{
        HostState,
        Outgoing,
        RunId,
        Sender, //
    },
    freshness::{
        Freshness,
        suspended_time, //
    },
    log_limit::LogRateLimit,
    message::{
        AttemptEnded,
        BeginShutdown,
        ConfirmedConfiguration,
        DatagramReceived,
        EraChanged,
        GoneHost,
        IsReady,
        Job,
        Lookup,
        PlacementDecision,
        RefundToken,
        Reload,
        StoreObserved,
        Submit,
        Tick,
        TopicObserved,
        UpstreamCrashed,
        UpstreamSaid, //
    },
    metrics::EdgeMetrics,
    model::{
        Configuration,
        HostRegistration, //
    },
    peers::{
        Domain,
        Peers, //
    },
    placement::{
        Homes,
        View, //
    },
    quota::Quotas,
    relay::SuspendAwareInstant,
    remote_runs::Runs,
    rollback::Rollback,
    settings::Settings,
    topic_watch::UpdateSource,
    upstreams::{
        UpstreamKey,
        Upstreams, //
    },
};
use crate::{
    quarantine::Quarantine,
    util::id::{
        HostName,
        Incarnation,
        RegionName,
        ServiceName,
        UpstreamId,
        ZoneName, //
    },
};

/// Maximum age of the last successful store read for this host to count as a reader of the store.
/// Longer than one long-poll (watch) on the store.
const STORE_READ_MAX_AGE: Duration = Duration::from_secs(4);

/// Origin of a request for an upstream slot.
#[derive(Debug)]
enum Requester {
    /// A request received by this host; the verdict is sent through the channel.
    Local(oneshot::Sender<PlacementDecision>),
    /// A claim from another host for one of its runs.
    Remote(Sender, RunId),
}

/// A request waiting for an upstream slot.
#[derive(Debug)]
struct WaitingRequest {
    job: Job,
    region: RegionName,
    /// Scheduling domain whose upstreams it waits for; `None` until it has a token.
    domain: Option<Domain>,
    /// Hashes of the domain's zones that are not evacuated.
    zones: ZoneHashes,
    /// What this host knows about the domain's upstreams.
    view: View,
    /// Domains that had no slot for it in time.
    declined: SmallVec<[Domain; 2]>,
    /// Whether it was moved to another region because its own region had no slot.
    is_overflow: bool,
    /// When it stops waiting in this domain.
    expires_at: Instant,
    /// Whether a rate-limit token of its organisation was taken, if it needs one.
    has_token: bool,
    /// Preferred upstreams for its object; set when a placement attempt finds no slot.
    homes: Homes,
    requester: Requester,
}

/// Actor that tracks hosts, upstreams and configuration, and assigns requests to upstreams.
pub struct Dispatcher {
    settings: Arc<Settings>,
    incarnation: Incarnation,
    actor_address: Option<Address<Self>>,
    configuration: Arc<ArcSwapOption<Configuration>>,
    upstreams: Upstreams,
    evacuated_zones: BTreeSet<ZoneName>,
    peers: Peers,
    /// Runs of other hosts at upstreams that this host schedules.
    runs: Runs,
    /// Requests waiting for a slot from another host's scheduler.
    claims: Claims,
    /// Upstreams whose slots this host has declined, with the time until which its claims exclude
    /// them.
    declined_upstreams: HashMap<UpstreamKey, Instant>,
    /// Runs in progress that this host sent to upstreams.
    local_runs: HashMap<RunId, LocalRun>,
    next_run: u32,
    quotas: Quotas,
    /// Sizes of the answers that this host has forwarded.
    answer_sizes: AnswerSizes,
    freshness: Freshness,
    /// Whether the configuration in force is the one that the platform published last. If it is
    /// not, a read of the store does not confirm the keys.
    is_configuration_current: bool,
    demand: HashMap<ServiceName, Demand>,
    queue: Vec<WaitingRequest>,
    /// Whether the store does not answer this host.
    is_store_failing: bool,
    /// When the last outage of the store ended that may have let registrations lapse.
    outage_ended_at: Option<Instant>,
    /// Upstreams whose registration disappeared shortly after an outage, with the time at which
    /// they are removed unless they register again.
    pending_removals: HashMap<UpstreamId, Instant>,
    /// What is kept although the store has lost it.
    rollback: Rollback,
    /// Versions of the configuration that other hosts have.
    versions: ConfigVersions,
    /// Last logged value of whether requests with API keys may run.
    last_logged_fresh: Option<bool>,
    outgoing: mpsc::Sender<Outgoing>,
    path: watch::Sender<UpdateSource>,
    quarantine: Quarantine,
    metrics: Arc<EdgeMetrics>,
    placed_log_budget: LogRateLimit,
    refused_log_budget: LogRateLimit,
    sequence: u64,
    /// Number of reports and digests that were due so far.
    heartbeats: u32,
    /// Number of passes over the queue; used to alternate between priority ranks.
    drain_rounds: u32,
    last_heartbeat_at: Option<Instant>,
    /// When the region shares were last updated.
    shares_updated_at: Option<Instant>,
    /// When this host last read the store successfully; `None` while the store does not answer.
    store_read_at: Option<Instant>,
    /// When the list of upstreams was last read, from the store or the relay.
    upstreams_read_at: Option<Instant>,
    /// When the latest read of the registered hosts was sent.
    hosts_read_at: Option<SuspendAwareInstant>,
    /// The state of the known hosts that was last applied; `None` before they are known.
    hosts_in_use: Option<HostsInUse>,
    /// When the list of registered hosts was first received.
    hosts_known_at: Option<Instant>,
    path_chosen: bool,
    leaving: bool,
    /// When the shutdown began.
    stopped_at: Option<Instant>,
    rng: SmallRng,
}

impl Dispatcher {
    /// Creates the actor in its initial state, without configuration, hosts or upstreams.
    pub fn new(
        settings: Arc<Settings>,
        incarnation: Incarnation,
        configuration: Arc<ArcSwapOption<Configuration>>,
        outgoing: mpsc::Sender<Outgoing>,
        path: watch::Sender<UpdateSource>,
        metrics: Arc<EdgeMetrics>,
        seed: u64,
    ) -> Self {
        Self {
            freshness: Freshness::new(settings.bounds.revocation),
            incarnation,
            actor_address: None,
            configuration,
            upstreams: Upstreams::default(),
            evacuated_zones: BTreeSet::new(),
            peers: Peers::new(host_registration(&settings), settings.regions.clone()),
            runs: Runs::default(),
            claims: Claims::default(),
            declined_upstreams: HashMap::new(),
            local_runs: HashMap::new(),
            next_run: 0,
            quotas: Quotas::default(),
            answer_sizes: AnswerSizes::default(),
            is_configuration_current: false,
            demand: HashMap::new(),
            queue: Vec::new(),
            is_store_failing: false,
            outage_ended_at: None,
            pending_removals: HashMap::new(),
            rollback: Rollback::default(),
            versions: ConfigVersions::default(),
            last_logged_fresh: None,
            outgoing,
            path,
            quarantine: Quarantine::new(),
            metrics,
            placed_log_budget: LogRateLimit::default(),
            refused_log_budget: LogRateLimit::default(),
            sequence: 0,
            heartbeats: 0,
            drain_rounds: 0,
            last_heartbeat_at: None,
            shares_updated_at: None,
            store_read_at: None,
            upstreams_read_at: None,
            hosts_read_at: None,
            hosts_in_use: None,
            hosts_known_at: None,
            path_chosen: false,
            leaving: false,
            stopped_at: None,
            settings,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn is_ready(&self, now: Instant) -> bool {
        !self.leaving
            && self.hosts_known_at.is_some()
            && self.configuration.load().is_some()
            && !self.upstreams.is_empty()
            && self.keys_are_fresh(now)
    }

    fn state(&self, now: Instant) -> HostState {
        match (self.leaving, self.is_ready(now)) {
            (true, _) => HostState::Leaving,
            (false, true) => HostState::Ready,
            (false, false) => HostState::Stale,
        }
    }

    fn tick(&mut self, now: Instant) {
        let was_fresh = self.keys_are_fresh(now);
        self.freshness.observe_suspension(suspended_time());
        self.update_after_rollback(now);
        self.log_freshness_change(was_fresh, self.keys_are_fresh(now));
        self.set_gauges(now);
        let reads = self
            .store_read_at
            .is_some_and(|at| now < at + STORE_READ_MAX_AGE);
        self.peers.update(now, self.is_ready(now), reads);
        let gone: Vec<UpstreamId> = self
            .pending_removals
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.pending_removals.remove(&id);
            self.upstreams.remove(&id);
        }
        self.apply_host_changes(now);
        self.send_heartbeat(now);
        self.request_tokens(now);
        self.choose_path(now);
        self.update_shares(now);
        self.upstreams.probe_limits(now);
        self.declined_upstreams.retain(|_, until| now < *until);
        self.expire_claims(now);
        self.drain_queue(now, None);
    }

    fn set_gauges(&self, now: Instant) {
        let age = self.freshness.age(now).unwrap_or(Duration::MAX);
        let number = |n: u128| i64::try_from(n).unwrap_or(i64::MAX);
        self.metrics.key_age.set(number(age.as_millis()));
        self.metrics
            .hosts
            .set(number(self.peers.ready(now).count() as u128));
        let upstreams = self.upstreams.pools().map(|(_, p)| p.upstreams.len());
        self.metrics
            .upstreams
            .set(number(upstreams.sum::<usize>() as u128));
        let all = self.upstreams.pools().flat_map(|(_, p)| &p.upstreams);
        let slow = all.filter(|u| u.pace.is_slow(now)).count();
        self.metrics.slow_machines.set(number(slow as u128));
        let all = self.upstreams.pools().flat_map(|(_, p)| &p.upstreams);
        let limited = all.filter(|u| u.withheld_slots() > 0).count();
        self.metrics.limited_upstreams.set(number(limited as u128));
        if let Some(cfg) = self.configuration.load().as_ref() {
            self.metrics
                .configuration
                .set(number(u128::from(cfg.version.0)));
        }
        self.metrics
            .large_answer_routes
            .set(number(self.answer_sizes.large_routes() as u128));
        self.metrics
            .answer_bytes_mean_max
            .set(number(u128::from(self.answer_sizes.largest_mean_bytes())));
        self.metrics
            .configuration_current
            .set(i64::from(self.is_configuration_current));
    }

    fn log_freshness_change(&mut self, was_fresh: bool, is_fresh: bool) {
        let last_logged = self
            .last_logged_fresh
            .replace(is_fresh)
            .unwrap_or(was_fresh);
        if last_logged != is_fresh {
            log::info!(event = "key-freshness", holds = is_fresh; "");
        }
    }
}

impl Actor for Dispatcher {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), ()> {
        self.actor_address = mailbox.address().try_upgrade();
        Ok(())
    }

    async fn stopped(self) {}
}

impl Handler<TopicObserved> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: TopicObserved, _: &mut Context<Self>) {
        self.observe(Instant::now(), msg);
    }
}

impl Handler<StoreObserved> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: StoreObserved, _: &mut Context<Self>) {
        self.observe_store(Instant::now(), msg);
    }
}

impl Handler<EraChanged> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: EraChanged, _: &mut Context<Self>) {
        self.observe_era_change(Instant::now(), msg);
    }
}

impl Handler<Submit> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: Submit, _: &mut Context<Self>) {
        self.submit(Instant::now(), msg);
    }
}

impl Handler<AttemptEnded> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: AttemptEnded, _: &mut Context<Self>) {
        self.finish_run(Instant::now(), &msg);
    }
}

impl Handler<UpstreamCrashed> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: UpstreamCrashed, _: &mut Context<Self>) {
        let now = Instant::now();
        // It ends as planned, and takes the last requests along.
        if self.upstreams.is_leaving(msg.upstream) {
            return;
        }
        self.quarantine.on_death(now, msg.upstream, &[msg.suspect]);
        log::warn!(
            event = "upstream-crashed",
            upstream:% = msg.upstream.address,
            suspect:% = msg.suspect,
            deaths = self.quarantine.deaths(now, msg.suspect);
            ""
        );
    }
}

impl Handler<UpstreamSaid> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: UpstreamSaid, _: &mut Context<Self>) {
        self.record_notice(Instant::now(), &msg);
    }
}

impl Handler<Reload> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: Reload, _: &mut Context<Self>) {
        self.freshness.set_bound(msg.settings.bounds.revocation);
        self.settings = msg.settings;
    }
}

impl Handler<RefundToken> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: RefundToken, _: &mut Context<Self>) {
        self.quotas.refund(Instant::now(), &msg.organisation);
    }
}

impl Handler<Tick> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.tick(Instant::now());
    }
}

impl Handler<DatagramReceived> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: DatagramReceived, _: &mut Context<Self>) {
        self.handle_datagram(Instant::now(), msg.msg);
    }
}

impl Handler<Lookup> for Dispatcher {
    type Return = Vec<SocketAddr>;

    async fn handle(&mut self, msg: Lookup, _: &mut Context<Self>) -> Vec<SocketAddr> {
        self.lookup(Instant::now(), msg.query.zone.as_ref())
    }
}

impl Handler<GoneHost> for Dispatcher {
    type Return = Option<HostName>;

    async fn handle(&mut self, _: GoneHost, _: &mut Context<Self>) -> Option<HostName> {
        match self.leaving {
            true => None,
            false => self.peers.gone_host(Instant::now()),
        }
    }
}

impl Handler<IsReady> for Dispatcher {
    type Return = bool;

    async fn handle(&mut self, _: IsReady, _: &mut Context<Self>) -> bool {
        self.is_ready(Instant::now())
    }
}

impl Handler<ConfirmedConfiguration> for Dispatcher {
    type Return = Option<Arc<Configuration>>;

    async fn handle(
        &mut self,
        _: ConfirmedConfiguration,
        _: &mut Context<Self>,
    ) -> Option<Arc<Configuration>> {
        self.freshness.observe_suspension(suspended_time());
        match self.keys_are_fresh(Instant::now()) {
            true => self.configuration.load_full(),
            false => None,
        }
    }
}

impl Handler<BeginShutdown> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, _: BeginShutdown, _: &mut Context<Self>) {
        let now = Instant::now();
        self.leaving = true;
        self.stopped_at.get_or_insert(now);
        self.last_heartbeat_at = None;
        self.peers.leave(now);
        self.send_heartbeat(now);
    }
}

/// Returns the registration that a host with these settings publishes.
pub fn host_registration(settings: &Settings) -> HostRegistration {
    HostRegistration {
        name: settings.host.clone(),
        zone: settings.zone.clone(),
        callers: settings.callers,
        peers: settings.peers,
        millicores: settings.millicores,
    }
}
