//! A region's planner: turns measurements, drains and caps into the next plan.
//!
//! A plan says where the requests that enter in the region's zones are served.
//! It moves towards a target in steps: never more than the link's headroom, the
//! target zone's warm capacity and the traffic of earlier steps that has not
//! arrived yet leave room for.

pub mod room;
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
        Steer,
        StepReason,
        WEIGHT_WHOLE,
        ZoneWeight, //
    },
    planner::{
        room::{
            Load,
            Move,
            Room, //
        },
        target::Split,
        view::{
            Demand,
            Place,
            Standing,
            View, //
        },
    },
    util::id::{
        Generation,
        RegionName,
        ZoneName, //
    },
};

/// The age of a measurement beyond which no step rests on it.
pub const HOLD_AGE: Duration = Duration::from_secs(15);
/// The age beyond which traffic falls back to the nearest zones.
pub const FALLBACK_AGE: Duration = Duration::from_secs(60);
/// The time between two plans.
pub const PLAN_PERIOD: Duration = Duration::from_secs(5);
/// The part of a zone's slots that a plan fills.
pub const ZONE_PART: f64 = 0.85;
/// The part of a link's cap that a plan fills.
pub const LINK_PART: f64 = 0.85;
/// The part of the room left in the own region that one step takes.
const STEP_PART_NEAR: f64 = 0.5;
/// The part of the room left in another region, whose caches are cold, that one step takes.
const STEP_PART_FAR: f64 = 0.25;
/// Changes of a weight below this are not worth a step.
const CHANGE_MIN: f64 = 0.02;
/// The part of the room in other regions that one planner claims.
const CLAIM_PART: f64 = 0.5;

/// A region's planner.
#[derive(Clone, Debug)]
pub struct Planner {
    plan: Plan,
    splits: BTreeMap<Place, Split>,
    moves: Vec<Move>,
}

/// What one demand's step came to.
struct Stepped {
    split: Split,
    reason: StepReason,
}

impl Planner {
    /// Creates a planner that holds a lease of `term`, without a plan.
    pub fn new(region: RegionName, generation: Generation, term: u64) -> Self {
        Self::with_plan(Plan::new(region, generation, term), term)
    }

