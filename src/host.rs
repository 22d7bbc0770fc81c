//! The actor that owns all state of an entry host.
//!
//! Message handlers never await. The actor requests I/O by sending an [`IoTask`] to a
//! separate task, which returns the result as a message.

pub mod candidates;
pub mod choose;
pub mod configuration;
pub mod exchange;
pub mod heartbeats;
pub mod io_task;
pub mod loads;
pub mod message;
pub mod planning;
pub mod queueing;
pub mod roles;
pub mod shares;
pub mod start;
pub mod status;
pub mod table;

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr,
    sync::Arc,
};

use arc_swap::ArcSwapOption;
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use tokio::{
    sync::mpsc::UnboundedSender,
    time::Instant, //
};

use xtra::{
    Actor,
    Address,
    Mailbox, //
};

use crate::{
    adoption::Adoption,
    at_most_once::{
        Permit, //
        StartedIds,
    },
    budget::Budgets,
    config::{
        diff::Delta,
        index::Index, //
    },
    credential::{
        Credentials,
        Quorum,
        StalePolicy, //
    },
    explain::journal::Journal,
    gateway::{
        CurrentIndex,
        keys::ValidKeys, //
    },
    host::{
        io_task::IoTask,
        loads::Loads,
        message::Ticket,
        planning::ActivePlanner,
        queueing::Waiter, //
    },
    ledger::Ledger,
    link::Links,
    lookup::Table,
    membership::{
        Contact,
        Membership, //
    },
    metrics::Metrics,
    plan::Plan,
    pool::Pool,
    quarantine::{
        Quarantine,
        Suspect, //
    },
    queue::FairQueue,
    retry,
    store::ListedHost,
    util::{
        id::{
            HostName,
            Incarnation,
            ObjectName,
            RegionName,
            ServiceName,
            ZoneName, //
        },
        units::ByteSize,
    },
};

/// Capacity of the decision journal, in records.
const JOURNAL_RECORDS: usize = 4096;

/// Configuration and shared handles of a host's actor.
#[derive(Debug)]
pub struct HostConfig {
    /// Name of the host, unique in the fleet.
    pub name: HostName,
    /// Zone in which the host runs.
    pub zone: ZoneName,
    /// Bound address for callers.
    pub callers: SocketAddr,
    /// Bound address for other entry hosts.
    pub peers: SocketAddr,
    /// Identifies this process among all processes that ran under the host's name.
    pub incarnation: Incarnation,
    /// Start time of this process.
    pub started: Instant,
    /// Policy of routes that need a key while the information on withdrawn keys is stale.
    pub stale_policy: StalePolicy,
    /// Shared with the gateway: the configuration in force.
    pub index: CurrentIndex,
    /// Shared with the gateway: the look-up table in force.
    pub table: Arc<ArcSwapOption<Table>>,
    /// Shared with the gateway: the host's region, absent until a configuration is
    /// adopted.
    pub region: Arc<ArcSwapOption<RegionName>>,
    /// Shared with the gateway: the keys that are configured and not withdrawn.
    pub keys: Arc<ValidKeys>,
    /// Metrics of the host.
    pub metrics: Arc<Metrics>,
    /// Channel for the I/O that the actor requests.
    pub io_tasks: UnboundedSender<IoTask>,
    /// Seed of the actor's random number generator, also used to spread periodic reads of
    /// the platform's host list.
    pub seed: u64,
}

/// A request that this host started and that has not finished.
#[derive(Debug)]
struct RunningRequest {
    /// At-most-once record; none for idempotent routes and forwarded requests.
    once: Option<Permit>,
    service: ServiceName,
    /// The request entered the system at this host.
    entered: bool,
    /// The request was forwarded from another region to run here.
    foreign: bool,
}

