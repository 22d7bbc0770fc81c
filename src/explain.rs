//! Typed accounts of decisions: what was decided, from which measurement, how
//! old it was, and by which generation.

pub mod journal;
pub mod story;

use std::{
    fmt,
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

use crate::{
    plan::SteeringEntry,
    refusal::{
        Outcome,
        Reason, //
    },
    util::{
        id::{
            Generation,
            HostName,
            ObjectName,
            OrganisationName,
            RegionName,
            RequestId,
            ServiceName,
            ZoneName, //
        },
        units::ByteSize,
    },
};

/// What a measurement is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// The requests that this host has in flight at an upstream.
    InFlight(SocketAddr),
    /// An upstream's own load report.
    Load(SocketAddr),
    /// An upstream's own health report.
    Health(SocketAddr),
    /// The outcomes that this host saw of an upstream.
    Outcomes(SocketAddr),
    /// The free slots of a service in a zone.
    FreeSlots(ZoneName),
    /// The bytes of the current minute on a link.
    LinkBytes(ObjectName),
    /// This host's share of an organisation's rate.
    Share(OrganisationName),
    /// The last heartbeat of an entry host.
    Heartbeat(HostName),
    /// The last news of keys.
    Keys,
    /// The region's steering plan.
    Plan(RegionName),
    /// The client's block.
    ClientBlock,
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InFlight(upstream) => write!(f, "requests in flight at {upstream}"),
            Self::Load(upstream) => write!(f, "load report of {upstream}"),
            Self::Health(upstream) => write!(f, "health report of {upstream}"),
            Self::Outcomes(upstream) => write!(f, "outcomes at {upstream}"),
            Self::FreeSlots(zone) => write!(f, "free slots in {zone}"),
            Self::LinkBytes(link) => write!(f, "bytes this minute on {link}"),
            Self::Share(organisation) => write!(f, "share of {organisation}"),
            Self::Heartbeat(host) => write!(f, "heartbeat of {host}"),
            Self::Keys => write!(f, "news of keys"),
            Self::Plan(region) => write!(f, "plan of {region}"),
            Self::ClientBlock => write!(f, "client block"),
        }
    }
}

/// A measurement that a decision rests on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Measurement {
    /// What was measured.
    pub subject: Subject,
    /// Its value, in the subject's unit.
    pub value: i64,
    /// How old it was when the decision was taken.
    pub age: Duration,
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age = humantime::format_duration(Duration::from_millis(self.age.as_millis() as u64));
        write!(f, "{} = {} ({age} old)", self.subject, self.value)
    }
}

/// The measurements that a decision rests on.
pub type Basis = SmallVec<[Measurement; 2]>;

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// It is the best one of the own zone.
    OwnZone,
    /// The own zone has no room; this one is in the own region.
    SpillZone,
    /// The own region has no room; this one is in another region.
    SpillRegion,
    /// The plan shifts traffic there.
    Planned,
    /// Measurements are too old; this is the nearest within known capacity.
    Nearest,
    /// Only the host named in the request id may run the request.
    RequestHome,
    /// An earlier try did not start.
    Retry,
}

impl Choice {
    const fn as_str(self) -> &'static str {
        match self {
            Self::OwnZone => "best in the own zone",
            Self::SpillZone => "the own zone has no room",
            Self::SpillRegion => "the own region has no room",
            Self::Planned => "the plan shifts traffic there",
            Self::Nearest => "measurements are too old, so the nearest one with known capacity",
            Self::RequestHome => "only the host named in the request id may run it",
            Self::Retry => "an earlier try did not start",
        }
    }
}

/// Where a request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// An upstream of this host's zone.
    Upstream(SocketAddr),
    /// An entry host of another zone, or the home of the request.
    Host(HostName, ZoneName),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Upstream(address) => write!(f, "upstream {address}"),
            Self::Host(host, zone) => write!(f, "host {host} in {zone}"),
        }
    }
}

/// A decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "decision")]
pub enum Decision {
    /// A request was sent on.
    Routed {
        /// The service.
        service: ServiceName,
        /// The organisation; none on open routes.
        organisation: Option<OrganisationName>,
        /// The route.
        route: ObjectName,
        /// Where it was sent.
        target: Target,
        /// Why there.
        choice: Choice,
    },
    /// A request was answered.
    Answered {
        /// Whether it ran.
        outcome: Outcome,
        /// The HTTP status.
        status: u16,
        /// From the request's arrival to the answer's start.
        took: Duration,
    },
    /// A request was refused.
    Refused {
        /// Why.
        reason: Reason,
        /// Whether it ran.
        outcome: Outcome,
        /// The organisation, where it was known.
        organisation: Option<OrganisationName>,
        /// The service, where it was known.
        service: Option<ServiceName>,
    },
    /// The planner took a step.
    Planned {
        /// The service that moves.
        service: ServiceName,
        /// From where.
        from: ZoneName,
        /// To where.
        to: ZoneName,
        /// The share of the traffic that moves, in thousandths.
        milli_share: u32,
        /// The headroom that it was sized by.
        headroom: ByteSize,
        /// Why the step was not larger.
        bound: StepBound,
    },
    /// The planner set where the requests of one zone and service are served.
    Steered(SteeringEntry),
    /// The planner held the last plan.
    Held {
        /// The region.
        region: RegionName,
        /// Why.
        why: HoldReason,
    },
    /// A generation was adopted.
    Adopted {
        /// The generation before.
        previous: Option<Generation>,
        /// Who offered it.
        from: Origin,
    },
}

