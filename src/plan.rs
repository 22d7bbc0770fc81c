//! The steering plan that a region's planner publishes.

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

use crate::util::id::{
    Generation,
    RegionName,
    ServiceName,
    ZoneName, //
};

/// The sum of the weights of one [`SteeringEntry`].
pub const WEIGHT_SUM: u16 = 1000;

/// The steering plan of one region: where the requests that enter in its zones are served.
///
/// Without an entry for a zone and service, requests are served in the zone they enter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The region whose incoming traffic the plan steers.
    pub region: RegionName,
    /// The configuration generation that the plan was computed from.
    pub generation: Generation,
    /// The planner's lease term; a plan never replaces one with a higher term.
    pub term: u64,
    /// The sequence number of the plan within its term.
    pub number: u64,
    /// Whether the plan was computed from recent measurements.
    pub basis: Basis,
    /// Zones that are draining or lost; look-up answers list their hosts last.
    pub closed: Vec<ZoneName>,
    /// One entry for each pair of zone and service whose weights differ from the default.
    pub steers: Vec<SteeringEntry>,
}

impl Plan {
    /// Returns an empty plan: each zone serves its own traffic.
    pub fn new(region: RegionName, generation: Generation, term: u64) -> Self {
        Self {
            region,
            generation,
            term,
            number: 0,
            basis: Basis::Measured,
            closed: Vec::new(),
            steers: Vec::new(),
        }
    }

    /// Returns the entry for requests that enter in `origin` for `service`.
    pub fn steer(&self, origin: &ZoneName, service: &ServiceName) -> Option<&SteeringEntry> {
        self.steers
            .iter()
            .find(|s| s.origin == *origin && s.service == *service)
    }

    /// Returns whether this plan may replace `old`.
    pub fn supersedes(&self, old: &Self) -> bool {
        (self.term, self.number) > (old.term, old.number)
    }
}

/// The kind of measurements that a plan is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Basis {
    /// All measurements were recent enough.
    Measured,
    /// Some measurements were too old; those entries keep their previous weights.
    Held,
    /// Some measurements were missing for so long that traffic falls back to the
    /// nearest zones within their last known capacity.
    Fallback,
}

/// The weights of the serving zones, for requests of one service that enter in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SteeringEntry {
    /// The zone in which the requests enter.
    pub origin: ZoneName,
    /// The service that the requests call.
    pub service: ServiceName,
    /// The serving zones, whose weights add up to [`WEIGHT_SUM`].
    pub weights: SmallVec<[ZoneWeight; 4]>,
    /// The reason for the size of the latest step.
    pub reason: StepReason,
    /// The age of the oldest measurement used, in milliseconds.
    pub age_ms: u64,
}

/// One serving zone and its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneWeight {
    /// The zone that serves the requests.
    pub zone: ZoneName,
    /// The zone's weight, out of [`WEIGHT_SUM`].
    pub weight: u16,
}

/// The reason for the size of a planner's step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepReason {
    /// The weights match the target.
    Settled,
    /// The whole step to the target was taken.
    Whole,
    /// The link's headroom limited the step.
    LinkHeadroom,
    /// The target's capacity or warm-up limited the step.
    TargetCapacity,
    /// Traffic of earlier steps that measurements do not show yet limited the step.
    Unseen,
    /// Measurements were too old for a step.
    Stale,
    /// A serving zone is lost; its traffic was moved at once, within known capacity.
    Lost,
    /// No zone has capacity for the rest, which is refused with a retry delay.
    Short,
}

impl std::fmt::Display for StepReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Settled => "the weights are where they should be",
            Self::Whole => "the whole step was taken",
            Self::LinkHeadroom => "the link's headroom limits the step",
            Self::TargetCapacity => "the target's capacity or warm-up limits the step",
            Self::Unseen => "traffic of earlier steps has not arrived yet",
            Self::Stale => "measurements are too old for a step",
            Self::Lost => "a serving zone is lost",
            Self::Short => "no zone has room for the rest",
        })
    }
}
