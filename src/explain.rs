//! Typed records of decisions: the decision, the measurements it was based on with
//! their age, and the configuration generation in use.

pub mod journal;
pub mod timeline;

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

/// The quantity that a measurement is of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// The requests that this host has in flight at an upstream.
    InFlight(SocketAddr),
    /// The latest load report of an upstream.
    Load(SocketAddr),
    /// The latest health report of an upstream.
    Health(SocketAddr),
    /// The outcomes of this host's own requests to an upstream.
    Outcomes(SocketAddr),
    /// The free slots of a service in a zone.
    FreeSlots(ZoneName),
    /// The bytes sent over a link in the current minute.
    LinkBytes(ObjectName),
    /// This host's share of an organisation's request rate.
    Share(OrganisationName),
    /// The last heartbeat of an entry host.
    Heartbeat(HostName),
    /// The set of withdrawn keys.
    Keys,
    /// The region's steering plan.
    Plan(RegionName),
    /// The configured block of client addresses.
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

/// A measurement that a decision is based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Measurement {
    /// The quantity measured.
    pub subject: Subject,
    /// Its value, in the subject's unit.
    pub value: i64,
    /// The age of the measurement when the decision was made.
    pub age: Duration,
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age = humantime::format_duration(Duration::from_millis(self.age.as_millis() as u64));
        write!(f, "{} = {} ({age} old)", self.subject, self.value)
    }
}

/// The measurements that a decision is based on.
pub type Basis = SmallVec<[Measurement; 2]>;

/// The reason why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// Best target in the host's own zone.
    OwnZone,
    /// Own zone at capacity; target in the same region.
    SpillZone,
    /// Own region at capacity; target in another region.
    SpillRegion,
    /// The plan shifts traffic there.
    Planned,
    /// Measurements are too old; nearest target with known capacity.
    Nearest,
    /// The target is the host named in the request id, the only one that may run it.
    RequestHome,
    /// An earlier attempt did not start.
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

/// The destination of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// An upstream of this host's zone.
    Upstream(SocketAddr),
    /// An entry host of another zone, or the host named in the request id.
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

/// A decision made by an entry host or its region's planner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "decision")]
pub enum Decision {
    /// A request was forwarded.
    Routed {
        /// The service that handles the request.
        service: ServiceName,
        /// The caller's organisation; `None` on open routes.
        organisation: Option<OrganisationName>,
        /// The configured route that matched.
        route: ObjectName,
        /// The upstream or host it was sent to.
        target: Target,
        /// Why this target was chosen.
        choice: Choice,
    },
    /// A request was answered.
    Answered {
        /// Whether an upstream ran the request.
        outcome: Outcome,
        /// The HTTP status of the answer.
        status: u16,
        /// The time from the request's arrival to the start of the answer.
        took: Duration,
    },
    /// A request was refused.
    Refused {
        /// The reason given to the caller.
        reason: Reason,
        /// Whether an upstream may have run the request.
        outcome: Outcome,
        /// The caller's organisation, if already known.
        organisation: Option<OrganisationName>,
        /// The requested service, if already known.
        service: Option<ServiceName>,
    },
    /// The planner shifted part of a service's traffic.
    Planned {
        /// The service whose traffic moves.
        service: ServiceName,
        /// The zone that loses traffic.
        from: ZoneName,
        /// The zone that gains traffic.
        to: ZoneName,
        /// The share of the traffic that moves, in thousandths.
        milli_share: u32,
        /// The headroom from which the share was computed.
        headroom: ByteSize,
        /// Why the step was not larger.
        bound: StepBound,
    },
    /// The planner set where the requests of one zone and service are served.
    Steered(SteeringEntry),
    /// The planner kept the last plan.
    Held {
        /// The region that the plan is for.
        region: RegionName,
        /// Why the plan was kept.
        why: HoldReason,
    },
    /// A new configuration generation was adopted.
    Adopted {
        /// The generation in use before; `None` for the first one.
        previous: Option<Generation>,
        /// The source it was received from.
        from: Origin,
    },
}

/// The limit that determined the size of a planner step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepBound {
    /// The headroom of the link.
    Link,
    /// The target is still warming up.
    WarmUp,
    /// The free slots at the target.
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

/// The reason why the planner kept the last plan.
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

/// The source of a configuration generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Origin {
    /// Read from the platform's store.
    Store,
    /// Offered by another entry host.
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
                let (whole, tenths) = (milli_share / 10, milli_share % 10);
                write!(
                    f,
                    "moves {whole}.{tenths}% of {service} from {from} to {to}"
                )?;
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
                    let (whole, tenths) = (w.weight / 10, w.weight % 10);
                    write!(f, " {} {whole}.{tenths}%", w.zone)?;
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

/// One decision with its context.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The host that decided.
    pub host: HostName,
    /// The time of the decision, since that host's process started.
    pub at: Duration,
    /// The request that the decision is about, if any.
    pub request: Option<RequestId>,
    /// The configuration generation in use.
    pub generation: Generation,
    /// The decision itself; its fields are serialised in line.
    #[serde(flatten)]
    pub decision: Decision,
    /// The measurements that it is based on.
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
    /// Serialises records as JSON Lines.
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

    /// Parses records from JSON Lines.
    pub fn from_json_lines(lines: &[u8]) -> Result<Vec<Self>, serde_json::Error> {
        serde_json::Deserializer::from_slice(lines)
            .into_iter()
            .collect()
    }
}