/// What bounded a step of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepBound {
    /// The link's headroom.
    Link,
    /// The target's warm-up.
    WarmUp,
    /// The target's free slots.
    Slots,
    /// Nothing; the shift is complete.
    Complete,
}

impl StepBound {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Link => "the link's headroom",
            Self::WarmUp => "the target's warm-up",
            Self::Slots => "the target's free slots",
            Self::Complete => "nothing, the shift is complete",
        }
    }
}

/// Why the planner held the last plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HoldReason {
    /// Measurements are older than their bound.
    MeasurementsTooOld,
    /// Cached look-up answers still draw traffic to the old target.
    CachesDrawing,
    /// Nothing needs to move.
    Steady,
}

impl HoldReason {
    const fn as_str(self) -> &'static str {
        match self {
            Self::MeasurementsTooOld => "measurements are older than their bound",
            Self::CachesDrawing => "cached look-up answers still draw traffic",
            Self::Steady => "nothing needs to move",
        }
    }
}

/// Who offered a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Origin {
    /// The platform's store.
    Store,
    /// An entry host.
    Peer(HostName),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => write!(f, "the store"),
            Self::Peer(host) => write!(f, "host {host}"),
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Routed {
                service,
                organisation,
                route,
                target,
                choice,
            } => {
                write!(f, "sent {service} by route {route} to {target}")?;
                if let Some(organisation) = organisation {
                    write!(f, " for {organisation}")?;
                }
                write!(f, ": {}", choice.as_str())
            }
            Self::Answered {
                outcome,
                status,
                took,
            } => write!(f, "answered {status} ({outcome}) after {took:.1?}"),
            Self::Refused {
                reason,
                outcome,
                organisation,
                service,
            } => {
                write!(f, "refused as {reason} ({outcome})")?;
                if let Some(organisation) = organisation {
                    write!(f, " for {organisation}")?;
                }
                if let Some(service) = service {
                    write!(f, " at {service}")?;
                }
                Ok(())
            }
            Self::Planned {
                service,
                from,
                to,
                milli_share,
                headroom,
                bound,
            } => {
                let (whole, part) = (milli_share / 10, milli_share % 10);
                write!(f, "moves {whole}.{part}% of {service} from {from} to {to}")?;
                write!(
                    f,
                    " into {headroom} of headroom, bounded by {}",
                    bound.as_str()
                )
            }
            Self::Steered(steer) => {
                write!(
                    f,
                    "serves {} that enters in {} in",
                    steer.service, steer.origin
                )?;
                for w in &steer.weights {
                    let (whole, part) = (w.weight / 10, w.weight % 10);
                    write!(f, " {} {whole}.{part}%", w.zone)?;
                }
                write!(f, ": {}", steer.reason)
            }
            Self::Held { region, why } => {
                write!(f, "keeps the plan of {region}: {}", why.as_str())
            }
            Self::Adopted { previous, from } => {
                write!(f, "adopted the generation from {from}")?;
                match previous {
                    Some(previous) => write!(f, " after {previous}"),
                    None => write!(f, " as the first one"),
                }
            }
        }
    }
}

/// The account of one decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The host that decided.
    pub host: HostName,
    /// The time since that host's process started.
    pub at: Duration,
    /// The request, where the decision is about one.
    pub request: Option<RequestId>,
    /// The generation that the decision followed.
    pub generation: Generation,
    /// What was decided.
    #[serde(flatten)]
    pub decision: Decision,
    /// From which measurements.
    pub basis: Basis,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        write!(
            f,
            "{} at {at:.3}s, generation {}: ",
            self.host, self.generation
        )?;
        write!(f, "{}", self.decision)?;
        for measurement in &self.basis {
            write!(f, "\n    from {measurement}")?;
        }
        Ok(())
    }
}

impl Record {
    /// Writes records as JSON, one a line.
    pub fn to_json_lines<'a>(
        records: impl IntoIterator<Item = &'a Self>,
    ) -> Result<String, serde_json::Error> {
        let mut lines = String::new();
        for record in records {
            lines.push_str(&serde_json::to_string(record)?);
            lines.push('\n');
        }
        Ok(lines)
    }

    /// Reads records that stand as JSON, one a line.
    pub fn from_json_lines(lines: &[u8]) -> Result<Vec<Self>, serde_json::Error> {
        serde_json::Deserializer::from_slice(lines)
            .into_iter()
            .collect()
    }
}
