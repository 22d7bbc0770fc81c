//! The messages that entry hosts exchange as UDP datagrams.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;
use tokio::{
    net::UdpSocket,
    sync::mpsc, //
};
use xtra::Address;

use super::{
    dialect::LoadReport,
    dispatcher::Dispatcher,
    message::DatagramReceived,
    model::{
        ConfigVersion,
        Priority, //
    },
    peers::Domain,
    region_balance::Shares,
    upstreams::{
        TryEnd,
        UpstreamKey, //
    },
};
use crate::{
    post::post,
    quarantine::{
        SuspectEntry,
        UpstreamStart, //
    },
    util::id::{
        HostName,
        Incarnation,
        OrganisationName,
        RegionName,
        ServiceName,
        ZoneName, //
    },
};

/// Size of the receive buffer, and so the longest message between hosts, in bytes.
const DATAGRAM_MAX: usize = 60 * 1024;

/// Whether a host takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// It has a configuration and takes requests.
    Ready,
    /// It cannot check keys at present, so it serves no requests that need one.
    Stale,
    /// It is shutting down.
    Leaving,
}

/// Rate at which callers send requests for one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OfferedRate {
    /// The requested service.
    pub service: ServiceName,
    /// The only region in which the requests may run; `None` if any region is allowed.
    pub bound_to: Option<RegionName>,
    /// Requests per second.
    pub rate: f32,
}

/// The sender of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Name of the sending host.
    pub host: HostName,
    /// Identifies the process; a restarted host has another one.
    pub incarnation: Incarnation,
    /// Message number; increases with each message of a process.
    pub sequence: u64,
}

/// A host's periodic report to the leader of its zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The reporting host.
    pub from: Sender,
    /// Whether it takes requests.
    pub state: HostState,
    /// Request rates of its callers, by service.
    pub offered: Vec<OfferedRate>,
    /// Fingerprints of requests that crashed upstreams.
    pub suspects: Vec<SuspectEntry>,
    /// Version of the host's configuration, if the store may have gone back to an older one.
    #[serde(default)]
    pub configuration: Option<ConfigVersion>,
}

/// A leader's summary for the hosts of its zone and the leaders of other zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The leader that sends the summary.
    pub from: Sender,
    /// Whether the leader takes requests.
    pub state: HostState,
    /// The state of each zone known to the leader.
    pub zones: Vec<ZoneDigest>,
    /// For each service, the fraction of the requests of the leader's region that runs in
    /// each region.
    pub shares: Vec<(ServiceName, Shares)>,
    /// Fingerprints of requests that crashed upstreams.
    pub suspects: Vec<SuspectEntry>,
}

/// The state of one zone, as last reported by its leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// The described zone.
    pub zone: ZoneName,
    /// The host that leads the zone.
    pub leader: HostName,
    /// Time since the zone's leader reported this, in milliseconds.
    pub age_ms: u32,
    /// Whether the leader is fit to lead: it takes requests and receives the reports of its
    /// zone.
    pub is_fit: bool,
    /// Whether the leader reads the store successfully.
    pub reads: bool,
    /// Registered hosts of the zone that take no requests.
    pub away: Vec<HostName>,
    /// Request rates of the zone's callers, by service.
    pub offered: Vec<OfferedRate>,
    /// Newest version of the configuration that a host of the zone has, if the store may have gone
    /// back to an older one.
    #[serde(default)]
    pub configuration: Option<ConfigVersion>,
}

/// A request for rate-limit tokens of organisations, or a transfer of such tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The sending host.
    pub from: Sender,
    /// Tokens that the sender requests from the receiver, in thousandths of a request.
    pub wants: Vec<(OrganisationName, u64)>,
    /// Tokens that the sender transfers to the receiver, in thousandths of a request.
    pub grants: Vec<(OrganisationName, u64)>,
    /// Organisations for which the receiver requested tokens but the sender has none.
    pub denied: Vec<OrganisationName>,
    /// The process whose request this answers; `None` if this is a request.
    #[serde(default)]
    pub answers: Option<Incarnation>,
}

/// Number of one attempt of a request, assigned by the host that serves the request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunId(pub u32);

/// Asks the scheduler of a domain for a slot at one of its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The host that serves the request.
    pub from: Sender,
    /// The attempt that needs a slot.
    pub run: RunId,
    /// The scheduling domain in which a slot is wanted.
    pub domain: Domain,
    /// The caller's request id, for logs.
    pub id: String,
    /// The requested service.
    pub service: ServiceName,
    /// Priority of the request.
    pub priority: Priority,
    /// Hash of the request's route.
    pub route: u64,
    /// Hash of the request's affinity key, or of its id if it has none.
    pub object: u64,
    /// Whether the request has an affinity key.
    pub has_object: bool,
    /// Bytes that pass between the host and the upstream: the request body, and the expected answer
    /// if it is large.
    pub bytes: u64,
    /// Time since the request's head was read, in milliseconds.
    pub waited_ms: u32,
    /// Time that the caller lost with earlier attempts, in milliseconds.
    pub lost_ms: u32,
    /// Target latency of the request, in milliseconds.
    pub aim_ms: u32,
    /// Time until the caller or the route stops waiting, in milliseconds.
    pub left_ms: u32,
    /// Upstreams that this request was already sent to.
    pub tried: SmallVec<[UpstreamKey; 2]>,
    /// Priority of the route; it orders requests whose `priority` is the same.
    #[serde(default)]
    pub route_priority: Priority,
}

