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

/// The sum of the weights of one [`Steer`].
pub const WEIGHT_WHOLE: u16 = 1000;

/// The steering plan of one region: where the requests that enter in its zones are served.
///
/// A pair of zone and service that no entry names is served in its own zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The region whose traffic it steers.
    pub region: RegionName,
    /// The configuration that it was made by.
    pub generation: Generation,
    /// The planner's lease term; a plan of a lower term never replaces one of a higher.
    pub term: u64,
    /// Counts the plans of one term.
    pub number: u64,
    /// Whether it was made from fresh measurements.
    pub basis: Basis,
    /// Zones that drain or are lost: look-ups name their hosts last.
    pub closed: Vec<ZoneName>,
    /// One entry for each pair of zone and service whose weights differ from the default.
    pub steers: Vec<Steer>,
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

    /// Returns the entry of a zone and a service.
    pub fn steer(&self, origin: &ZoneName, service: &ServiceName) -> Option<&Steer> {
        self.steers
            .iter()
            .find(|s| s.origin == *origin && s.service == *service)
    }

    /// Returns whether this plan may replace `old`.
    pub fn supersedes(&self, old: &Self) -> bool {
        (self.term, self.number) > (old.term, old.number)
    }
}

/// What a plan rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Basis {
    /// All measurements were young enough.
    Measured,
    /// Measurements were too old; the previous plan is held.
    Held,
    /// Measurements were missing for so long that traffic falls back to the
    /// nearest zones within their known capacity.
    Fallback,
}

/// The weights of one service for the requests that enter in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Steer {
    /// The zone where the requests enter.
    pub origin: ZoneName,
    /// The service.
    pub service: ServiceName,
    /// The serving zones; the weights add up to [`WEIGHT_WHOLE`].
    pub weights: SmallVec<[ZoneWeight; 4]>,
    /// Why the weights are as they are.
    pub reason: StepReason,
    /// The age of the oldest measurement used, in milliseconds.
    pub age_ms: u64,
}

/// The weight of one serving zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneWeight {
    /// The serving zone.
    pub zone: ZoneName,
    /// Its part of [`WEIGHT_WHOLE`].
    pub weight: u16,
}

/// Why a planner's step is as large as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepReason {
    /// The weights are where they should be.
    Settled,
    /// The whole step to the target was taken.
    Whole,
    /// The link's headroom limited the step.
    LinkHeadroom,
    /// The target's capacity or warm-up limited the step.
    TargetCapacity,
    /// Traffic of earlier steps that has not arrived yet limited the step.
    Unseen,
    /// Measurements are too old for any step.
    Stale,
    /// A serving zone is lost, so its traffic moved at once within known capacity.
    Lost,
    /// No zone has room; the excess will be refused with a time to come back.
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