    /// Creates a planner that goes on from its predecessor's plan.
    pub fn with_plan(mut plan: Plan, term: u64) -> Self {
        plan.term = term;
        let splits = plan.steers.iter().map(|s| {
            let whole = f64::from(WEIGHT_WHOLE);
            let split = s
                .weights
                .iter()
                .map(|w| (w.zone.clone(), f64::from(w.weight) / whole));
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

    /// Takes the next step and returns the plan to publish.
    pub fn step(&mut self, now: Instant, generation: Generation, view: &View) -> &Plan {
        self.moves.retain(|m| !m.is_seen(now));
        let region = self.plan.region.clone();
        let own: Vec<(&Place, &Demand)> = view
            .demands
            .iter()
            .filter(|(place, _)| view.zones.get(&place.0) == Some(&region))
            .collect();
        let mut room = Room::measured(view, ZONE_PART, LINK_PART)
            .claimed(view, &region, CLAIM_PART)
            .less_unseen(view, &self.moves);
        let targets = target::targets(&region, view, &own, &self.splits, room.clone());
        let mut steers = Vec::new();
        let mut basis = Basis::Measured;
        for (place, demand) in own {
            let age = age_of(now, view, place, demand);
            let current = self.split(place);
            let stepped = match age {
                a if a > FALLBACK_AGE => {
                    basis = Basis::Fallback;
                    fallback(view, place, demand)
                }
                a if a > HOLD_AGE => {
                    basis = basis_of_hold(basis);
                    hold(view, place, &current)
                }
                _ => self.advance(now, view, place, demand, &targets[place], &mut room),
            };
            steers.extend(steer(place, &stepped, age));
            self.splits.insert(place.clone(), stepped.split);
        }
        self.plan.generation = generation;
        self.plan.number += 1;
        self.plan.basis = basis;
        self.plan.closed = closed(view);
        self.plan.steers = steers;
        &self.plan
    }

    /// Returns the present split of what enters in a place; all to the own zone by default.
    fn split(&self, place: &Place) -> Split {
        let own = || Split::from_iter([(place.0.clone(), 1.0)]);
        self.splits.get(place).cloned().unwrap_or_else(own)
    }

    /// Moves one split towards its target as far as there is room.
    fn advance(
        &mut self,
        now: Instant,
        view: &View,
        place: &Place,
        demand: &Demand,
        target: &target::Target,
        room: &mut Room,
    ) -> Stepped {
        let mut split = self.split(place);
        let forced = drop_lost(view, place, &mut split);
        let mut reason = StepReason::Settled;
        let mut moved = 0.0;
        let drained = haste(view, place, &split);
        for (zone, want) in &target.split {
            let gain = want - part_of(&split, zone);
            if gain < CHANGE_MIN && forced <= 0.0 && drained.is_none() {
                continue;
            }
            let to = (zone.clone(), place.1.clone());
            let near = view.link(&place.0, zone).is_none();
            let haste = match (forced > 0.0, drained) {
                (true, _) => 1.0,
                (false, Some(_)) if near => 1.0,
                (false, Some(haste)) => haste.max(STEP_PART_FAR),
                (false, None) if near => STEP_PART_NEAR,
                (false, None) => STEP_PART_FAR,
            };
            let slots = room.slots(&to) * haste;
            let by_slots = slots / demand.slots.max(f64::MIN_POSITIVE);
            let by_link = room.link_part(view, &place.0, zone, demand) * haste;
            let part = gain.max(0.0).min(by_slots).min(by_link);
            reason = reason_of(gain, by_slots, by_link, self.has_unseen(&to), forced > 0.0);
            if part <= 0.0 {
                continue;
            }
            let load = Load::part(demand, part);
            room.take(view, &place.0, &to, load);
            self.moves.push(Move {
                at: now,
                origin: place.0.clone(),
                to,
                load,
            });
            add(&mut split, zone, part);
            moved += part;
        }
        release(view, place, target, &mut split, moved - forced);
        if target.short {
            reason = StepReason::Short;
        }
        Stepped { split, reason }
    }

    fn has_unseen(&self, to: &Place) -> bool {
        self.moves.iter().any(|m| m.to == *to)
    }
}

/// Returns the zones that drain or are lost for all their services.
fn closed(view: &View) -> Vec<ZoneName> {
    let shut = |zone: &&ZoneName| {
        let mut own = view.capacities.iter().filter(|(p, _)| p.0 == **zone);
        own.all(|(_, c)| c.standing != Standing::Open)
    };
    view.zones.keys().filter(shut).cloned().collect()
}

/// Returns the age of the oldest measurement that a step for this demand rests on.
fn age_of(now: Instant, view: &View, place: &Place, demand: &Demand) -> Duration {
    let own = view.capacities.get(place).map_or(demand.at, |c| c.at);
    now.saturating_duration_since(demand.at.min(own))
}

fn basis_of_hold(basis: Basis) -> Basis {
    match basis {
        Basis::Fallback => Basis::Fallback,
        Basis::Measured | Basis::Held => Basis::Held,
    }
}

/// Keeps a split as it is, but for zones that are lost.
fn hold(view: &View, place: &Place, current: &Split) -> Stepped {
    let mut split = current.clone();
    let lost = drop_lost(view, place, &mut split);
    if lost > 0.0 {
        spread(&mut split, place, lost);
    }
    Stepped {
        split,
        reason: StepReason::Stale,
    }
}

/// Spreads a lost part over the zones that already serve, or gives it to the own zone.
fn spread(split: &mut Split, place: &Place, lost: f64) {
    let left: f64 = split.iter().map(|(_, p)| p).sum();
    if left <= 0.0 {
        add(split, &place.0, lost);
        return;
    }
    for (_, part) in split.iter_mut() {
        *part *= (left + lost) / left;
    }
}

/// Fills the nearest zones up to their known capacity.
fn fallback(view: &View, place: &Place, demand: &Demand) -> Stepped {
    let mut split = Split::new();
    let mut rest = 1.0;
    for zone in view.servers(&place.0, &place.1) {
        let c = &view.capacities[&(zone.clone(), place.1.clone())];
        if c.standing != Standing::Open {
            continue;
        }
        let near = view.link(&place.0, zone).is_none();
        let part = (c.usable * ZONE_PART / demand.slots.max(f64::MIN_POSITIVE)).min(rest);
        if near && part > 0.0 {
            add(&mut split, zone, part);
            rest -= part;
        }
    }
    if rest > 0.0 {
        spread(&mut split, place, rest);
    }
    Stepped {
        split,
        reason: StepReason::Stale,
    }
}

/// Takes lost zones out of a split; returns the part that they had.
fn drop_lost(view: &View, place: &Place, split: &mut Split) -> f64 {
    let lost = |zone: &ZoneName| {
        let c = view.capacities.get(&(zone.clone(), place.1.clone()));
        c.is_none_or(|c| c.standing == Standing::Lost)
    };
    let gone = split.iter().filter(|(z, _)| lost(z)).map(|(_, p)| p).sum();
    split.retain(|(z, _)| !lost(z));
    gone
}

/// Takes `part` out of the zones that have more than their target, those that
/// drain and the farthest first. A negative `part` is what lost zones left
/// without a place: it stays with the zones that serve.
fn release(view: &View, place: &Place, target: &target::Target, split: &mut Split, part: f64) {
    if part < 0.0 {
        spread(split, place, -part);
        return;
    }
    let mut rest = part;
    let far = |z: &ZoneName| {
        let c = view.capacities.get(&(z.clone(), place.1.clone()));
        let open = c.is_some_and(|c| c.standing == Standing::Open);
        (!open, view.delay(&place.0, z))
    };
    split.sort_by_key(|(z, _)| std::cmp::Reverse(far(z)));
    for (zone, have) in split.iter_mut() {
        let over = (*have - part_of(&target.split, zone)).max(0.0).min(rest);
        *have -= over;
        rest -= over;
    }
    split.retain(|(_, p)| *p > 0.0);
}

/// Returns the part of the room that each step has to take so that a drain of
/// a zone that serves this place ends in time; `None` where none drains.
fn haste(view: &View, place: &Place, split: &Split) -> Option<f64> {
    let parts = split.iter().filter_map(|(zone, _)| {
        let c = view.capacities.get(&(zone.clone(), place.1.clone()))?;
        let Standing::Draining(left) = c.standing else {
            return None;
        };
        let steps = left.as_secs_f64() / PLAN_PERIOD.as_secs_f64();
        Some(1.0 / steps.max(1.0))
    });
    parts.reduce(f64::max)
}

fn reason_of(gain: f64, by_slots: f64, by_link: f64, unseen: bool, forced: bool) -> StepReason {
    if gain <= by_slots && gain <= by_link {
        return if forced {
            StepReason::Lost
        } else {
            StepReason::Whole
        };
    }
    match (by_link < by_slots, unseen) {
        (_, true) => StepReason::Unseen,
        (true, false) => StepReason::LinkHeadroom,
        (false, false) => StepReason::TargetCapacity,
    }
}

fn part_of(split: &Split, zone: &ZoneName) -> f64 {
    let found = split.iter().find(|(z, _)| z == zone);
    found.map_or(0.0, |(_, p)| *p)
}

fn add(split: &mut Split, zone: &ZoneName, part: f64) {
    match split.iter_mut().find(|(z, _)| z == zone) {
        Some((_, p)) => *p += part,
        None => split.push((zone.clone(), part)),
    }
}

/// Writes a split as weights; `None` where it is the default.
fn steer(place: &Place, stepped: &Stepped, age: Duration) -> Option<Steer> {
    let own = stepped.split.len() == 1 && stepped.split[0].0 == place.0;
    if own && stepped.reason == StepReason::Settled {
        return None;
    }
    Some(Steer {
        origin: place.0.clone(),
        service: place.1.clone(),
        weights: weights(&stepped.split),
        reason: stepped.reason,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Rounds a split to weights whose sum is [`WEIGHT_WHOLE`]; the largest takes the rest.
fn weights(split: &Split) -> smallvec::SmallVec<[ZoneWeight; 4]> {
    let whole: f64 = split.iter().map(|(_, p)| p).sum();
    let mut weights: smallvec::SmallVec<[ZoneWeight; 4]> = split
        .iter()
        .map(|(zone, part)| ZoneWeight {
            zone: zone.clone(),
            weight: (part / whole * f64::from(WEIGHT_WHOLE)) as u16,
        })
        .collect();
    let sum: u16 = weights.iter().map(|w| w.weight).sum();
    if let Some(largest) = weights.iter_mut().max_by_key(|w| w.weight) {
        largest.weight += WEIGHT_WHOLE - sum;
    }
    weights.retain(|w| w.weight > 0);
    weights
}
