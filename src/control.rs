//! Control messages between entry hosts, sent over HTTP with MessagePack bodies.

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
        object::ConfigSet, //
    },
    connection::SendError,
    credential::{
        WithdrawnPage, //
        WithdrawnRequest,
    },
    gateway::Gateway,
    host::heartbeats::HandleControl,
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

/// The timeout of a control call, except for configuration transfers.
pub const CONTROL_TIMEOUT: Duration = Duration::from_millis(800);
/// The timeout of a control call that transfers a configuration.
pub const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(30);
/// The largest accepted body of a control message.
const MESSAGE_MAX_BYTES: usize = 64 << 20;

/// A host's load of one service, as sent to other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The name of the service.
    pub service: ServiceName,
    /// The host's free slots of the service's pool in its zone; zero while it is leaving.
    pub free: u32,
    /// The host's usable slots of that pool, including those in use.
    pub usable: u32,
    /// Requests from other regions that upstreams of this host are running.
    pub foreign: u32,
    /// Requests in flight that entered at this host, wherever they are served.
    pub entered: u32,
    /// Bytes per second of requests that entered at this host, towards the upstreams.
    pub bytes_in: u64,
    /// Bytes per second of their responses, back to the callers.
    pub bytes_out: u64,
}

/// A heartbeat together with the sender's loads and summaries of its ledgers and plans.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// The heartbeat of the membership protocol.
    pub heartbeat: Heartbeat,
    /// The sender's load of each service of its zone.
    pub loads: SmallVec<[ServiceLoad; 4]>,
    /// The wrapping sum of the revisions of all ledgers that the sender has; a difference
    /// makes the receiver request ledgers.
    pub ledgers: u64,
    /// The wrapping sum of `(term << 32) + number` over all plans that the sender has; a
    /// difference makes the receiver request plans.
    pub plans: u64,
    /// Whether the sender is stopping and has released its shares.
    pub released: bool,
}

/// The revision of one ledger that the sender has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRevision {
    /// The zone of the ledger.
    pub zone: ZoneName,
    /// The latest revision of it that the sender has.
    pub revision: Revision,
}

/// A control request from one entry host to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlRequest {
    /// A heartbeat; the receiver answers with its own.
    Beat(Box<HeartbeatMessage>),
    /// Requests an indirect probe: the receiver sends a heartbeat to the named host.
    Probe(HostName),
    /// Requests a loan or returns one.
    Loan(LoanMessage),
    /// Requests a configuration newer than this generation; `None` if the sender has none.
    Configuration(Option<Generation>),
    /// Requests withdrawn keys that the sender may lack.
    Withdrawn(WithdrawnRequest),
    /// Sends quarantine entries; the receiver answers with its own.
    Suspects(Vec<SuspectEntry>),
    /// Requests the ledgers that are newer than these.
    Ledgers(Vec<LedgerRevision>),
    /// Requests all plans that the receiver has.
    Plans,
}

/// The answer to a request for the configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Configuration {
    /// The answering host has no newer generation, or none at all.
    Same,
    /// Deltas in order; the first applies to the requesting host's generation.
    Deltas(Vec<Delta>),
    /// A complete set and its generation.
    Whole(Generation, Box<ConfigSet>),
}

/// Ledgers, and the state of the sender's own zone ledger.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ledgers {
    /// The zone of the host that answers.
    pub zone: ZoneName,
    /// Whether the sender currently computes its shares from its zone's ledger.
    pub counts: bool,
    /// The revision of the zone ledger that the sender uses.
    pub revision: Revision,
    /// The ledgers that are newer than the requested revisions.
    pub ledgers: Vec<Ledger>,
}

