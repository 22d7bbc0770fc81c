//! The actor that owns all state of an entry host.
//!
//! It answers each message without waiting for anything. What it wants done by
//! I/O goes out as an [`Errand`]; the result comes back as a message.

pub mod candidates;
pub mod choose;
pub mod configuration;
pub mod errand;
pub mod exchange;
pub mod loads;
pub mod message;
pub mod news;
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
    budget::Budgets,
    config::{
        diff::Delta,
        index::Index, //
    },
    credential::{
        Credentials,
        Quorum,
        WhenStale, //
    },
    explain::journal::Journal,
    gateway::{
        IndexInForce,
        keys::Keys, //
    },
    host::{
        errand::Errand,
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
    once::{
        Once,
        Permit, //
    },
    plan::Plan,
    pool::Pool,
    quarantine::{
        Quarantine,
        Suspect, //
    },
    queue::Queue,
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

/// Records that the journal holds.
const JOURNAL_RECORDS: usize = 4096;

/// What a host's actor is made from.
#[derive(Debug)]
pub struct HostConfig {
    /// The host's name.
    pub name: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other entry hosts reach it.
    pub peers: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When this incarnation started.
    pub started: Instant,
    /// What keyed routes do when news of keys is too old.
    pub when_stale: WhenStale,
    /// Where the configuration in force is published.
    pub index: IndexInForce,
    /// Where the look-up table in force is published.
    pub table: Arc<ArcSwapOption<Table>>,
    /// Where the host's region is published.
    pub region: Arc<ArcSwapOption<RegionName>>,
    /// Where the keys that stand are published.
    pub keys: Arc<Keys>,
    /// The host's metrics.
    pub metrics: Arc<Metrics>,
    /// Takes what the actor wants done by I/O.
    pub errands: UnboundedSender<Errand>,
    /// Seeds the actor's random choices.
    pub seed: u64,
}

/// A request that this host has started.
#[derive(Debug)]
struct RunningRequest {
    once: Option<Permit>,
    service: ServiceName,
    /// It entered the system at this host.
    entered: bool,
    /// It came from another region, to run here.
    foreign: bool,
}

/// The state of an entry host.
#[derive(Debug)]
pub struct Host {
    own_address: Option<Address<Host>>,
    cfg: HostConfig,
    index: Option<Arc<Index>>,
    region: Option<RegionName>,
    membership: Membership,
    credentials: Credentials,
    keys_revision: u64,
    adoption: Adoption,
    deltas: Vec<Delta>,
    once: Once,
    quarantine: Quarantine,
    /// The suspect that runs alone on each upstream.
    isolated_suspects: HashMap<SocketAddr, Suspect>,
    budgets: Budgets,
    links: Links,
    retry_budget: retry::Budget,
    pools: HashMap<ServiceName, Pool>,
    queues: HashMap<ServiceName, Queue<Waiter>>,
    loads: Loads,
    ledger: Option<Ledger>,
    others: BTreeMap<ZoneName, Ledger>,
    listed: Vec<ListedHost>,
    plans: BTreeMap<RegionName, Plan>,
    planning: Option<ActivePlanner>,
    running: HashMap<Ticket, RunningRequest>,
    last_ticket: Ticket,
    journal: Journal,
    table: Option<Arc<Table>>,
    headroom: HashMap<ObjectName, ByteSize>,
    ledger_requested_at: Option<Instant>,
    ledger_unconfirmed: bool,
    others_changed: bool,
    leaving: bool,
    tick_count: u64,
    last_tick: Instant,
    rng: StdRng,
}

impl Host {
    /// Returns the state of a process that has just bound its addresses.
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
            credentials: Credentials::new(cfg.zone.clone(), Quorum::default(), cfg.when_stale),
            keys_revision: u64::MAX,
            adoption: Adoption::new(),
            deltas: Vec::new(),
            once: Once::new(name.clone(), incarnation, now),
            quarantine: Quarantine::new(&name, incarnation),
            isolated_suspects: HashMap::new(),
            budgets: Budgets::new(name, incarnation, now),
            links: Links::new(),
            retry_budget: retry::Budget::new(),
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

    fn send(&self, errand: Errand) {
        // The receiver ends only with the process.
        let _ = self.cfg.errands.send(errand);
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
