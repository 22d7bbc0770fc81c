//! Applies new configurations, ledgers, plans and key withdrawals.

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
        io_task::IoTask, //
    },
    ledger::Ledger,
    plan::Plan,
    pool::Pool,
    publish::withdrawn::WithdrawnKeys,
    util::id::{
        Generation,
        KeyDigest,
        ObjectName,
        RegionName,
        ServiceName,
        Version,
        ZoneName, //
    },
};

/// Most deltas that are kept to update other hosts.
const DELTAS_KEPT_MAX: usize = 64;

/// A configuration generation that was fetched and compiled.
#[derive(Debug)]
pub struct Adopt {
    /// The compiled generation.
    pub index: Arc<Index>,
    /// The deltas from the previous generation to this one; empty if the whole set was
    /// fetched.
    pub deltas: Vec<Delta>,
    /// The source that it was fetched from.
    pub source: Source,
}

/// Asks for the configuration in force; none before the first adoption.
#[derive(Debug)]
pub struct GetIndex;

/// The store's head object, as read.
#[derive(Debug)]
pub struct HeadRead {
    /// Version of the head object.
    pub version: Version,
    /// Generation that the head names; none if nothing is published yet.
    pub generation: Option<Generation>,
}

/// The store's answer to a conditional write of the unchanged head, which shows whether
/// an earlier read of it is current.
#[derive(Debug)]
pub struct HeadConfirmed {
    /// The version in the write's condition.
    pub condition: Version,
    /// Whether the head was still at that version.
    pub answer: Confirmation,
}

/// Reports that a source could not deliver the generation that it offered.
#[derive(Debug)]
pub struct FetchFailed(pub Source);

/// Ledgers that were read from or written to the store.
#[derive(Debug)]
pub struct StoredLedgers {
    /// When the request to the store began.
    pub requested_at: Instant,
    /// Ledgers of this or other zones, in any order.
    pub ledgers: Vec<Ledger>,
    /// Whether a conditional write confirmed the own zone's ledger as the current one.
    pub proved: bool,
}

/// Steering plans that were read from or written to the store.
#[derive(Debug)]
pub struct StoredPlans(pub Vec<Plan>);

/// The withdrawn keys that were read from the store.
#[derive(Debug)]
pub struct StoredWithdrawn(pub WithdrawnKeys);

/// Reports that all withdrawals in the store at this instant are known to this host.
#[derive(Debug)]
pub struct StoreFreshSince(pub Instant);

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

impl Handler<HeadRead> for Host {
    type Return = ();

    async fn handle(&mut self, msg: HeadRead, _cx: &mut Context<Self>) {
        self.adoption
            .offer(Source::Store(msg.version), msg.generation);
        self.send_adoption_step(Instant::now());
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
        self.adoption.confirm(msg.condition, msg.answer);
        self.send_adoption_step(Instant::now());
    }
}

impl Handler<StoredLedgers> for Host {
    type Return = ();

    async fn handle(&mut self, msg: StoredLedgers, _cx: &mut Context<Self>) {
        for ledger in msg.ledgers {
            self.apply_ledger(ledger);
        }
        if msg.proved {
            self.confirm_ledger(Instant::now(), msg.requested_at);
        }
    }
}

impl Handler<StoredPlans> for Host {
    type Return = ();

    async fn handle(&mut self, msg: StoredPlans, _cx: &mut Context<Self>) {
        let now = Instant::now();
        for plan in msg.0 {
            self.apply_plan(now, plan);
        }
    }
}

impl Handler<StoredWithdrawn> for Host {
    type Return = ();

    async fn handle(&mut self, msg: StoredWithdrawn, _cx: &mut Context<Self>) {
        if self.credentials.withdraw(msg.0.iter().copied()) > 0 {
            self.publish_keys();
            self.send_heartbeats(Instant::now());
        }
    }
}

impl Handler<StoreFreshSince> for Host {
    type Return = ();

    async fn handle(&mut self, msg: StoreFreshSince, _cx: &mut Context<Self>) {
        self.credentials.record_store_read(msg.0);
    }
}

impl Host {
    /// Requests the I/O for the next step towards a newer generation, if any.
    pub(super) fn send_adoption_step(&mut self, now: Instant) {
        match self.adoption.next_step(now) {
            Step::Wait { .. } => {}
            step => self.send(IoTask::Adoption(step)),
        }
    }

    /// Puts a generation into force if it supersedes the current one.
    fn adopt(&mut self, now: Instant, msg: Adopt) {
        let generation = msg.index.generation();
        let previous = self.adoption.current();
        if self.adoption.adopt(now, generation) != Adopted::InForce {
            return;
        }
        self.append_deltas(msg.deltas);
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
        self.recompute_shares(now);
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
        self.send_heartbeats(now);
    }

    /// Keeps deltas for other hosts; a whole set invalidates the earlier ones.
    fn append_deltas(&mut self, deltas: Vec<Delta>) {
        if deltas.is_empty() {
            self.deltas.clear();
        }
        self.deltas.extend(deltas);
        let excess = self.deltas.len().saturating_sub(DELTAS_KEPT_MAX);
        self.deltas.drain(..excess);
    }

    /// Returns what brings a peer from generation `have` to the one in force: deltas if
    /// they are all kept, otherwise the whole set.
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

    /// Creates, updates and removes the pools of this zone. A removed pool stays until
    /// its requests have ended.
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

    /// Keeps a plan if it supersedes the one held for its region.
    pub(super) fn apply_plan(&mut self, now: Instant, plan: Plan) {
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

    /// Returns the plan of the own region.
    pub(super) fn plan_of_region(&self) -> Option<&Plan> {
        self.plans.get(self.region.as_ref()?)
    }

    /// Returns whether a drain covers a zone or its pool of the service.
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

    /// Publishes the valid keys to the gateway if they changed.
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
        let valid_keys: HashSet<KeyDigest> =
            keys.filter(|k| !self.credentials.is_withdrawn(k)).collect();
        self.cfg.keys.replace(valid_keys);
    }

    /// Returns the name of the link from the own region to another.
    pub(super) fn link_to(&self, region: &RegionName) -> Option<ObjectName> {
        let index = self.index.as_ref()?;
        let link = index.link(self.region.as_ref()?, region)?;
        Some(link.name.clone())
    }
}