/// The scheduler's decision on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// A slot is reserved until the attempt ends.
    Granted {
        /// The upstream with the reserved slot.
        upstream: UpstreamKey,
        /// Position of the object among those that the upstream handled recently; `None` if
        /// it is not one of them.
        place: Option<u32>,
        /// Requests that the upstream is running.
        load: u32,
    },
    /// The claim waits for a slot.
    Queued {
        /// The longest time that it waits, in milliseconds.
        for_ms: u32,
    },
    /// No slot becomes free in time.
    Full,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// The scheduler that answers.
    pub from: Sender,
    /// The attempt that the claim was for.
    pub run: RunId,
    /// The decision.
    pub outcome: ClaimOutcome,
    /// The process that sent the claim. Each process numbers its attempts from 1, so that an
    /// earlier process of the same host may have used the same number.
    #[serde(default)]
    pub answers: Incarnation,
}

/// Informs the scheduler about a request that was sent without a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Started {
    /// The host that serves the request.
    pub from: Sender,
    /// The attempt that has started.
    pub run: RunId,
    /// The upstream that the request was sent to.
    pub upstream: UpstreamKey,
    /// Hash of the request's route.
    pub route: u64,
    /// Hash of the request's affinity key, if it has one.
    pub object: Option<u64>,
}

/// Informs the scheduler that an attempt has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finished {
    /// The host that serves the request.
    pub from: Sender,
    /// The attempt that has ended.
    pub run: RunId,
    /// The upstream that the request was sent to.
    pub upstream: UpstreamKey,
    /// How the attempt ended.
    pub end: TryEnd,
    /// Time that the attempt held its slot, in milliseconds.
    pub held_ms: u32,
    /// The load that the upstream reported with its answer, if any.
    pub load: Option<LoadReport>,
}

/// All attempts that a host has running at upstreams of a scheduler. It corrects the
/// scheduler's state after lost messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// The host whose attempts are listed.
    pub from: Sender,
    /// The running attempts and their upstreams.
    pub runs: Vec<(RunId, UpstreamKey)>,
}

/// Tells a scheduler that an upstream has said in an answer that it leaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leaving {
    /// The host that received the answer.
    pub from: Sender,
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// The start of the upstream that leaves.
    pub upstream: UpstreamStart,
}

/// Any message between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A host's report to its zone leader.
    Report(Report),
    /// A zone leader's summary.
    Digest(Digest),
    /// A request for tokens or a transfer of tokens.
    Loan(Loan),
    /// A request for a slot at an upstream.
    Claim(Claim),
    /// The answer to a claim.
    ClaimReply(ClaimReply),
    /// The start of an attempt that was sent without a claim.
    Started(Started),
    /// The end of an attempt.
    Finished(Finished),
    /// All running attempts of a host.
    Holding(Holding),
    /// An upstream that leaves.
    Leaving(Leaving),
}

impl Datagram {
    /// Returns the sender of the message.
    pub fn from(&self) -> &Sender {
        match self {
            Self::Report(msg) => &msg.from,
            Self::Digest(msg) => &msg.from,
            Self::Loan(msg) => &msg.from,
            Self::Claim(msg) => &msg.from,
            Self::ClaimReply(msg) => &msg.from,
            Self::Started(msg) => &msg.from,
            Self::Finished(msg) => &msg.from,
            Self::Holding(msg) => &msg.from,
            Self::Leaving(msg) => &msg.from,
        }
    }
}

/// A message and the addresses of the hosts that it is sent to.
pub type Outgoing = (Vec<SocketAddr>, Datagram);

/// Encodes and sends queued messages until the queue is closed.
pub async fn send_messages(socket: Arc<UdpSocket>, mut outgoing: mpsc::Receiver<Outgoing>) {
    while let Some((to, msg)) = outgoing.recv().await {
        let bytes = match rmp_serde::to_vec(&msg) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(event = "message-unwritable", cause:% = e; "");
                continue;
            }
        };
        for address in to {
            if let Err(e) = socket.send_to(&bytes, address).await {
                log::debug!(event = "message-unsent", to:% = address, cause:% = e; "");
            }
        }
    }
}

/// Receives and decodes messages of other hosts and passes them to the dispatcher.
pub async fn receive_messages(socket: Arc<UdpSocket>, dispatcher: Address<Dispatcher>) {
    let mut buf = vec![0; DATAGRAM_MAX];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!(event = "receive-failed", cause:% = e; "");
                continue;
            }
        };
        match rmp_serde::from_slice::<Datagram>(&buf[..len]) {
            Ok(msg) => post(&dispatcher, DatagramReceived { msg }),
            Err(e) => log::info!(event = "message-unreadable", from:%, cause:% = e; ""),
        }
    }
}