/// The state of an entry host.
#[derive(Debug)]
pub struct Host {
    /// Address of this actor; none before it has started.
    own_address: Option<Address<Host>>,
    cfg: HostConfig,
    index: Option<Arc<Index>>,
    region: Option<RegionName>,
    membership: Membership,
    credentials: Credentials,
    /// Revision of the credentials at the last publication of the valid keys.
    keys_revision: u64,
    adoption: Adoption,
    /// Latest deltas up to the configuration in force, oldest first, for other hosts.
    deltas: Vec<Delta>,
    once: StartedIds,
    quarantine: Quarantine,
    /// The suspect request that runs in isolation on each upstream.
    isolated_suspects: HashMap<SocketAddr, Suspect>,
    budgets: Budgets,
    links: Links,
    retry_allowance: retry::Budget,
    pools: HashMap<ServiceName, Pool>,
    queues: HashMap<ServiceName, FairQueue<Waiter>>,
    loads: Loads,
    ledger: Option<Ledger>,
    /// Latest known ledgers of the other zones.
    others: BTreeMap<ZoneName, Ledger>,
    /// The platform's host list as last read.
    listed: Vec<ListedHost>,
    plans: BTreeMap<RegionName, Plan>,
    planning: Option<ActivePlanner>,
    running: HashMap<Ticket, RunningRequest>,
    last_ticket: Ticket,
    journal: Journal,
    table: Option<Arc<Table>>,
    /// Remaining headroom of each link that leaves this region.
    headroom: HashMap<ObjectName, ByteSize>,
    /// When the confirmed ledger was requested; none before one was confirmed.
    ledger_requested_at: Option<Instant>,
    /// The held ledger still has to be confirmed as the current one.
    ledger_unconfirmed: bool,
    /// A ledger in `others` changed since the shares were last computed.
    others_changed: bool,
    leaving: bool,
    /// Ticks handled since the start.
    tick_count: u64,
    /// Time of the last tick, to detect gaps.
    last_tick: Instant,
    rng: StdRng,
}

impl Host {
    /// Returns the initial state of a process that has just bound its addresses.
    pub fn new(cfg: HostConfig) -> Self {
        let now = cfg.started;
        let contact = Contact {
            zone: cfg.zone.clone(),
            callers: cfg.callers,
            peers: cfg.peers,
        };
        let (name, incarnation) = (cfg.name.clone(), cfg.incarnation);
        Self {
            own_address: None,
            index: None,
            region: None,
            membership: Membership::new(name.clone(), contact, incarnation, now),
            credentials: Credentials::new(cfg.zone.clone(), Quorum::default(), cfg.stale_policy),
            keys_revision: u64::MAX,
            adoption: Adoption::new(),
            deltas: Vec::new(),
            once: StartedIds::new(name.clone(), incarnation, now),
            quarantine: Quarantine::new(),
            isolated_suspects: HashMap::new(),
            budgets: Budgets::new(name, incarnation, now),
            links: Links::new(),
            retry_allowance: retry::Budget::new(),
            pools: HashMap::new(),
            queues: HashMap::new(),
            loads: Loads::new(),
            ledger: None,
            others: BTreeMap::new(),
            listed: Vec::new(),
            plans: BTreeMap::new(),
            planning: None,
            running: HashMap::new(),
            last_ticket: Ticket::default(),
            journal: Journal::new(JOURNAL_RECORDS),
            table: None,
            headroom: HashMap::new(),
            ledger_requested_at: None,
            ledger_unconfirmed: true,
            others_changed: false,
            leaving: false,
            tick_count: 0,
            last_tick: now,
            rng: StdRng::seed_from_u64(cfg.seed),
            cfg,
        }
    }

    /// Requests I/O; the result arrives as a message.
    fn send(&self, io_task: IoTask) {
        // The receiver lives as long as the process.
        let _ = self.cfg.io_tasks.send(io_task);
    }
}

impl Actor for Host {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), ()> {
        self.own_address = mailbox.address().try_upgrade();
        Ok(())
    }

    async fn stopped(self) {}
}
