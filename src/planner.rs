//! A region's planner: computes the next steering plan from measurements, drains and caps.
//!
//! A plan determines where requests that enter in the region's zones are
//! served. It approaches a target in steps. Each step is limited by the link's
//! headroom and the serving zone's warm capacity, less the traffic of earlier
//! steps that the measurements do not show yet.

pub mod headroom;
pub mod target;
pub mod view;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use tokio::time::Instant;

use crate::{
    plan::{
        Basis,
        Plan,
        SteeringEntry,
        StepReason,
        WEIGHT_SUM,
        ZoneWeight, //
    },
    planner::{
        headroom::{
            Headroom, //
            Load,
            Move,
        },
        target::Split,
        view::{
            Demand,
            ServingState,
            View, //
            ZoneService,
        },
    },
    util::id::{
        Generation,
        RegionName,
        ZoneName, //
    },
};

/// Beyond this age of its measurements, a split is held unchanged.
pub const HOLD_AGE: Duration = Duration::from_secs(15);
/// Beyond this age of its measurements, traffic falls back to the nearest zones.
pub const FALLBACK_AGE: Duration = Duration::from_secs(60);
/// The interval between two plans.
pub const PLAN_PERIOD: Duration = Duration::from_secs(5);
/// The fraction of a zone's usable slots up to which a plan fills it.
pub const ZONE_UTILISATION_MAX: f64 = 0.85;
/// The fraction of a link's cap up to which a plan fills it.
pub const LINK_UTILISATION_MAX: f64 = 0.85;
/// The fraction of the headroom in its own region that one step uses.
const STEP_FRACTION_SAME_REGION: f64 = 0.5;
/// The fraction of the headroom in another region that one step uses; caches there are cold.
const STEP_FRACTION_OTHER_REGION: f64 = 0.25;
/// Increases of a zone's fraction below this are not applied, unless a zone is lost or draining.
const WEIGHT_CHANGE_MIN: f64 = 0.02;
/// The fraction of the headroom in other regions and on links that one planner may use.
const CLAIM_FRACTION: f64 = 0.5;

/// A region's planner: its latest plan and the moves that measurements do not show yet.
#[derive(Clone, Debug)]
pub struct Planner {
    plan: Plan,
    splits: BTreeMap<ZoneService, Split>,
    moves: Vec<Move>,
}

/// The outcome of one step for one demand.
struct StepResult {
    split: Split,
    reason: StepReason,
}

impl Planner {
    /// Creates a planner with an empty plan, for a lease of `term`.
    pub fn new(region: RegionName, generation: Generation, term: u64) -> Self {
        Self::with_plan(Plan::new(region, generation, term), term)
    }

    /// Creates a planner that continues from its predecessor's plan, for a lease of `term`.
    pub fn with_plan(mut plan: Plan, term: u64) -> Self {
        plan.term = term;
        let splits = plan.steers.iter().map(|s| {
            let total = f64::from(WEIGHT_SUM);
            let split = s
                .weights
                .iter()
                .map(|w| (w.zone.clone(), f64::from(w.weight) / total));
            ((s.origin.clone(), s.service.clone()), split.collect())
        });
        Self {
            splits: splits.collect(),
            plan,
            moves: Vec::new(),
        }
    }

    /// Returns the latest plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Computes the next step and returns the plan to publish.
    pub fn step(&mut self, now: Instant, generation: Generation, view: &View) -> &Plan {
        self.moves.retain(|m| !m.is_fully_measured(now));
        let region = self.plan.region.clone();
        let own: Vec<(&ZoneService, &Demand)> = view
            .demands
            .iter()
            .filter(|(zone_service, _)| view.zones.get(&zone_service.0) == Some(&region))
            .collect();
        let mut headroom =
            Headroom::from_measurements(view, ZONE_UTILISATION_MAX, LINK_UTILISATION_MAX)
                .limited_to_claim(view, &region, CLAIM_FRACTION)
                .without_unmeasured(view, &self.moves);
        let targets = target::targets(&region, view, &own, &self.splits, headroom.clone());
        let mut steers = Vec::new();
        let mut basis = Basis::Measured;
        for (zone_service, demand) in own {
            let age = age_of(now, view, zone_service, demand);
            let current = self.split(zone_service);
            let result = match age {
                a if a > FALLBACK_AGE => {
                    basis = Basis::Fallback;
                    fallback(view, zone_service, demand)
                }
                a if a > HOLD_AGE => {
                    basis = basis_of_hold(basis);
                    hold(view, zone_service, &current)
                }
                _ => self.advance(
                    now,
                    view,
                    zone_service,
                    demand,
                    &targets[zone_service],
                    &mut headroom,
                ),
            };
            steers.extend(steer(zone_service, &result, age));
            self.splits.insert(zone_service.clone(), result.split);
        }
        self.plan.generation = generation;
        self.plan.number += 1;
        self.plan.basis = basis;
        self.plan.closed = closed(view);
        self.plan.steers = steers;
        &self.plan
    }

