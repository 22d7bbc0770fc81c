//! What entry hosts tell one another by datagrams.

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
    message::Heard,
    model::Priority,
    peers::Domain,
    spill::Shares,
    upstreams::{
        TryEnd,
        UpstreamKey, //
    },
};
use crate::{
    post::post,
    quarantine::SuspectEntry,
    util::id::{
        HostName,
        Incarnation,
        OrganisationName,
        RegionName,
        ServiceName,
        ZoneName, //
    },
};

/// The longest message from host to host, in bytes.
const DATAGRAM_MAX: usize = 60 * 1024;

/// The state of a host that takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// It knows the configuration and takes requests.
    Ready,
    /// It cannot serve requests with keys now.
    Stale,
    /// It is about to stop.
    Leaving,
}

/// Requests a second of a host's callers for one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offered {
    /// The service.
    pub service: ServiceName,
    /// The region in which alone they may run; `None` where they may run in any.
    pub bound_to: Option<RegionName>,
    /// Requests a second.
    pub rate: f32,
}

/// The sender of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Its name.
    pub host: HostName,
    /// Its process.
    pub incarnation: Incarnation,
    /// Grows with each message of a process.
    pub sequence: u64,
}

/// What a host tells the leader of its zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The host.
    pub from: Sender,
    /// Its state.
    pub state: HostState,
    /// What its callers send.
    pub offered: Vec<Offered>,
    /// Requests that crashed upstreams.
    pub suspects: Vec<SuspectEntry>,
}

/// What a leader tells the hosts of its zone and the leaders of other zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The leader.
    pub from: Sender,
    /// Its state.
    pub state: HostState,
    /// What is known of the zones.
    pub zones: Vec<ZoneDigest>,
    /// The part of the requests of the leader's region that runs in each region, by service.
    pub shares: Vec<(ServiceName, Shares)>,
    /// Requests that crashed upstreams.
    pub suspects: Vec<SuspectEntry>,
}

/// What is known of one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: ZoneName,
    /// The host that leads it.
    pub leader: HostName,
    /// How long ago the leader told this, in milliseconds.
    pub age_ms: u32,
    /// Whether the leader is fit to lead: it takes requests, and hears the zone.
    pub is_fit: bool,
    /// Whether the leader reads the store, and is answered.
    pub reads: bool,
    /// Its registered hosts that take no requests.
    pub away: Vec<HostName>,
    /// What its callers send.
    pub offered: Vec<Offered>,
}

/// Tokens that are asked for or handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The sender.
    pub from: Sender,
    /// Tokens that it asks of the receiver, in thousandths of a request.
    pub wants: Vec<(OrganisationName, u64)>,
    /// Tokens that it hands to the receiver, in thousandths of a request.
    pub grants: Vec<(OrganisationName, u64)>,
    /// Organisations of which the receiver asked for tokens, and it has none.
    pub denied: Vec<OrganisationName>,
}

/// One try of a request, numbered by the host that serves the request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunId(pub u32);

/// Asks the scheduler of a domain for a slot at one of its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The host that serves the request.
    pub from: Sender,
    /// The try.
    pub run: RunId,
    /// The domain.
    pub domain: Domain,
    /// The caller's id of the request, for logs.
    pub id: String,
    /// The service.
    pub service: ServiceName,
    /// The request's rank.
    pub priority: Priority,
    /// The hash of its route.
    pub route: u64,
    /// The hash of its object, or of the request where there is none.
    pub object: u64,
    /// Whether it concerns an object.
    pub has_object: bool,
    /// Bytes of its body.
    pub bytes: u64,
    /// Milliseconds since its head was read.
    pub waited_ms: u32,
    /// Milliseconds that its caller lost with earlier attempts.
    pub lost_ms: u32,
    /// Milliseconds within which an answer earns its full worth.
    pub aim_ms: u32,
    /// Milliseconds until the caller or the route stops waiting.
    pub left_ms: u32,
    /// Upstreams that were tried already.
    pub tried: SmallVec<[UpstreamKey; 2]>,
}

/// What becomes of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// A slot is kept at this upstream until the run ends.
    Granted {
        /// The upstream.
        upstream: UpstreamKey,
        /// The place that the object had among those that it handled lately.
        place: Option<u32>,
        /// Requests that run there.
        load: u32,
    },
    /// It waits for a slot, this long at most.
    Queued {
        /// Milliseconds.
        for_ms: u32,
    },
    /// There is no slot in time.
    Full,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// The scheduler.
    pub from: Sender,
    /// The try.
    pub run: RunId,
    /// What becomes of it.
    pub outcome: ClaimOutcome,
}

/// Tells the scheduler of a request that was sent without a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Started {
    /// The host that serves the request.
    pub from: Sender,
    /// The try.
    pub run: RunId,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The hash of the request's route.
    pub route: u64,
    /// The hash of its object, where it concerns one.
    pub object: Option<u64>,
}

/// Tells the scheduler that a run has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finished {
    /// The host that serves the request.
    pub from: Sender,
    /// The try.
    pub run: RunId,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// How it ended.
    pub end: TryEnd,
    /// Milliseconds that it held its slot.
    pub held_ms: u32,
    /// The upstream's report of its load.
    pub load: Option<LoadReport>,
}

/// All runs that a host has at upstreams of a scheduler, so that lost messages leave no trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// The host.
    pub from: Sender,
    /// Its runs.
    pub runs: Vec<(RunId, UpstreamKey)>,
}

/// Anything that hosts send one another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A host's state.
    Report(Report),
    /// What a leader knows.
    Digest(Digest),
    /// Tokens.
    Loan(Loan),
    /// A request for a slot.
    Claim(Claim),
    /// The answer to it.
    ClaimReply(ClaimReply),
    /// A run without a claim.
    Started(Started),
    /// The end of a run.
    Finished(Finished),
    /// All runs of a host.
    Holding(Holding),
}

impl Datagram {
    /// Returns its sender.
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
        }
    }
}

/// A message to other hosts, and where it goes.
pub type Outgoing = (Vec<SocketAddr>, Datagram);

/// Sends a host's messages.
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

/// Hands what other hosts send to the dispatcher.
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
            Ok(msg) => post(&dispatcher, Heard { msg }),
            Err(e) => log::info!(event = "message-unreadable", from:%, cause:% = e; ""),
        }
    }
}
