//! The simulated scenarios and the routing policies.

use std::time::Duration;

use clap::ValueEnum;

use crate::policy::deployment::{
    DEMAND_SHARES,
    HOSTS_PER_ZONE,
    ORGANISATIONS,
    REGIONS,
    ZONES_PER_REGION,
    region_of, //
};

/// The time from the start to the fault or change in demand.
pub const FAULT_AT: Duration = Duration::from_secs(100);
/// The time from the start to the first measured request in scenarios without a fault.
const MEASURE_AT: Duration = Duration::from_secs(40);
/// The duration of request arrivals in a run.
const ARRIVALS: Duration = Duration::from_secs(280);
/// The duration of request arrivals in [`Scenario::StoreOut`].
const ARRIVALS_STORE_OUT: Duration = Duration::from_secs(760);
/// How long the store is unavailable.
const STORE_OUT_DURATION: Duration = Duration::from_secs(600);
/// How long a zone is cut off.
const CUT_DURATION: Duration = Duration::from_secs(90);
/// The index of the organisation that exceeds its rate in [`Scenario::Flood`].
const FLOODING_ORGANISATION: usize = 1;
/// The multiple of its usual short requests that the flooding organisation sends.
const FLOOD_FACTOR: f64 = 12.0;
/// The multiple of region 0's usual demand while measurements or the store are unavailable.
const SURGE_FACTOR: f64 = 1.6;
/// The fraction of an organisation's requests that go to one host in [`Scenario::Skew`].
pub const SKEW_FRACTION: f64 = 0.9;
/// The deadline of a planned drain.
pub const DRAIN_DEADLINE: Duration = Duration::from_secs(150);

/// The fault or change in demand that a run simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Scenario {
    /// Steady load without faults.
    Steady,
    /// One organisation sends several times its rate limit.
    Flood,
    /// All hosts and upstreams of a region fail.
    RegionLost,
    /// A zone is drained by a deadline.
    Drain,
    /// A region's short requests move to upstreams whose caches are cold for them.
    ColdShift,
    /// Planners get no more measurements while a region's demand grows.
    MeasurementsStop,
    /// Upstreams of a region falsely report that they are idle.
    FalseReports,
    /// The store is unavailable for ten minutes.
    StoreOut,
    /// A zone loses its connection to all other zones.
    ZoneCut,
    /// One host receives most of one organisation's requests.
    Skew,
}

/// How requests are routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Policy {
    /// By the library's routing decisions.
    Cardamomroad,
    /// To the nearest open zone.
    Nearest,
    /// To a random open zone.
    Even,
    /// To a random upstream, weighted by its reported free slots.
    Reported,
    /// By the library's routing decisions, with rate shares fixed and equal instead of lent.
    StaticShares,
}

impl Policy {
    /// Returns whether the library's decisions select zones and upstreams.
    pub fn uses_library(self) -> bool {
        matches!(self, Self::Cardamomroad | Self::StaticShares)
    }
}

impl Scenario {
    /// Returns the duration of request arrivals in the run.
    pub fn length(self) -> Duration {
        match self {
            Self::StoreOut => ARRIVALS_STORE_OUT,
            _ => ARRIVALS,
        }
    }

    /// Returns the time from the start to the first measured request: the time of
    /// the fault, if there is one.
    pub fn measure_at(self) -> Duration {
        match self {
            Self::Steady | Self::Skew => MEASURE_AT,
            _ => FAULT_AT,
        }
    }

    /// Returns whether the hosts and upstreams of a region have failed.
    pub fn is_lost(self, at: Duration, region: usize) -> bool {
        self == Self::RegionLost && region == 0 && at >= FAULT_AT
    }

    /// Returns whether the connection between two zones is cut.
    pub fn is_cut(self, at: Duration, a: usize, b: usize) -> bool {
        let cut = self == Self::ZoneCut && (FAULT_AT..FAULT_AT + CUT_DURATION).contains(&at);
        cut && a != b && (a == 0 || b == 0)
    }

    /// Returns whether a service is being drained in a zone.
    pub fn is_drained(self, at: Duration, zone: usize, service: usize) -> bool {
        match self {
            Self::Drain => zone == 0 && at >= FAULT_AT,
            Self::ColdShift => region_of(zone) == 0 && service == 0 && at >= FAULT_AT,
            _ => false,
        }
    }

    /// Returns whether a zone's entry hosts are leaving the fleet.
    pub fn is_leaving(self, at: Duration, zone: usize) -> bool {
        self == Self::Drain && zone == 0 && at >= FAULT_AT
    }

    /// Returns whether the store is available.
    pub fn has_store(self, at: Duration) -> bool {
        !(self == Self::StoreOut && (FAULT_AT..FAULT_AT + STORE_OUT_DURATION).contains(&at))
    }

    /// Returns whether measurements reach the planners.
    pub fn has_measurements(self, at: Duration) -> bool {
        !(self == Self::MeasurementsStop && at >= FAULT_AT)
    }

    /// Returns whether the upstreams of a zone falsely report that they are idle.
    pub fn reports_falsely(self, at: Duration, zone: usize) -> bool {
        self == Self::FalseReports && region_of(zone) == 0 && at >= FAULT_AT
    }

    /// Returns an organisation's demand from a region, as a fraction of the total
    /// steady demand.
    pub fn demand_share(
        self,
        at: Duration,
        service: usize,
        organisation: usize,
        region: usize,
    ) -> f64 {
        let fault = at >= FAULT_AT;
        let factor = match self {
            Self::Flood if fault && self.floods(organisation) && service == 0 => FLOOD_FACTOR,
            Self::MeasurementsStop | Self::StoreOut if fault && region == 0 => SURGE_FACTOR,
            _ => 1.0,
        };
        DEMAND_SHARES[organisation] / REGIONS as f64 * factor
    }

    /// Returns whether an organisation sends several times its rate limit.
    pub fn floods(self, organisation: usize) -> bool {
        self == Self::Flood && organisation == FLOODING_ORGANISATION
    }

    /// Returns the host that receives most of an organisation's requests, if there is one.
    pub fn pinned(self, organisation: usize) -> Option<usize> {
        (self == Self::Skew && organisation == 0).then_some(0)
    }

    /// Returns the indexes of a zone's hosts.
    pub fn hosts(zone: usize) -> std::ops::Range<usize> {
        zone * HOSTS_PER_ZONE..(zone + 1) * HOSTS_PER_ZONE
    }

    /// Returns the indexes of a region's zones.
    pub fn zones(region: usize) -> std::ops::Range<usize> {
        region * ZONES_PER_REGION..(region + 1) * ZONES_PER_REGION
    }
}

/// Returns the indexes of all organisations.
pub fn organisations() -> std::ops::Range<usize> {
    0..ORGANISATIONS
}
