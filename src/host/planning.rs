//! Runs the planner of a region on the measured loads, drains and link caps.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use tokio::time::Instant;
use xtra::{
    Context,
    Handler, //
};

use crate::{
    config::{
        index::Index,
        object::{
            Drain,
            DrainTarget,
            Pool, //
        },
    },
    control::ServiceLoad,
    drain::DrainProgress,
    explain::{
        Basis,
        Decision,
        HoldReason,
        Measurement,
        Subject, //
    },
    host::Host,
    lease::Term,
    membership::PeerState,
    plan::{
        self,
        Plan, //
    },
    planner::{
        Planner,
        view::{
            Capacity,
            Demand,
            LinkLoad,
            ServingState,
            View, //
            ZoneService,
        },
    },
    util::id::{
        HostName,
        ObjectName,
        RegionName,
        ZoneName, //
    },
};

/// Asks for the next plan of a region, if it differs from the stored one.
#[derive(Debug)]
pub struct MakePlan {
    /// Region to plan for.
    pub region: RegionName,
    /// Lease term under which this host is the planner.
    pub term: Term,
    /// Plan in the store; none if there is none or it cannot be decoded.
    pub stored: Option<Plan>,
}

/// The planner of the current lease term and the drains that it tracks.
#[derive(Debug)]
pub struct ActivePlanner {
    term: Term,
    planner: Planner,
    drains: BTreeMap<ObjectName, DrainProgress>,
}

impl Handler<MakePlan> for Host {
    type Return = Option<Plan>;

    async fn handle(&mut self, msg: MakePlan, _cx: &mut Context<Self>) -> Option<Plan> {
        self.make_plan(Instant::now(), msg)
    }
}

impl Host {
    /// Returns the plan to publish; none if it has the same content as the stored one.
    fn make_plan(&mut self, now: Instant, msg: MakePlan) -> Option<Plan> {
        let index = self.index.clone()?;
        let generation = index.generation();
        let stored = msg.stored.as_ref().filter(|p| p.term <= msg.term.0);
        let mut planning = match self.planning.take() {
            Some(planning) if planning.term == msg.term => planning,
            _ => ActivePlanner {
                term: msg.term,
                planner: match stored {
                    Some(plan) => Planner::with_plan(plan.clone(), msg.term.0),
                    None => Planner::new(msg.region.clone(), generation, msg.term.0),
                },
                drains: BTreeMap::new(),
            },
        };
        track_drains(now, &index, &mut planning.drains);
        let view = self.view(now, &index, &planning.drains);
        let plan = planning.planner.step(now, generation, &view).clone();
        self.planning = Some(planning);
        self.record_plan(now, &plan);
        let same = msg
            .stored
            .as_ref()
            .is_some_and(|s| has_same_content(s, &plan));
        (!same).then_some(plan)
    }

    /// Returns the planner's input: capacities, demands and links as this host knows
    /// them.
    fn view(
        &mut self,
        now: Instant,
        index: &Index,
        drains: &BTreeMap<ObjectName, DrainProgress>,
    ) -> View {
        let mut view = View::default();
        for zone in &index.set().zones {
            view.zones.insert(zone.name.clone(), zone.region.clone());
        }
        for pool in &index.set().pools {
            let place = (pool.zone.clone(), pool.service.clone());
            let state = self.serving_state(now, index, drains, pool);
            view.capacities.insert(
                place,
                Capacity {
                    usable: 0.0,
                    used: 0.0,
                    used_by_other_regions: 0.0,
                    state,
                    at: now,
                },
            );
        }
        self.add_loads(now, &mut view);
        for link in &index.set().links {
            let cap = link.cap.bytes_per_second().0;
            let available = self.headroom.get(&link.name).map_or(cap, |l| l.0.min(cap));
            view.links.insert(
                (link.from.clone(), link.to.clone()),
                LinkLoad {
                    cap: cap as f64,
                    used: (cap - available) as f64,
                    delay: link.delay,
                    at: now,
                },
            );
        }
        view
    }

    /// Adds this host's load and the reported loads of reachable hosts to the view.
    fn add_loads(&mut self, now: Instant, view: &mut View) {
        let own = self.own_loads(now);
        let zone = self.cfg.zone.clone();
        for load in &own {
            add_load(view, &zone, load, now);
        }
        for (zone, _) in view.zones.clone() {
            let reports: Vec<(HostName, Instant, Vec<ServiceLoad>)> = self
                .loads
                .reports_of_zone(&zone)
                .map(|(host, r)| (host.clone(), r.received_at, r.loads.to_vec()))
                .collect();
            for (host, received_at, loads) in reports {
                if !self.counts_for_plan(now, &host) {
                    continue;
                }
                for load in &loads {
                    add_load(view, &zone, load, received_at);
                }
            }
        }
    }

