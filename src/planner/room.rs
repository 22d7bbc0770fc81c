//! What is left in zones and on links for traffic to be moved.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use tokio::time::Instant;

use crate::{
    lookup::{
        OVERSTAY_TTLS,
        TTL,
        held, //
    },
    planner::{
        LINK_PART,
        ZONE_PART, //
        view::{
            Demand,
            Direction,
            Place,
            View, //
        },
    },
    util::id::{
        RegionName,
        ZoneName, //
    },
};

/// How long a plan takes to reach every gateway of its region.
pub const PLAN_SPREAD: Duration = Duration::from_secs(2);
/// The window over which gateways average what they measure.
const MEASURE_WINDOW: Duration = Duration::from_secs(5);

/// Traffic that an earlier step moved.
#[derive(Clone, Debug)]
pub struct Move {
    /// When the step was taken.
    pub at: Instant,
    /// Where the traffic enters.
    pub origin: ZoneName,
    /// Where it is to be served.
    pub to: Place,
    /// How much it is.
    pub load: Load,
}

/// An amount of traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Slots that it keeps busy.
    pub slots: f64,
    /// Bytes a second towards the upstreams.
    pub bytes_in: f64,
    /// Bytes a second back.
    pub bytes_out: f64,
}

impl Load {
    /// Returns a part of a demand.
    pub fn part(demand: &Demand, part: f64) -> Self {
        Self {
            slots: demand.slots * part,
            bytes_in: demand.bytes_in * part,
            bytes_out: demand.bytes_out * part,
        }
    }

    fn scaled(self, part: f64) -> Self {
        Self {
            slots: self.slots * part,
            bytes_in: self.bytes_in * part,
            bytes_out: self.bytes_out * part,
        }
    }
}

impl Move {
    /// Returns the part that a measurement of slots taken at `at` does not show
    /// yet: the plan spreads first, and then it fills the window of the measurement.
    pub fn unseen_slots(&self, at: Instant) -> f64 {
        let age = at.saturating_duration_since(self.at + PLAN_SPREAD);
        (1.0 - age.as_secs_f64() / MEASURE_WINDOW.as_secs_f64()).max(0.0)
    }

    /// Returns the part that may still come onto a link beyond what was
    /// measured at `at`: callers that hold an older answer follow when its time
    /// to live is over, and some keep it for longer.
    pub fn unseen_bytes(&self, at: Instant) -> f64 {
        let age = at.saturating_duration_since(self.at + PLAN_SPREAD + MEASURE_WINDOW);
        held(age, TTL)
    }

    /// Returns whether every measurement from `now` on shows it.
    pub fn is_seen(&self, now: Instant) -> bool {
        now >= self.at + PLAN_SPREAD + MEASURE_WINDOW + TTL * OVERSTAY_TTLS
    }
}

/// Slots left in zones and bytes a second left on links.
#[derive(Clone, Debug, Default)]
pub struct Room {
    slots: BTreeMap<Place, f64>,
    links: BTreeMap<Direction, f64>,
}

impl Room {
    /// Returns what is left under a part of all capacities, as they were measured.
    pub fn measured(view: &View, zone_part: f64, link_part: f64) -> Self {
        let slots = view
            .capacities
            .iter()
            .map(|(place, c)| (place.clone(), c.usable * zone_part - c.used));
        let links = view
            .links
            .iter()
            .map(|(direction, l)| (direction.clone(), l.cap * link_part - l.used));
        Self {
            slots: slots.collect(),
            links: links.collect(),
        }
    }

    /// Takes out what earlier steps moved and the measurements do not show yet.
    pub fn less_unseen(mut self, view: &View, moves: &[Move]) -> Self {
        for m in moves {
            let Some(c) = view.capacities.get(&m.to) else {
                continue;
            };
            let slots = m.load.slots * m.unseen_slots(c.at);
            *self.slots.entry(m.to.clone()).or_default() -= slots;
            let Some((there, _)) = view.link(&m.origin, &m.to.0) else {
                continue;
            };
            let Some(l) = view.links.get(&there) else {
                continue;
            };
            let bytes = m.load.scaled(m.unseen_bytes(l.at));
            self.take_link(view, &m.origin, &m.to.0, bytes);
        }
        self
    }

    /// Gives traffic back that the measurements include.
    pub fn give(&mut self, view: &View, origin: &ZoneName, to: &Place, load: Load) {
        self.take(view, origin, to, load.scaled(-1.0));
    }

    /// Takes traffic out.
    pub fn take(&mut self, view: &View, origin: &ZoneName, to: &Place, load: Load) {
        if let Some(slots) = self.slots.get_mut(to) {
            *slots -= load.slots;
        }
        self.take_link(view, origin, &to.0, load);
    }

    fn take_link(&mut self, view: &View, origin: &ZoneName, to: &ZoneName, load: Load) {
        let Some((there, back)) = view.link(origin, to) else {
            return;
        };
        if let Some(left) = self.links.get_mut(&there) {
            *left -= load.bytes_in;
        }
        if let Some(left) = self.links.get_mut(&back) {
            *left -= load.bytes_out;
        }
    }

    /// Returns the slots left in a place.
    pub fn slots(&self, place: &Place) -> f64 {
        self.slots.get(place).copied().unwrap_or(0.0).max(0.0)
    }

    /// Returns the part of a demand that the link from `origin` still takes.
    pub fn link_part(&self, view: &View, origin: &ZoneName, to: &ZoneName, demand: &Demand) -> f64 {
        let Some((there, back)) = view.link(origin, to) else {
            return 1.0;
        };
        let part = |direction: &Direction, bytes: f64| match bytes > 0.0 {
            true => self.links.get(direction).copied().unwrap_or(0.0).max(0.0) / bytes,
            false => 1.0,
        };
        part(&there, demand.bytes_in)
            .min(part(&back, demand.bytes_out))
            .min(1.0)
    }

    /// Keeps only a part of what is left in other regions and on links, because
    /// other planners may claim the rest at the same time.
    pub fn claimed(mut self, view: &View, own: &RegionName, part: f64) -> Self {
        for (place, left) in &mut self.slots {
            if view.zones.get(&place.0) != Some(own) {
                *left = left.max(0.0) * part;
            }
        }
        for left in self.links.values_mut() {
            *left = left.max(0.0) * part;
        }
        self
    }

    /// Bounds what is left by what zones and links can carry at all: in the own
    /// region all slots that other regions do not use.
    pub fn bounded(mut self, view: &View, own: &RegionName) -> Self {
        for (place, left) in &mut self.slots {
            let c = &view.capacities[place];
            if view.zones.get(&place.0) == Some(own) {
                *left = c.usable * ZONE_PART - c.foreign;
            }
            *left = left.min(c.usable * ZONE_PART);
        }
        for (direction, left) in &mut self.links {
            *left = left.min(view.links[direction].cap * LINK_PART);
        }
        self
    }
}
