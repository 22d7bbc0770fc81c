//! Configurations, ledgers and plans as they come into force.

use std::{
    collections::HashSet,
    sync::Arc, //
};

use tokio::time::Instant;
use xtra::{
    Context,
    Handler, //
};

use crate::{
    adoption::{
        Adopted,
        Confirmation,
        Source,
        Step, //
    },
    budget::Holdings,
    config::{
        diff::Delta,
        index::Index,
        object::DrainTarget, //
    },
    control::Configuration,
    explain::{
        Basis,
        Decision,
        Origin, //
    },
    host::{
        Host,
        errand::Errand, //
    },
    ledger::{
        Ledger,
        Member, //
    },
    lookup::{
        self,
        Standing,
        Table, //
    },
    membership::{
        Peer,
        PeerState, //
    },
    plan::Plan,
    pool::{
        Members,
        Pool, //
    },
    publish::withdrawn::Withdrawn,
    share,
    util::{
        id::{
            Generation,
            HostName,
            KeyDigest,
            ObjectName,
            RegionName,
            ServiceName,
            Version,
            ZoneName, //
        },
        units::ByteSize,
    },
};

/// The deltas that are kept for other hosts.
const DELTAS_KEPT: usize = 64;
/// Thousandths in a whole.
const MILLI: u32 = 1000;

/// Offers a generation that was fetched and compiled.
#[derive(Debug)]
pub struct Adopt {
    /// The compiled generation.
    pub index: Arc<Index>,
    /// The deltas that led to it; none for a whole set.
    pub deltas: Vec<Delta>,
    /// Who offered it.
    pub source: Source,
}

/// Asks for the configuration in force.
#[derive(Debug)]
pub struct GetIndex;

/// What the store's head says; no generation where nothing was published yet.
#[derive(Debug)]
pub struct HeadSeen {
    /// The head's version.
    pub version: Version,
    /// The generation.
    pub generation: Option<Generation>,
}

/// The answer of the store to a write that changes nothing.
#[derive(Debug)]
pub struct HeadConfirmed {
    /// The version that the write named.
    pub asked: Version,
    /// The answer.
    pub answer: Confirmation,
}

/// Tells that a source could not deliver what it offered.
#[derive(Debug)]
pub struct FetchFailed(pub Source);

/// Ledgers from the store.
#[derive(Debug)]
pub struct StoredLedgers {
    /// When they were asked for.
    pub asked: Instant,
    /// The ledgers.
    pub ledgers: Vec<Ledger>,
    /// Whether the own zone's is proved to be the current one.
    pub proved: bool,
}

/// Plans from the store.
#[derive(Debug)]
pub struct StoredPlans(pub Vec<Plan>);

/// The withdrawn keys from the store.
#[derive(Debug)]
pub struct StoredWithdrawn(pub Withdrawn);

/// Tells since when the store is known to hold no newer withdrawal.
#[derive(Debug)]
pub struct StoreIsFresh(pub Instant);

impl Handler<Adopt> for Host {
    type Return = ();

    async fn handle(&mut self, msg: Adopt, _cx: &mut Context<Self>) {
        self.adopt(Instant::now(), msg);
    }
}

impl Handler<GetIndex> for Host {
    type Return = Option<Arc<Index>>;

    async fn handle(&mut self, _msg: GetIndex, _cx: &mut Context<Self>) -> Option<Arc<Index>> {
        self.index.clone()
    }
}

impl Handler<HeadSeen> for Host {
    type Return = ();

    async fn handle(&mut self, msg: HeadSeen, _cx: &mut Context<Self>) {
        self.adoption
            .offer(Source::Store(msg.version), msg.generation);
        self.ask_for_generation(Instant::now());
    }
}

impl Handler<FetchFailed> for Host {
    type Return = ();

    async fn handle(&mut self, msg: FetchFailed, _cx: &mut Context<Self>) {
        self.adoption.fetch_failed(&msg.0);
    }
}

impl Handler<HeadConfirmed> for Host {
    type Return = ();

    async fn handle(&mut self, msg: HeadConfirmed, _cx: &mut Context<Self>) {
        self.adoption.confirm(msg.asked, msg.answer);
        self.ask_for_generation(Instant::now());
    }
}

impl Handler<StoredLedgers> for Host {
    type Return = ();

