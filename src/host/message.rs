//! Messages that the gateway and other tasks send to the host's actor.

use std::net::SocketAddr;

use smallvec::SmallVec;
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use crate::{
    gateway::call::{
        Permit, //
        TryGuard,
    },
    quarantine::Suspect,
    refusal::{
        Outcome,
        Refusal, //
    },
    retry::Failure,
    util::id::{
        HostName,
        KeyDigest,
        ObjectName,
        OrganisationName,
        RegionName,
        RequestId,
        ServiceName,
        ZoneName, //
    },
};

/// Number of a started request, unique within one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// The sender of a request, and what it vouches for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A caller, with the digest of its API key; none if it presented no key.
    Caller(Option<KeyDigest>),
    /// Another entry host that checked the key and forwarded the request to its home, the
    /// process that issued its id. Carries the key's organisation.
    Home(Option<OrganisationName>),
    /// Another entry host that admitted the request and forwarded it to run in this zone.
    /// Carries the key's organisation.
    Run(Option<OrganisationName>),
}

/// Asks whether a request may run on this host.
#[derive(Clone, Debug)]
pub struct Start {
    /// Sender of the request.
    pub sender: Sender,
    /// Name of the route that the request matched.
    pub route: ObjectName,
    /// Id of the request.
    pub id: RequestId,
    /// Fingerprint of the request's content, by which repeated requests are recognised.
    pub suspect: Suspect,
    /// Whether the request was forwarded from another region.
    pub foreign: bool,
    /// When the message was first sent; none the first time, set after a `Wait`.
    pub first_asked_at: Option<Instant>,
}

/// The answer to [`Start`].
#[derive(Debug)]
pub enum Started {
    /// The request may run; its permit stays open until [`Finish`].
    Run {
        /// Organisation that the request runs for; none on open routes.
        organisation: Option<OrganisationName>,
        /// Permit of the request; dropping it sends [`Finish`].
        permit: Permit,
    },
    /// Only its home, the process that issued its id, may run the request.
    Home {
        /// Organisation of the key; none on open routes.
        organisation: Option<OrganisationName>,
        /// Gateway of the home.
        home: Target,
    },
    /// The organisation's budget is used up for now; ask again at this instant.
    Wait(Instant),
    /// The request must not run.
    Refused(Refusal),
}

/// Asks for the next target of a started request.
#[derive(Clone, Debug)]
pub struct Choose {
    /// Service that the route leads to.
    pub service: ServiceName,
    /// Organisation that the request runs for; none on open routes.
    pub organisation: Option<OrganisationName>,
    /// Id of the request, for the journal.
    pub id: RequestId,
    /// Deadline for the start of the answer.
    pub deadline: Instant,
    /// Whether the request must run in the own zone, because another entry host forwarded
    /// it.
    pub local_only: bool,
    /// Fingerprint of the request's content, by which repeated requests are recognised.
    pub suspect: Suspect,
    /// Name of the route that the request matched.
    pub route: ObjectName,
    /// Targets that were tried before.
    pub tried: SmallVec<[Target; 2]>,
    /// Length of the request body in bytes; none if unknown.
    pub length: Option<u64>,
    /// When the message was first sent; none the first time, set after a `Wait`.
    pub first_asked_at: Option<Instant>,
}

/// Asks whether a failed request may be retried, and after what delay.
#[derive(Clone, Copy, Debug)]
pub struct RequestRetry(pub Failure);

/// A target to send a request to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// An upstream of the own zone.
    Upstream(SocketAddr),
    /// A gateway, in the own or another zone.
    Gateway {
        /// Name of the gateway's host.
        host: HostName,
        /// Address of the gateway for other entry hosts.
        peers: SocketAddr,
        /// Zone of the gateway.
        zone: ZoneName,
        /// Region of the gateway if reaching it crosses a billed link, otherwise none.
        link_region: Option<RegionName>,
    },
}

/// The answer to [`Choose`].
#[derive(Debug)]
pub enum Choice {
    /// Send the request to this try's target; dropping the try sends [`TryFinished`].
    Send(Box<TryGuard>),
    /// The link has no budget for now; ask again at this instant.
    Wait(Instant),
    /// The request waits for a slot; the channel delivers the choice.
    Queued(oneshot::Receiver<Choice>),
    /// The request is refused.
    Refused(Refusal),
}

/// The result of one try to send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryEnd {
    /// The answer arrived completely.
    Whole,
    /// The upstream answered that it did not start the request.
    NotStarted,
    /// No connection could be opened, or no byte was sent on it.
    NotSent,
    /// The connection failed after bytes were sent and before the answer's head.
    Lost,
    /// The answer was cut off after its head.
    Broken,
    /// The deadline passed before the answer's head.
    TimedOut,
    /// The caller closed its connection.
    Abandoned,
}

/// Reports the end of one try.
#[derive(Clone, Debug)]
pub struct TryFinished {
    /// Service that the route leads to.
    pub service: ServiceName,
    /// Target of the try.
    pub target: Target,
    /// Organisation that the request ran for; none on open routes.
    pub organisation: Option<OrganisationName>,
    /// Result of the try.
    pub end: TryEnd,
    /// Whether the upstream answered that it is draining.
    pub draining: bool,
    /// Fingerprint of the request's content, by which repeated requests are recognised.
    pub suspect: Suspect,
    /// Bytes of the request body that were sent.
    pub bytes_out: u64,
    /// Bytes of the answer body that were received.
    pub bytes_in: u64,
}

/// Reports the end of a started request.
#[derive(Clone, Debug)]
pub struct Finish {
    /// Number of the request.
    pub ticket: Ticket,
    /// Whether the request ran, as far as known.
    pub outcome: Outcome,
    /// HTTP status of the answer; zero without an answer.
    pub status: u16,
}

/// Asks to debit bytes from the link to another region. The answer is none if they may be
/// sent now, otherwise when to ask again.
#[derive(Clone, Debug)]
pub struct DebitLink {
    /// Region that receives the bytes.
    pub to: RegionName,
    /// Number of bytes to send.
    pub bytes: u64,
    /// When the message was first sent; none the first time, set after a wait.
    pub first_asked_at: Option<Instant>,
}

/// Starts the shutdown: the host announces that it leaves the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Leave;

/// Returns all loans; sent when the last request has ended.
#[derive(Clone, Copy, Debug)]
pub struct ReturnLoans;

/// Asks for the host's status, for operators.
#[derive(Clone, Copy, Debug)]
pub struct GetStatus;

/// Asks for records of the decision journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Explain {
    /// Decisions about one request.
    Request(RequestId),
    /// Latest refusals.
    Refusals,
    /// Latest decisions of the region's planner.
    Plan,
}
