//! The headroom in zones and on links for traffic that a plan moves.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use tokio::time::Instant;

use crate::{
    lookup::{
        OVERSTAY_TTLS,
        TTL,
        cached_fraction, //
    },
    planner::{
        LINK_UTILISATION_MAX,
        ZONE_UTILISATION_MAX, //
        view::{
            Demand,
            Direction,
            View, //
            ZoneService,
        },
    },
    util::id::{
        RegionName,
        ZoneName, //
    },
};

/// The time that a plan takes to reach every gateway of its region.
pub const PLAN_PROPAGATION: Duration = Duration::from_secs(2);
/// The window over which gateways average their measurements.
const MEASURE_WINDOW: Duration = Duration::from_secs(5);

/// Traffic that an earlier step moved to another zone.
#[derive(Clone, Debug)]
pub struct Move {
    /// When the planner computed the step.
    pub at: Instant,
    /// The zone in which the traffic enters.
    pub origin: ZoneName,
    /// The zone that is to serve it, and the service.
    pub to: ZoneService,
    /// The amount of traffic.
    pub load: Load,
}

/// An amount of traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Slots in use, on average.
    pub slots: f64,
    /// Bytes per second towards the upstreams.
    pub bytes_in: f64,
    /// Bytes per second back to the callers.
    pub bytes_out: f64,
}

impl Load {
    /// Returns the load of a fraction of a demand.
    pub fn fraction(demand: &Demand, fraction: f64) -> Self {
        Self {
            slots: demand.slots * fraction,
            bytes_in: demand.bytes_in * fraction,
            bytes_out: demand.bytes_out * fraction,
        }
    }

    fn scaled(self, fraction: f64) -> Self {
        Self {
            slots: self.slots * fraction,
            bytes_in: self.bytes_in * fraction,
            bytes_out: self.bytes_out * fraction,
        }
    }
}

impl Move {
    /// Returns the fraction of the move that a slot measurement taken at `at`
    /// does not show yet. The move is invisible while the plan propagates, and
    /// then appears linearly over the measurement window.
    pub fn unmeasured_slots(&self, at: Instant) -> f64 {
        let age = at.saturating_duration_since(self.at + PLAN_PROPAGATION);
        (1.0 - age.as_secs_f64() / MEASURE_WINDOW.as_secs_f64()).max(0.0)
    }

    /// Returns the fraction of the move that may still be added to a link after
    /// a measurement taken at `at`. Callers with a cached answer follow when its
    /// time to live expires, and some keep it longer.
    pub fn unmeasured_bytes(&self, at: Instant) -> f64 {
        let age = at.saturating_duration_since(self.at + PLAN_PROPAGATION + MEASURE_WINDOW);
        cached_fraction(age, TTL)
    }

    /// Returns whether measurements taken at or after `now` show the whole move.
    pub fn is_fully_measured(&self, now: Instant) -> bool {
        now >= self.at + PLAN_PROPAGATION + MEASURE_WINDOW + TTL * OVERSTAY_TTLS
    }
}

/// Free slots in zones and free bytes per second on links; negative where overbooked.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    slots: BTreeMap<ZoneService, f64>,
    links: BTreeMap<Direction, f64>,
}

impl Headroom {
    /// Computes the headroom below the given maximum utilisation of zones and links.
    pub fn from_measurements(view: &View, zone_utilisation: f64, link_utilisation: f64) -> Self {
        let slots = view
            .capacities
            .iter()
            .map(|(zone_service, c)| (zone_service.clone(), c.usable * zone_utilisation - c.used));
        let links = view
            .links
            .iter()
            .map(|(direction, l)| (direction.clone(), l.cap * link_utilisation - l.used));
        Self {
            slots: slots.collect(),
            links: links.collect(),
        }
    }

    /// Subtracts the traffic of earlier moves that the measurements do not show yet.
    pub fn without_unmeasured(mut self, view: &View, moves: &[Move]) -> Self {
        for m in moves {
            let Some(c) = view.capacities.get(&m.to) else {
                continue;
            };
            let slots = m.load.slots * m.unmeasured_slots(c.at);
            *self.slots.entry(m.to.clone()).or_default() -= slots;
            let Some((forward, _)) = view.link(&m.origin, &m.to.0) else {
                continue;
            };
            let Some(l) = view.links.get(&forward) else {
                continue;
            };
            let bytes = m.load.scaled(m.unmeasured_bytes(l.at));
            self.reserve_link(view, &m.origin, &m.to.0, bytes);
        }
        self
    }

    /// Adds back traffic that the measurements include.
    pub fn release(&mut self, view: &View, origin: &ZoneName, to: &ZoneService, load: Load) {
        self.reserve(view, origin, to, load.scaled(-1.0));
    }

    /// Subtracts traffic from the serving zone's slots and from the link to it.
    pub fn reserve(&mut self, view: &View, origin: &ZoneName, to: &ZoneService, load: Load) {
        if let Some(slots) = self.slots.get_mut(to) {
            *slots -= load.slots;
        }
        self.reserve_link(view, origin, &to.0, load);
    }

    fn reserve_link(&mut self, view: &View, origin: &ZoneName, to: &ZoneName, load: Load) {
        let Some((forward, reverse)) = view.link(origin, to) else {
            return;
        };
        if let Some(free) = self.links.get_mut(&forward) {
            *free -= load.bytes_in;
        }
        if let Some(free) = self.links.get_mut(&reverse) {
            *free -= load.bytes_out;
        }
    }

    /// Returns the free slots of a service in a zone, 0 if overbooked or unknown.
    pub fn slots(&self, zone_service: &ZoneService) -> f64 {
        self.slots
            .get(zone_service)
            .copied()
            .unwrap_or(0.0)
            .max(0.0)
    }

    /// Returns the fraction of a demand that fits on the link between two zones; 1 within a region.
    pub fn link_fraction(
        &self,
        view: &View,
        origin: &ZoneName,
        to: &ZoneName,
        demand: &Demand,
    ) -> f64 {
        let Some((forward, reverse)) = view.link(origin, to) else {
            return 1.0;
        };
        let fraction = |direction: &Direction, bytes: f64| match bytes > 0.0 {
            true => self.links.get(direction).copied().unwrap_or(0.0).max(0.0) / bytes,
            false => 1.0,
        };
        fraction(&forward, demand.bytes_in)
            .min(fraction(&reverse, demand.bytes_out))
            .min(1.0)
    }

    /// Limits the headroom in other regions and on links to a fraction, because
    /// other planners may use the rest at the same time.
    pub fn limited_to_claim(mut self, view: &View, own: &RegionName, fraction: f64) -> Self {
        for (zone_service, free) in &mut self.slots {
            if view.zones.get(&zone_service.0) != Some(own) {
                *free = free.max(0.0) * fraction;
            }
        }
        for free in self.links.values_mut() {
            *free = free.max(0.0) * fraction;
        }
        self
    }

    /// Limits the headroom to the maximum utilisation of zones and links. In the
    /// own region it is set to that maximum less the slots that other regions use.
    pub fn bounded_by_capacity(mut self, view: &View, own: &RegionName) -> Self {
        for (zone_service, free) in &mut self.slots {
            let c = &view.capacities[zone_service];
            if view.zones.get(&zone_service.0) == Some(own) {
                *free = c.usable * ZONE_UTILISATION_MAX - c.used_by_other_regions;
            }
            *free = free.min(c.usable * ZONE_UTILISATION_MAX);
        }
        for (direction, free) in &mut self.links {
            *free = free.min(view.links[direction].cap * LINK_UTILISATION_MAX);
        }
        self
    }
}