    async fn handle(&mut self, msg: StoredLedgers, _cx: &mut Context<Self>) {
        for ledger in msg.ledgers {
            self.take_ledger(ledger);
        }
        if msg.proved {
            self.count_by_ledger(Instant::now(), msg.asked);
        }
    }
}

impl Handler<StoredPlans> for Host {
    type Return = ();

    async fn handle(&mut self, msg: StoredPlans, _cx: &mut Context<Self>) {
        let now = Instant::now();
        for plan in msg.0 {
            self.take_plan(now, plan);
        }
    }
}

impl Handler<StoredWithdrawn> for Host {
    type Return = ();

    async fn handle(&mut self, msg: StoredWithdrawn, _cx: &mut Context<Self>) {
        if self.credentials.withdraw(msg.0.iter().copied()) > 0 {
            self.publish_keys();
            self.tell_all(Instant::now());
        }
    }
}

impl Handler<StoreIsFresh> for Host {
    type Return = ();

    async fn handle(&mut self, msg: StoreIsFresh, _cx: &mut Context<Self>) {
        self.credentials.on_store(msg.0);
    }
}

impl Host {
    /// Sends out what the choice of generation asks for.
    pub(super) fn ask_for_generation(&mut self, now: Instant) {
        match self.adoption.next_step(now) {
            Step::Wait { .. } => {}
            step => self.send(Errand::Adoption(step)),
        }
    }

    fn adopt(&mut self, now: Instant, msg: Adopt) {
        let generation = msg.index.generation();
        let previous = self.adoption.current();
        if self.adoption.adopt(now, generation) != Adopted::InForce {
            return;
        }
        self.keep_deltas(msg.deltas);
        self.index = Some(msg.index.clone());
        self.region = msg.index.region_of(&self.cfg.zone).cloned();
        self.cfg.region.store(self.region.clone().map(Arc::new));
        let set = msg.index.set();
        let zones = set.zones.iter().map(|z| &z.name);
        self.credentials.set_keys(&set.keys, zones);
        self.configure_pools(now, &msg.index);
        self.publish_keys();
        self.cfg.index.store(Some(msg.index));
        self.cfg
            .metrics
            .generation
            .set(i64::try_from(generation.0).unwrap_or(i64::MAX));
        self.table = None;
        self.rebuild_table(now);
        self.share_out(now);
        log::info!(event = "adopted", host:% = self.cfg.name, generation:%; "");
        let from = match msg.source {
            Source::Store(_) => Origin::Store,
            Source::Peer(host) => Origin::Peer(host),
        };
        self.record(
            now,
            None,
            Decision::Adopted { previous, from },
            Basis::new(),
        );
        self.tell_all(now);
    }

    fn keep_deltas(&mut self, deltas: Vec<Delta>) {
        if deltas.is_empty() {
            self.deltas.clear();
        }
        self.deltas.extend(deltas);
        let excess = self.deltas.len().saturating_sub(DELTAS_KEPT);
        self.deltas.drain(..excess);
    }

    /// Returns what leads on from a generation.
    pub(super) fn configuration_since(&self, have: Option<Generation>) -> Configuration {
        let Some(index) = &self.index else {
            return Configuration::Same;
        };
        if have >= Some(index.generation()) {
            return Configuration::Same;
        }
        let first = self.deltas.iter().position(|d| Some(d.from) == have);
        match first {
            Some(first) => Configuration::Deltas(self.deltas[first..].to_vec()),
            None => Configuration::Whole(index.generation(), Box::new(index.to_whole_set())),
        }
    }

    fn configure_pools(&mut self, now: Instant, index: &Index) {
        let members = self.members();
        let mut services: HashSet<ServiceName> = HashSet::new();
        for pool in &index.set().pools {
            if pool.zone != self.cfg.zone {
                continue;
            }
            services.insert(pool.service.clone());
            match self.pools.get_mut(&pool.service) {
                Some(known) => known.configure(now, pool),
                None => {
                    let new = Pool::new(now, self.cfg.name.clone(), pool, members.clone());
                    self.pools.insert(pool.service.clone(), new);
                }
            }
        }
        self.pools
            .retain(|service, pool| services.contains(service) || pool.running() > 0);
        for drain in &index.set().drains {
            let DrainTarget::Upstream(address) = drain.target else {
                continue;
            };
            for pool in self.pools.values_mut() {
                pool.set_drained(now, address, true);
            }
        }
    }