    /// Returns whether a host's load report enters the plan.
    fn counts_for_plan(&self, now: Instant, host: &HostName) -> bool {
        matches!(
            self.membership.state(now, host),
            Some(PeerState::Live | PeerState::Suspect)
        )
    }

    /// Returns whether a pool is open, draining or lost.
    fn serving_state(
        &self,
        now: Instant,
        index: &Index,
        drains: &BTreeMap<ObjectName, DrainProgress>,
        pool: &Pool,
    ) -> ServingState {
        let drained = index.set().drains.iter().find(|d| match &d.target {
            DrainTarget::Zone(zone) => *zone == pool.zone,
            DrainTarget::Pool(name) => *name == pool.name,
            DrainTarget::Upstream(_) | DrainTarget::Host(_) => false,
        });
        if let Some(drain) = drained {
            let time_left = drains.get(&drain.name).map(|p| p.shift_time_left(now));
            return ServingState::Draining(time_left.unwrap_or(Duration::ZERO));
        }
        match self.is_zone_lost(now, &pool.zone) {
            true => ServingState::Lost,
            false => ServingState::Open,
        }
    }

    /// Returns whether no host of another zone is reachable.
    fn is_zone_lost(&self, now: Instant, zone: &ZoneName) -> bool {
        if *zone == self.cfg.zone {
            return false;
        }
        !self
            .membership
            .zone_hosts(zone)
            .any(|p| self.counts_for_plan(now, &p.name))
    }

    /// Records the plan's steers in the journal, or why the planner kept them empty.
    fn record_plan(&mut self, now: Instant, plan: &Plan) {
        if plan.steers.is_empty() {
            let why = match plan.basis {
                plan::Basis::Measured => HoldReason::Steady,
                plan::Basis::Held | plan::Basis::Fallback => HoldReason::MeasurementsTooOld,
            };
            let decision = Decision::Held {
                region: plan.region.clone(),
                why,
            };
            self.record(now, None, decision, Basis::new());
            return;
        }
        for steer in &plan.steers {
            let mut basis = Basis::new();
            basis.push(Measurement {
                subject: Subject::FreeSlots(steer.origin.clone()),
                value: i64::try_from(steer.weights.len()).unwrap_or(i64::MAX),
                age: Duration::from_millis(steer.age_ms),
            });
            let decision = Decision::Steered(steer.clone());
            self.record(now, None, decision, basis);
        }
    }
}

/// Starts to track new drains and drops those that are no longer configured.
fn track_drains(now: Instant, index: &Index, drains: &mut BTreeMap<ObjectName, DrainProgress>) {
    let configured = &index.set().drains;
    let is_configured = |name: &ObjectName| configured.iter().any(|d: &Drain| d.name == *name);
    drains.retain(|name, _| is_configured(name));
    for drain in configured {
        drains
            .entry(drain.name.clone())
            .or_insert_with(|| DrainProgress::new(now, drain.within));
    }
}

fn add_load(view: &mut View, zone: &ZoneName, load: &ServiceLoad, at: Instant) {
    let place: ZoneService = (zone.clone(), load.service.clone());
    if let Some(c) = view.capacities.get_mut(&place) {
        c.usable += f64::from(load.usable);
        c.used += f64::from(load.usable.saturating_sub(load.free));
        c.used_by_other_regions += f64::from(load.foreign);
        c.at = c.at.min(at);
    }
    let demand = view.demands.entry(place).or_insert(Demand {
        slots: 0.0,
        bytes_in: 0.0,
        bytes_out: 0.0,
        at,
    });
    demand.slots += f64::from(load.entered);
    demand.bytes_in += load.bytes_in as f64;
    demand.bytes_out += load.bytes_out as f64;
    demand.at = demand.at.min(at);
}

/// Returns whether a plan equals the stored one, apart from its number and from the reasons
/// and measurement ages of its steers.
fn has_same_content(stored: &Plan, plan: &Plan) -> bool {
    stored.term == plan.term
        && stored.generation == plan.generation
        && stored.basis == plan.basis
        && stored.closed == plan.closed
        && stored.steers.len() == plan.steers.len()
        && stored
            .steers
            .iter()
            .zip(&plan.steers)
            .all(|(a, b)| a.origin == b.origin && a.service == b.service && a.weights == b.weights)
}
