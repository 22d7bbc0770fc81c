//! A planner's input: measurements, each with the instant it was taken.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use tokio::time::Instant;

use crate::util::id::{
    RegionName,
    ServiceName,
    ZoneName, //
};

/// A zone in which requests enter or are served, and their service.
pub type ZoneService = (ZoneName, ServiceName);

/// One direction of a link: the sending and the receiving region.
pub type Direction = (RegionName, RegionName);

/// All input of one planning step.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The region of each zone.
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// The demand that enters in each zone, for each service.
    pub demands: BTreeMap<ZoneService, Demand>,
    /// The capacity of each zone, for each service.
    pub capacities: BTreeMap<ZoneService, Capacity>,
    /// The load of each direction of the links between regions.
    pub links: BTreeMap<Direction, LinkLoad>,
}

/// The traffic that enters in one zone for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Slots that the requests use, on average.
    pub slots: f64,
    /// Bytes per second towards the upstreams.
    pub bytes_in: f64,
    /// Bytes per second back to the callers.
    pub bytes_out: f64,
    /// When the demand was measured; the earliest time if it is a sum over several hosts.
    pub at: Instant,
}

/// The capacity of one zone for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Slots of working upstreams, reduced for those that are still warming up.
    pub usable: f64,
    /// Slots in use, by the gateways' own counts.
    pub used: f64,
    /// Slots in use by requests that entered in other regions.
    pub used_by_other_regions: f64,
    /// Whether the zone accepts traffic.
    pub state: ServingState,
    /// When the capacity was measured; the earliest time if it is a sum over several hosts.
    pub at: Instant,
}

/// Whether a zone accepts traffic for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// It accepts traffic.
    Open,
    /// It is being drained; new requests should have stopped after this time.
    Draining(Duration),
    /// It is down or unreachable.
    Lost,
}

/// The load of one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkLoad {
    /// The configured cap, in bytes per second.
    pub cap: f64,
    /// The load over the busiest recent part of a minute, in bytes per second.
    pub used: f64,
    /// The one-way delay of the link.
    pub delay: Duration,
    /// When the load was measured.
    pub at: Instant,
}

impl View {
    /// Returns the one-way delay between two zones; `None` if their regions have no link.
    pub fn delay(&self, from: &ZoneName, to: &ZoneName) -> Option<Duration> {
        let (a, b) = (self.zones.get(from)?, self.zones.get(to)?);
        if from == to {
            return Some(Duration::ZERO);
        }
        if a == b {
            return Some(ZONE_DELAY);
        }
        self.links.get(&(a.clone(), b.clone())).map(|l| l.delay)
    }

    /// Returns the link between two zones' regions as its forward and its reverse direction;
    /// `None` within a region.
    pub fn link(&self, from: &ZoneName, to: &ZoneName) -> Option<(Direction, Direction)> {
        let (a, b) = (self.zones.get(from)?, self.zones.get(to)?);
        if a == b {
            return None;
        }
        Some(((a.clone(), b.clone()), (b.clone(), a.clone())))
    }

    /// Returns the reachable zones with capacity for a service, nearest to `origin` first.
    pub fn servers(&self, origin: &ZoneName, service: &ServiceName) -> Vec<&ZoneName> {
        let mut zones: Vec<_> = self
            .zones
            .keys()
            .filter(|z| {
                self.capacities
                    .contains_key(&((*z).clone(), service.clone()))
            })
            .filter_map(|z| Some((self.delay(origin, z)?, z)))
            .collect();
        zones.sort();
        zones.into_iter().map(|(_, z)| z).collect()
    }
}

/// The assumed one-way delay between two zones of a region.
const ZONE_DELAY: Duration = Duration::from_millis(1);