    /// Returns the current split of a zone's demand for a service. By default the zone
    /// serves all of it.
    fn split(&self, zone_service: &ZoneService) -> Split {
        let own = || Split::from_iter([(zone_service.0.clone(), 1.0)]);
        self.splits.get(zone_service).cloned().unwrap_or_else(own)
    }

    /// Moves one split towards its target as far as the headroom allows.
    fn advance(
        &mut self,
        now: Instant,
        view: &View,
        zone_service: &ZoneService,
        demand: &Demand,
        target: &target::Target,
        headroom: &mut Headroom,
    ) -> StepResult {
        let mut split = self.split(zone_service);
        let lost = drop_lost(view, zone_service, &mut split);
        let mut reason = StepReason::Settled;
        let mut moved = 0.0;
        let drain_fraction = step_fraction(view, zone_service, &split);
        for (zone, target_fraction) in &target.split {
            let gain = target_fraction - fraction_of(&split, zone);
            if gain < WEIGHT_CHANGE_MIN && lost <= 0.0 && drain_fraction.is_none() {
                continue;
            }
            let to = (zone.clone(), zone_service.1.clone());
            let same_region = view.link(&zone_service.0, zone).is_none();
            let step_fraction = match (lost > 0.0, drain_fraction) {
                (true, _) => 1.0,
                (false, Some(_)) if same_region => 1.0,
                (false, Some(step_fraction)) => step_fraction.max(STEP_FRACTION_OTHER_REGION),
                (false, None) if same_region => STEP_FRACTION_SAME_REGION,
                (false, None) => STEP_FRACTION_OTHER_REGION,
            };
            let slots = headroom.slots(&to) * step_fraction;
            let slot_limit = slots / demand.slots.max(f64::MIN_POSITIVE);
            let link_limit =
                headroom.link_fraction(view, &zone_service.0, zone, demand) * step_fraction;
            let fraction = gain.max(0.0).min(slot_limit).min(link_limit);
            reason = reason_of(
                gain,
                slot_limit,
                link_limit,
                self.has_unmeasured_move(&to),
                lost > 0.0,
            );
            if fraction <= 0.0 {
                continue;
            }
            let load = Load::fraction(demand, fraction);
            headroom.reserve(view, &zone_service.0, &to, load);
            self.moves.push(Move {
                at: now,
                origin: zone_service.0.clone(),
                to,
                load,
            });
            add(&mut split, zone, fraction);
            moved += fraction;
        }
        release(view, zone_service, target, &mut split, moved - lost);
        if target.has_shortfall {
            reason = StepReason::Short;
        }
        StepResult { split, reason }
    }

    fn has_unmeasured_move(&self, to: &ZoneService) -> bool {
        self.moves.iter().any(|m| m.to == *to)
    }
}

/// Returns the zones in which every service is draining or lost.
fn closed(view: &View) -> Vec<ZoneName> {
    let is_closed = |zone: &&ZoneName| {
        let mut own = view.capacities.iter().filter(|(p, _)| p.0 == **zone);
        own.all(|(_, c)| c.state != ServingState::Open)
    };
    view.zones.keys().filter(is_closed).cloned().collect()
}

/// Returns the age of the oldest measurement used for this demand's step.
fn age_of(now: Instant, view: &View, zone_service: &ZoneService, demand: &Demand) -> Duration {
    let own = view
        .capacities
        .get(zone_service)
        .map_or(demand.at, |c| c.at);
    now.saturating_duration_since(demand.at.min(own))
}

fn basis_of_hold(basis: Basis) -> Basis {
    match basis {
        Basis::Fallback => Basis::Fallback,
        Basis::Measured | Basis::Held => Basis::Held,
    }
}

/// Keeps a split unchanged, except that lost zones are removed.
fn hold(view: &View, zone_service: &ZoneService, current: &Split) -> StepResult {
    let mut split = current.clone();
    let lost = drop_lost(view, zone_service, &mut split);
    if lost > 0.0 {
        redistribute(&mut split, zone_service, lost);
    }
    StepResult {
        split,
        reason: StepReason::Stale,
    }
}

/// Redistributes a lost fraction over the remaining zones in proportion, or to the own
/// zone if there are none.
fn redistribute(split: &mut Split, zone_service: &ZoneService, lost: f64) {
    let assigned: f64 = split.iter().map(|(_, p)| p).sum();
    if assigned <= 0.0 {
        add(split, &zone_service.0, lost);
        return;
    }
    for (_, fraction) in split.iter_mut() {
        *fraction *= (assigned + lost) / assigned;
    }
}

/// Fills the region's open zones, nearest first, up to their last known capacity.
fn fallback(view: &View, zone_service: &ZoneService, demand: &Demand) -> StepResult {
    let mut split = Split::new();
    let mut remaining = 1.0;
    for zone in view.servers(&zone_service.0, &zone_service.1) {
        let c = &view.capacities[&(zone.clone(), zone_service.1.clone())];
        if c.state != ServingState::Open {
            continue;
        }
        let same_region = view.link(&zone_service.0, zone).is_none();
        let fraction =
            (c.usable * ZONE_UTILISATION_MAX / demand.slots.max(f64::MIN_POSITIVE)).min(remaining);
        if same_region && fraction > 0.0 {
            add(&mut split, zone, fraction);
            remaining -= fraction;
        }
    }
    if remaining > 0.0 {
        redistribute(&mut split, zone_service, remaining);
    }
    StepResult {
        split,
        reason: StepReason::Stale,
    }
}