/// The answer to a [`ControlRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlReply {
    /// The answering host's heartbeat.
    Beat(Box<HeartbeatMessage>),
    /// The gossip about the probed host; `None` if the probe failed.
    Probed(Option<Gossip>),
    /// The reply to a loan request; `None` if the request was outdated.
    Loan(Option<LoanReply>),
    /// The request was processed and has no result.
    Done,
    /// The requested configuration.
    Configuration(Configuration),
    /// A page of withdrawn keys.
    Withdrawn(WithdrawnPage),
    /// The answering host's quarantine entries.
    Suspects(Vec<SuspectEntry>),
    /// The requested ledgers.
    Ledgers(Ledgers),
    /// All plans that the answering host has.
    Plans(Vec<Plan>),
}

/// A failure of a control call.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The message could not be encoded as MessagePack.
    #[error("the control message could not be written: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are not a valid control message.
    #[error("the control message could not be read: {0}; do both hosts run the same version?")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The request could not be sent, or no response headers arrived.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The response body was incomplete or too large.
    #[error("the control response from {0} is incomplete or too large")]
    Broken(SocketAddr),
    /// The call exceeded its time limit.
    #[error("{0} did not answer the control message within the time limit")]
    TimedOut(SocketAddr),
    /// The host answered with a status other than 200.
    #[error(
        "{address} refused the control message with status {status}; check that both hosts use \
         the same fleet secret"
    )]
    Refused {
        /// The address of the host that was called.
        address: SocketAddr,
        /// The HTTP status code.
        status: u16,
    },
}

/// Encodes a control message as MessagePack.
///
/// # Errors
///
/// Fails when the message cannot be serialised.
pub fn encode<T: Serialize>(msg: &T) -> Result<Bytes, ControlError> {
    Ok(Bytes::from(rmp_serde::to_vec(msg)?))
}

/// Decodes a control message from MessagePack.
///
/// # Errors
///
/// Fails when the bytes are not a valid message of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ControlError> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Handles a control request from another entry host.
pub async fn serve(gw: &Gateway, req: Request<Incoming>) -> Response<ProxyBody> {
    let body = Limited::new(req.into_body(), MESSAGE_MAX_BYTES);
    let Ok(body) = body.collect().await else {
        return operators::text_response(StatusCode::BAD_REQUEST, "the message broke off\n");
    };
    let msg: ControlRequest = match decode(&body.to_bytes()) {
        Ok(msg) => msg,
        Err(e) => return operators::text_response(StatusCode::BAD_REQUEST, &format!("{e}\n")),
    };
    let reply = match msg {
        ControlRequest::Probe(target) => probe(gw, target).await,
        msg => gw.host.send(HandleControl(msg)).await.ok(),
    };
    let Some(reply) = reply else {
        return operators::text_response(StatusCode::SERVICE_UNAVAILABLE, "the host is stopping\n");
    };
    match encode(&reply) {
        Ok(bytes) => {
            gw.metrics.control_bytes.inc_by(bytes.len() as u64);
            operators::response_with_type(StatusCode::OK, "application/msgpack", bytes)
        }
        Err(e) => operators::text_response(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e}\n")),
    }
}

/// Sends a heartbeat to a host on behalf of another host that could not reach it.
async fn probe(gw: &Gateway, target: HostName) -> Option<ControlReply> {
    let prepared = gw
        .host
        .send(crate::host::heartbeats::GetProbe(target))
        .await
        .ok()?;
    let Some((address, beat)) = prepared else {
        return Some(ControlReply::Probed(None));
    };
    let gossip = match call(gw, address, &ControlRequest::Beat(beat), CONTROL_TIMEOUT).await {
        Ok(ControlReply::Beat(beat)) => gw
            .host
            .send(crate::host::heartbeats::ProbeAnswered(beat))
            .await
            .ok()?,
        _ => None,
    };
    Some(ControlReply::Probed(gossip))
}

/// Sends a control request to another entry host.
///
/// # Errors
///
/// Fails when the call exceeds `limit`, the other host refuses the message, or its
/// response cannot be read.
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
    gw.fleet_secret.set_header(req.headers_mut());
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
