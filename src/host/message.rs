//! Messages to the actor that owns a host's state.

use std::net::SocketAddr;

use smallvec::SmallVec;
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use crate::{
    gateway::call::{
        OpenTry,
        Permit, //
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

/// The number of a started request on one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// Who sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A caller, with the digest of its key where it presented one.
    Caller(Option<KeyDigest>),
    /// Another entry host that checked the key, for the request's home to run.
    Home(Option<OrganisationName>),
    /// Another entry host that admitted the request, for this zone to run.
    Run(Option<OrganisationName>),
}

/// Asks whether a request may run, and where.
#[derive(Clone, Debug)]
pub struct Start {
    /// Who sent it.
    pub sender: Sender,
    /// The route that it matched.
    pub route: ObjectName,
    /// Its id.
    pub id: RequestId,
    /// What tells repeated requests apart.
    pub suspect: Suspect,
    /// Whether it came from another region.
    pub foreign: bool,
    /// When it was first asked about, where it was told to wait.
    pub first_try: Option<Instant>,
}

/// The answer to [`Start`].
#[derive(Debug)]
pub enum Started {
    /// It may run; its permit is open until [`Finish`].
    Run {
        /// The organisation that it runs for.
        organisation: Option<OrganisationName>,
        /// Its permit; dropping it sends [`Finish`].
        permit: Permit,
    },
    /// Another host is its home.
    Home {
        /// The organisation whose key came with it.
        organisation: Option<OrganisationName>,
        /// The home.
        home: Target,
    },
    /// The organisation's budget may grow until this instant; ask again then.
    Wait(Instant),
    /// It must not run.
    Refused(Refusal),
}

/// Asks for the next place to send a started request to.
#[derive(Clone, Debug)]
pub struct Choose {
    /// The service.
    pub service: ServiceName,
    /// The organisation that it runs for.
    pub organisation: Option<OrganisationName>,
    /// The request's id, for the journal.
    pub id: RequestId,
    /// When its answer must have started.
    pub deadline: Instant,
    /// Whether only upstreams of the own zone may be chosen.
    pub local_only: bool,
    /// What tells repeated requests apart.
    pub suspect: Suspect,
    /// The route that it matched.
    pub route: ObjectName,
    /// The places that were tried before.
    pub tried: SmallVec<[Target; 2]>,
    /// Bytes of its body, where known.
    pub length: Option<u64>,
    /// When it was first asked about, where it was told to wait.
    pub first_try: Option<Instant>,
}

/// Asks whether a failed request may be sent again, and after which pause.
#[derive(Clone, Copy, Debug)]
pub struct AskRetry(pub Failure);

/// A place to send a request to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// An upstream of the own zone.
    Upstream(SocketAddr),
    /// A gateway, in the own or another zone.
    Gateway {
        /// Its host.
        host: HostName,
        /// Its address for other entry hosts.
        peers: SocketAddr,
        /// Its zone.
        zone: ZoneName,
        /// Its region, where a billed link lies between.
        over_link_to: Option<RegionName>,
    },
}

/// The answer to [`Choose`].
#[derive(Debug)]
pub enum Choice {
    /// Send it to this try's target; dropping the try sends [`TryFinished`].
    Send(Box<OpenTry>),
    /// Ask again at this instant.
    Wait(Instant),
    /// It waits for a slot; the choice comes later.
    Queued(oneshot::Receiver<Choice>),
    /// No place is left.
    Refused(Refusal),
}

/// How one try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryEnd {
    /// The answer came whole.
    Whole,
    /// The upstream said that it did not start the request.
    NotStarted,
    /// No connection could be opened, or nothing left on it.
    NotSent,
    /// The connection failed after the request left.
    Lost,
    /// The answer broke off after its head.
    Broken,
    /// The deadline passed before the answer's head.
    TimedOut,
    /// The caller went away.
    Abandoned,
}

/// Tells how one try ended.
#[derive(Clone, Debug)]
pub struct TryFinished {
    /// The service.
    pub service: ServiceName,
    /// Where it was sent.
    pub target: Target,
    /// The organisation that it ran for.
    pub organisation: Option<OrganisationName>,
    /// How it ended.
    pub end: TryEnd,
    /// Whether its upstream said that it drains.
    pub draining: bool,
    /// What tells repeated requests apart.
    pub suspect: Suspect,
    /// Bytes of the request's body that left.
    pub bytes_out: u64,
    /// Bytes of the answer's body that came.
    pub bytes_in: u64,
}

/// Tells that a started request has ended, and what is known of its run.
#[derive(Clone, Debug)]
pub struct Finish {
    /// The request's number.
    pub ticket: Ticket,
    /// What is known of its run.
    pub outcome: Outcome,
    /// The status of the answer, zero without one.
    pub status: u16,
}

/// Asks for the right to send bytes to another region.
#[derive(Clone, Debug)]
pub struct Pay {
    /// The receiving region.
    pub to: RegionName,
    /// The bytes.
    pub bytes: u64,
    /// When the right was first asked for, where it was told to wait.
    pub first_try: Option<Instant>,
}

/// Tells that this host leaves the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Leave;

/// Gives all loans back; sent when the last request has ended.
#[derive(Clone, Copy, Debug)]
pub struct ReturnLoans;

/// Asks for the host's status.
#[derive(Clone, Copy, Debug)]
pub struct GetStatus;

/// Asks for explanations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Explain {
    /// What was decided about a request.
    Request(RequestId),
    /// The latest refusals.
    Refusals,
    /// The latest steps of the plan.
    Plan,
}