/// Removes lost zones from a split; returns the sum of their fractions.
fn drop_lost(view: &View, zone_service: &ZoneService, split: &mut Split) -> f64 {
    let is_lost = |zone: &ZoneName| {
        let c = view.capacities.get(&(zone.clone(), zone_service.1.clone()));
        c.is_none_or(|c| c.state == ServingState::Lost)
    };
    let lost_fraction = split
        .iter()
        .filter(|(z, _)| is_lost(z))
        .map(|(_, p)| p)
        .sum();
    split.retain(|(z, _)| !is_lost(z));
    lost_fraction
}

/// Removes `fraction` from zones above their target, first from zones that are
/// not open, then by descending distance. A negative `fraction` is demand of
/// lost zones that no other zone had headroom for: it is redistributed over the
/// zones that remain in the split.
fn release(
    view: &View,
    zone_service: &ZoneService,
    target: &target::Target,
    split: &mut Split,
    fraction: f64,
) {
    if fraction < 0.0 {
        redistribute(split, zone_service, -fraction);
        return;
    }
    let mut remaining = fraction;
    let release_order = |z: &ZoneName| {
        let c = view.capacities.get(&(z.clone(), zone_service.1.clone()));
        let open = c.is_some_and(|c| c.state == ServingState::Open);
        (!open, view.delay(&zone_service.0, z))
    };
    split.sort_by_key(|(z, _)| std::cmp::Reverse(release_order(z)));
    for (zone, current) in split.iter_mut() {
        let excess = (*current - fraction_of(&target.split, zone))
            .max(0.0)
            .min(remaining);
        *current -= excess;
        remaining -= excess;
    }
    split.retain(|(_, p)| *p > 0.0);
}

/// Returns the fraction of the headroom that each step has to use so that the
/// drains of zones in this split end in time; `None` if no zone is draining.
fn step_fraction(view: &View, zone_service: &ZoneService, split: &Split) -> Option<f64> {
    let fractions = split.iter().filter_map(|(zone, _)| {
        let c = view
            .capacities
            .get(&(zone.clone(), zone_service.1.clone()))?;
        let ServingState::Draining(time_left) = c.state else {
            return None;
        };
        let steps = time_left.as_secs_f64() / PLAN_PERIOD.as_secs_f64();
        Some(1.0 / steps.max(1.0))
    });
    fractions.reduce(f64::max)
}

fn reason_of(
    gain: f64,
    slot_limit: f64,
    link_limit: f64,
    unmeasured: bool,
    lost: bool,
) -> StepReason {
    if gain <= slot_limit && gain <= link_limit {
        return if lost {
            StepReason::Lost
        } else {
            StepReason::Whole
        };
    }
    match (link_limit < slot_limit, unmeasured) {
        (_, true) => StepReason::Unseen,
        (true, false) => StepReason::LinkHeadroom,
        (false, false) => StepReason::TargetCapacity,
    }
}

fn fraction_of(split: &Split, zone: &ZoneName) -> f64 {
    let found = split.iter().find(|(z, _)| z == zone);
    found.map_or(0.0, |(_, p)| *p)
}

fn add(split: &mut Split, zone: &ZoneName, fraction: f64) {
    match split.iter_mut().find(|(z, _)| z == zone) {
        Some((_, p)) => *p += fraction,
        None => split.push((zone.clone(), fraction)),
    }
}

/// Converts a split to a plan entry; `None` if it is the default and needs none.
fn steer(zone_service: &ZoneService, result: &StepResult, age: Duration) -> Option<SteeringEntry> {
    let own = result.split.len() == 1 && result.split[0].0 == zone_service.0;
    if own && result.reason == StepReason::Settled {
        return None;
    }
    Some(SteeringEntry {
        origin: zone_service.0.clone(),
        service: zone_service.1.clone(),
        weights: weights(&result.split),
        reason: result.reason,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Rounds a split to weights that add up to [`WEIGHT_SUM`]; the largest weight gets
/// the remainder.
fn weights(split: &Split) -> smallvec::SmallVec<[ZoneWeight; 4]> {
    let total: f64 = split.iter().map(|(_, p)| p).sum();
    let mut weights: smallvec::SmallVec<[ZoneWeight; 4]> = split
        .iter()
        .map(|(zone, fraction)| ZoneWeight {
            zone: zone.clone(),
            weight: (fraction / total * f64::from(WEIGHT_SUM)) as u16,
        })
        .collect();
    let sum: u16 = weights.iter().map(|w| w.weight).sum();
    if let Some(largest) = weights.iter_mut().max_by_key(|w| w.weight) {
        largest.weight += WEIGHT_SUM - sum;
    }
    weights.retain(|w| w.weight > 0);
    weights
}