    /// Returns the member lists that divide the upstreams' slots.
    fn members(&self) -> Members {
        let Some(ledger) = &self.ledger else {
            return Members::default();
        };
        let names = |m: &crate::ledger::Members| -> Vec<HostName> {
            m.hosts.iter().map(|h| h.name.clone()).collect()
        };
        Members {
            revision: ledger.revision.0,
            lists: ledger.members.iter().map(names).collect(),
        }
    }

    /// Returns whether no upstream runs more of this host's requests than its shares allow.
    pub(super) fn pools_are_shrunk(&self) -> bool {
        let revision = self.budgets.revision().0;
        self.pools.values().all(|pool| pool.is_shrunk(revision))
    }

    pub(super) fn take_ledger(&mut self, ledger: Ledger) {
        if ledger.zone == self.cfg.zone {
            let newer = self
                .ledger
                .as_ref()
                .is_none_or(|l| l.revision < ledger.revision);
            if newer {
                self.ledger = Some(ledger);
                self.ledger_due = true;
            }
            return;
        }
        let held = self.others.get(&ledger.zone);
        if held.is_none_or(|l| l.revision < ledger.revision) {
            self.others.insert(ledger.zone.clone(), ledger);
            self.others_changed = true;
        }
    }

    /// Counts by the ledger that is held, which was proved to be in force after `asked`.
    pub(super) fn count_by_ledger(&mut self, now: Instant, asked: Instant) {
        if self.ledger.is_none() {
            return;
        }
        self.ledger_asked = Some(asked);
        self.ledger_due = false;
        self.share_out(now);
        let members = self.members();
        for pool in self.pools.values_mut() {
            pool.set_members(members.clone());
        }
    }

    /// Works out this host's own shares from the configuration and the ledgers.
    pub(super) fn share_out(&mut self, now: Instant) {
        let (Some(index), Some(ledger), Some(asked)) =
            (&self.index, &self.ledger, self.ledger_asked)
        else {
            return;
        };
        self.others_changed = false;
        let holdings = Holdings {
            wholes: share::wholes(index.set()),
            member: Member {
                name: self.cfg.name.clone(),
                peers: self.cfg.peers,
            },
            ledger: ledger.clone(),
            others: self.others_by_distance(index),
        };
        if let Err(e) = self.budgets.adopt(now, asked, Arc::new(holdings)) {
            log::debug!(event = "shares-not-adopted", cause:% = e; "");
            self.ledger_due = true;
        }
        self.measure_headroom(now);
    }

    /// Returns the other zones' ledgers, those of the own region first.
    fn others_by_distance(&self, index: &Index) -> Vec<Ledger> {
        let mut others: Vec<Ledger> = self.others.values().cloned().collect();
        let delay = |l: &Ledger| {
            let (Some(from), Some(to)) = (self.region.as_ref(), index.region_of(&l.zone)) else {
                return std::time::Duration::MAX;
            };
            index
                .link(from, to)
                .map_or(std::time::Duration::ZERO, |link| link.delay)
        };
        others.sort_by_key(delay);
        others
    }

    pub(super) fn take_plan(&mut self, now: Instant, plan: Plan) {
        let held = self.plans.get(&plan.region);
        if held.is_some_and(|held| !plan.supersedes(held)) {
            return;
        }
        let is_own = self.region.as_ref() == Some(&plan.region);
        self.plans.insert(plan.region.clone(), plan);
        if is_own {
            self.rebuild_table(now);
        }
    }

    pub(super) fn plan_of_region(&self) -> Option<&Plan> {
        self.plans.get(self.region.as_ref()?)
    }

    /// Publishes the look-up table that follows from what is known now.
    pub(super) fn rebuild_table(&mut self, now: Instant) {
        let Some(index) = self.index.clone() else {
            return;
        };
        let hosts = self.lookup_hosts(now, &index);
        let table = match &self.table {
            Some(table) => table.with_hosts(&hosts),
            None => {
                let blocks = index.blocks().clone();
                let own = &self.cfg.zone;
                Table::with_blocks(index.generation(), index.set(), own, &hosts, blocks)
            }
        };
        let table = match self.plan_of_region() {
            Some(plan) => table.with_plan(plan),
            None => table,
        };
        let table = Arc::new(table);
        self.cfg.table.store(Some(table.clone()));
        self.table = Some(table);
    }

