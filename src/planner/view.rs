//! What a planner knows: measurements, each with the instant it was taken.

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

/// A zone and a service: where requests enter, or where they are served.
pub type Place = (ZoneName, ServiceName);

/// The sending and the receiving region of a link.
pub type Direction = (RegionName, RegionName);

/// All that a planner knows at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The region of each zone.
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// The requests that enter in each zone, for each service.
    pub demands: BTreeMap<Place, Demand>,
    /// What each zone can serve, for each service.
    pub capacities: BTreeMap<Place, Capacity>,
    /// The links between regions.
    pub links: BTreeMap<Direction, LinkLoad>,
}

/// Requests that enter in one zone for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Slots that they keep busy, on average.
    pub slots: f64,
    /// Bytes a second towards the upstreams.
    pub bytes_in: f64,
    /// Bytes a second back to the callers.
    pub bytes_out: f64,
    /// When it was measured.
    pub at: Instant,
}

/// What one zone can serve of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Slots that are usable now: of upstreams that work, scaled by their warm-up.
    pub usable: f64,
    /// Slots busy, by the gateways' own counts.
    pub used: f64,
    /// Slots busy with requests that entered in other regions.
    pub foreign: f64,
    /// Whether the zone may serve.
    pub standing: Standing,
    /// When it was measured.
    pub at: Instant,
}

/// Whether a zone may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    Open,
    /// It is being drained; new work should have ended after this time.
    Draining(Duration),
    /// It is lost or cut off.
    Lost,
}

/// The load of one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkLoad {
    /// Bytes a second that its cap allows.
    pub cap: f64,
    /// Bytes a second over the busiest recent part of a minute.
    pub used: f64,
    /// The one-way delay.
    pub delay: Duration,
    /// When it was measured.
    pub at: Instant,
}

impl View {
    /// Returns the one-way delay between two zones, `None` where no link leads there.
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

    /// Returns the two directions of the link between two zones, or `None` within a region.
    pub fn link(&self, from: &ZoneName, to: &ZoneName) -> Option<(Direction, Direction)> {
        let (a, b) = (self.zones.get(from)?, self.zones.get(to)?);
        if a == b {
            return None;
        }
        Some(((a.clone(), b.clone()), (b.clone(), a.clone())))
    }

    /// Returns the zones that can serve what enters in `origin`, nearest first.
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

/// The one-way delay between two zones of a region.
const ZONE_DELAY: Duration = Duration::from_millis(1);
