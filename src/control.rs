//! Control messages between entry hosts: HTTP with MessagePack bodies.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    Uri,
    body::Incoming, //
};
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use smallvec::SmallVec;
use thiserror::Error;
use tokio::time::timeout;

use crate::{
    body::{
        ProxyBody,
        full, //
    },
    config::{
        diff::Delta,
        object::Set, //
    },
    connection::SendError,
    credential::{
        WithdrawnAsk,
        WithdrawnPage, //
    },
    gateway::Gateway,
    host::news::Answer,
    ledger::{
        Ledger,
        Revision, //
    },
    loan::{
        LoanMessage,
        LoanReply, //
    },
    membership::{
        Gossip,
        Heartbeat, //
    },
    operators,
    plan::Plan,
    quarantine::SuspectEntry,
    util::id::{
        Generation,
        HostName,
        ServiceName,
        ZoneName, //
    },
    wire,
};

/// How long a control call may take.
pub const CONTROL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long the transfer of a whole set may take.
pub const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(30);
/// The largest control message, in bytes.
const MESSAGE_MAX_BYTES: usize = 64 << 20;

/// A host's load of one service, as it tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// The host's free slots of the pool in its zone.
    pub free: u32,
    /// The host's usable slots of that pool, taken ones included.
    pub usable: u32,
    /// Slots taken by requests of other regions.
    pub foreign: u32,
    /// Requests in flight that entered at the host, wherever they are served.
    pub entered: u32,
    /// Bytes a second of those requests, towards the upstreams.
    pub bytes_in: u64,
    /// Bytes a second of those requests, back to the callers.
    pub bytes_out: u64,
}

/// A heartbeat, with what the sender has to offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The membership's part.
    pub heartbeat: Heartbeat,
    /// The sender's load of each service.
    pub loads: SmallVec<[ServiceLoad; 4]>,
    /// The sum of the revisions of all ledgers that the sender knows.
    pub ledgers: u64,
    /// The sum of the terms and numbers of all plans that the sender knows.
    pub plans: u64,
    /// Whether the sender gave its shares back and stops.
    pub released: bool,
}

/// A ledger's zone and revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerAt {
    /// The zone.
    pub zone: ZoneName,
    /// The revision.
    pub revision: Revision,
}

/// A control request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlRequest {
    /// A heartbeat.
    Beat(Box<Beat>),
    /// Asks to send a heartbeat to another host.
    Probe(HostName),
    /// Asks for a loan, or gives one back.
    Loan(LoanMessage),
    /// Asks for what leads on from a generation, or for a whole set.
    Configuration(Option<Generation>),
    /// Compares withdrawn keys.
    Withdrawn(WithdrawnAsk),
    /// Passes suspect requests on.
    Suspects(Vec<SuspectEntry>),
    /// Asks for ledgers that are newer than these.
    Ledgers(Vec<LedgerAt>),
    /// Asks for all plans.
    Plans,
}

/// What leads to a generation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Configuration {
    /// The receiver has the newest that the sender knows.
    Same,
    /// Deltas in order, the first from the receiver's generation.
    Deltas(Vec<Delta>),
    /// A whole set.
    Whole(Generation, Box<Set>),
}

/// Ledgers, and whether the sender counts by its own zone's.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ledgers {
    /// The zone of the sender.
    pub zone: ZoneName,
    /// Whether the sender counts by its zone's ledger right now.
    pub counts: bool,
    /// The revision of its zone's ledger.
    pub revision: Revision,
    /// The ledgers that are newer than those asked about.
    pub ledgers: Vec<Ledger>,
}

/// The answer to a control request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlReply {
    /// A heartbeat.
    Beat(Box<Beat>),
    /// What the probed host answered.
    Probed(Option<Gossip>),
    /// A loan, or none where the request was too old.
    Loan(Option<LoanReply>),
    /// Nothing more to say.
    Done,
    /// A configuration.
    Configuration(Configuration),
    /// Withdrawn keys.
    Withdrawn(WithdrawnPage),
    /// Suspect requests.
    Suspects(Vec<SuspectEntry>),
    /// Ledgers.
    Ledgers(Ledgers),
    /// Plans.
    Plans(Vec<Plan>),
}