    fn lookup_hosts(&self, now: Instant, index: &Index) -> Vec<lookup::Host> {
        let mut hosts = Vec::new();
        if !self.leaving {
            hosts.push(lookup::Host {
                name: self.cfg.name.clone(),
                zone: self.cfg.zone.clone(),
                callers: self.cfg.callers,
                incarnation: self.cfg.incarnation,
                stamp: self.membership.stamp(now),
                standing: self.drained_standing(&self.cfg.name, Standing::Live),
                spare: MILLI as u16,
            });
        }
        for zone in &index.set().zones {
            for peer in self.membership.zone_hosts(&zone.name) {
                hosts.extend(self.lookup_host(now, peer));
            }
        }
        hosts
    }

    fn lookup_host(&self, now: Instant, peer: &Peer) -> Option<lookup::Host> {
        let standing = match self.membership.state(now, &peer.name)? {
            PeerState::Live => Standing::Live,
            PeerState::Suspect => Standing::Doubtful,
            PeerState::Leaving | PeerState::Unreachable | PeerState::Gone => return None,
        };
        Some(lookup::Host {
            name: peer.name.clone(),
            zone: peer.contact.zone.clone(),
            callers: peer.contact.callers,
            incarnation: peer.incarnation,
            stamp: peer.stamp,
            standing: self.drained_standing(&peer.name, standing),
            spare: self.spare(&peer.name),
        })
    }

    /// Returns how a host looks, given the planned drains of hosts.
    fn drained_standing(&self, host: &HostName, standing: Standing) -> Standing {
        let Some(index) = &self.index else {
            return standing;
        };
        // A zone's drain closes the zone by the plan, in steps that the caps allow.
        let drains =
            |target: &DrainTarget| matches!(target, DrainTarget::Host(name) if name == host);
        match index.set().drains.iter().any(|d| drains(&d.target)) {
            true => Standing::Leaving,
            false => standing,
        }
    }

    /// Returns the part of a host's slots that it reported free, in thousandths.
    fn spare(&self, host: &HostName) -> u16 {
        let Some(report) = self.loads.of_host(host) else {
            return MILLI as u16;
        };
        let free: u32 = report.loads.iter().map(|l| l.free).sum();
        let usable: u32 = report.loads.iter().map(|l| l.usable).sum();
        match usable {
            0 => MILLI as u16,
            _ => u16::try_from(free.saturating_mul(MILLI) / usable).unwrap_or(u16::MAX),
        }
    }

    /// Returns whether a service must not be sent to a zone.
    pub(super) fn is_drained(&self, zone: &ZoneName, service: &ServiceName) -> bool {
        let Some(index) = &self.index else {
            return false;
        };
        let pool = index.pool(service, zone).map(|p| &p.name);
        let drains = |target: &DrainTarget| match target {
            DrainTarget::Zone(name) => name == zone,
            DrainTarget::Pool(name) => pool == Some(name),
            DrainTarget::Upstream(_) | DrainTarget::Host(_) => false,
        };
        index.set().drains.iter().any(|d| drains(&d.target))
    }

    /// Publishes the keys that stand, where they changed.
    pub(super) fn publish_keys(&mut self) {
        let revision = self.credentials.revision();
        if revision == self.keys_revision {
            return;
        }
        self.keys_revision = revision;
        let Some(index) = &self.index else {
            return;
        };
        let keys = index.set().keys.iter().map(|k| k.digest);
        let standing: HashSet<KeyDigest> =
            keys.filter(|k| !self.credentials.is_withdrawn(k)).collect();
        self.cfg.keys.replace(standing);
    }

    /// Returns the name of the link that leads to a region.
    pub(super) fn link_to(&self, region: &RegionName) -> Option<ObjectName> {
        let index = self.index.as_ref()?;
        let link = index.link(self.region.as_ref()?, region)?;
        Some(link.name.clone())
    }

    /// Looks at the headroom of the links that lead out of the region, and shares
    /// out again where other zones' ledgers changed.
    pub(super) fn refresh_headroom(&mut self, now: Instant) {
        match self.others_changed {
            true => self.share_out(now),
            false => self.measure_headroom(now),
        }
    }

    fn measure_headroom(&mut self, now: Instant) {
        let (Some(index), Some(region)) = (self.index.clone(), self.region.clone()) else {
            return;
        };
        for link in index.set().links.iter().filter(|l| l.from == region) {
            let left: ByteSize = self.links.headroom(now, &mut self.budgets, &link.name);
            self.headroom.insert(link.name.clone(), left);
        }
    }
}