/// A failure of a control call.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The message could not be written.
    #[error("the control message could not be written: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The message could not be read.
    #[error("the control message could not be read: {0}; do both hosts run the same version?")]
    Decode(#[from] rmp_serde::decode::Error),
    /// No answer came.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The answer broke off.
    #[error("the control answer from {0} broke off")]
    Broken(SocketAddr),
    /// The host took too long.
    #[error("{0} did not answer the control message in time")]
    TimedOut(SocketAddr),
    /// The host refused the message.
    #[error(
        "{address} refused the control message with status {status}; do the fleet secrets agree?"
    )]
    Refused {
        /// The host's address.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
}

/// Writes a control message.
///
/// # Errors
///
/// Fails when the codec does.
pub fn encode<T: Serialize>(msg: &T) -> Result<Bytes, ControlError> {
    Ok(Bytes::from(rmp_serde::to_vec(msg)?))
}

/// Reads a control message.
///
/// # Errors
///
/// Fails on bytes that are no such message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ControlError> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Answers a control request of another entry host.
pub async fn serve(gw: &Gateway, req: Request<Incoming>) -> Response<ProxyBody> {
    let body = Limited::new(req.into_body(), MESSAGE_MAX_BYTES);
    let Ok(body) = body.collect().await else {
        return operators::plain(StatusCode::BAD_REQUEST, "the message broke off\n");
    };
    let msg: ControlRequest = match decode(&body.to_bytes()) {
        Ok(msg) => msg,
        Err(e) => return operators::plain(StatusCode::BAD_REQUEST, &format!("{e}\n")),
    };
    let reply = match msg {
        ControlRequest::Probe(target) => probe(gw, target).await,
        msg => gw.host.send(Answer(msg)).await.ok(),
    };
    let Some(reply) = reply else {
        return operators::plain(StatusCode::SERVICE_UNAVAILABLE, "the host is stopping\n");
    };
    match encode(&reply) {
        Ok(bytes) => {
            gw.metrics.control_bytes.inc_by(bytes.len() as u64);
            operators::typed(StatusCode::OK, "application/msgpack", bytes)
        }
        Err(e) => operators::plain(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e}\n")),
    }
}

/// Sends a heartbeat to a host that somebody else could not reach.
async fn probe(gw: &Gateway, target: HostName) -> Option<ControlReply> {
    let prepared = gw
        .host
        .send(crate::host::news::ProbeFor(target))
        .await
        .ok()?;
    let Some((address, beat)) = prepared else {
        return Some(ControlReply::Probed(None));
    };
    let gossip = match call(gw, address, &ControlRequest::Beat(beat), CONTROL_TIMEOUT).await {
        Ok(ControlReply::Beat(beat)) => gw.host.send(crate::host::news::Heard(beat)).await.ok()?,
        _ => None,
    };
    Some(ControlReply::Probed(gossip))
}

/// Sends a control request to another entry host.
///
/// # Errors
///
/// Fails when no answer comes in time, or one that cannot be read.
pub async fn call(
    gw: &Gateway,
    address: SocketAddr,
    msg: &ControlRequest,
    limit: Duration,
) -> Result<ControlReply, ControlError> {
    match timeout(limit, exchange(gw, address, msg)).await {
        Ok(result) => result,
        Err(_) => Err(ControlError::TimedOut(address)),
    }
}

async fn exchange(
    gw: &Gateway,
    address: SocketAddr,
    msg: &ControlRequest,
) -> Result<ControlReply, ControlError> {
    let bytes = encode(msg)?;
    gw.metrics.control_bytes.inc_by(bytes.len() as u64);
    let mut req = Request::new(full(bytes));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::from_static(wire::CONTROL_PREFIX);
    gw.fleet_secret.show(req.headers_mut());
    crate::gateway::head::set(req.headers_mut(), "host", address);
    let exchange = gw.connections.send(address, req).await?;
    let status = exchange.res.status();
    if status != StatusCode::OK {
        return Err(ControlError::Refused {
            address,
            status: status.as_u16(),
        });
    }
    let body = Limited::new(exchange.res.into_body(), MESSAGE_MAX_BYTES);
    let body = body
        .collect()
        .await
        .map_err(|_| ControlError::Broken(address))?;
    exchange.lease.give_back();
    decode(&body.to_bytes())
}
