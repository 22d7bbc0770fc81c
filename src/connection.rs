//! HTTP/1.1 connections to upstreams and to other entry hosts.
//!
//! A connection goes back to its pool only after its answer was read to the
//! end. A connection whose answer was abandoned is closed with it.

mod forgetting;
mod metered;

use std::{
    collections::HashMap,
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Request,
    Response,
    body::Incoming, //
    client::conn::http1::{
        self,
        SendRequest, //
    },
    header::{
        HOST,
        HeaderValue, //
    },
};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::{
        Instant,
        timeout, //
    },
};

pub use self::forgetting::Forgetting;
use self::metered::{
    Allowance,
    HEAD_MAX,
    Metered, //
};
use crate::body::ProxyBody;

/// Idle connections that are kept to one address.
const IDLE_PER_ADDRESS: usize = 64;
/// How long a connection may stay idle before it is closed rather than used.
const IDLE_MAX: Duration = Duration::from_secs(5);
/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long sent bytes may stay unacknowledged before the connection fails.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(3);

/// A request that got no answer, by whether it can have started.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request left; it comes back unless its body was lost.
    #[error("no connection to {address}: {cause}")]
    NotSent {
        /// The address that was tried.
        address: SocketAddr,
        /// What failed.
        cause: String,
        /// The request, where it can be sent again.
        req: Option<Box<Request<ProxyBody>>>,
    },
    /// The request or a part of it left, and no answer came.
    #[error("the connection to {address} failed after the request left: {cause}")]
    Lost {
        /// The address that was tried.
        address: SocketAddr,
        /// What failed.
        cause: String,
    },
}

/// A failure to get a whole answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No answer came.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The answer broke off.
    #[error("the answer broke off: {0}")]
    Broken(#[from] hyper::Error),
}

/// The sending end of one connection.
#[derive(Debug)]
struct Sender {
    requests: SendRequest<ProxyBody>,
    allowance: Allowance,
}

impl Sender {
    fn is_open(&self) -> bool {
        self.requests.is_ready() && !self.requests.is_closed()
    }
}

/// An idle connection, since when it rests, and until when it may be used.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
    until: Instant,
}

/// What is known of one address.
#[derive(Debug, Default)]
struct Pool {
    idle: Vec<Idle>,
    /// The shortest time that opening a connection took: a round trip.
    round_trip: Option<Duration>,
}

/// Idle connections by address.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    pools: Arc<Mutex<HashMap<SocketAddr, Pool>>>,
    forgetting: Arc<Mutex<Forgetting>>,
}

/// An answer and the connection that it came on.
#[derive(Debug)]
pub struct Exchange {
    /// The answer.
    pub res: Response<Incoming>,
    /// The connection, to be given back after the body's end.
    pub lease: ConnectionLease,
}

/// The right to give a connection back. Dropping it closes the connection.
#[derive(Debug)]
pub struct ConnectionLease {
    address: SocketAddr,
    sender: Sender,
    connections: Connections,
}

impl ConnectionLease {
    /// Gives the connection back after its answer was read to the end.
    pub fn give_back(self) {
        self.give_back_for(IDLE_MAX);
    }

    /// Gives the connection back for use within `idle_max`.
    pub fn give_back_for(self, idle_max: Duration) {
        if self.sender.requests.is_closed() {
            return;
        }
        let Ok(mut pools) = self.connections.pools.lock() else {
            return;
        };
        let idle = &mut pools.entry(self.address).or_default().idle;
        if idle.len() < IDLE_PER_ADDRESS {
            let since = Instant::now();
            idle.push(Idle {
                sender: self.sender,
                since,
                until: since + idle_max,
            });
        }
    }
}

impl Connections {
    /// Returns an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        if let Ok(mut pools) = self.pools.lock() {
            pools.remove(&address);
        }
    }

    /// Sends a request on an idle or a new connection.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] proves that the other side never saw the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut req: Request<ProxyBody>,
    ) -> Result<Exchange, SendError> {
        while let Some((sender, rested)) = self.take_idle(address) {
            let sent = Instant::now();
            match self.exchange(address, sender, req).await {
                Err(SendError::NotSent { req: Some(r), .. }) => req = *r,
                Err(e) => {
                    self.note_loss(address, rested, sent.elapsed());
                    return Err(e);
                }
                Ok(exchange) => {
                    if let Ok(mut forgetting) = self.forgetting.lock() {
                        forgetting.answered(rested);
                    }
                    return Ok(exchange);
                }
            }
        }
        let start = Instant::now();
        let sender = match connect(address).await {
            Ok(sender) => sender,
            Err(cause) => {
                return Err(SendError::NotSent {
                    address,
                    cause,
                    req: Some(Box::new(req)),
                });
            }
        };
        self.note_opening(address, start.elapsed());
        self.exchange(address, sender, req).await
    }

    fn note_opening(&self, address: SocketAddr, took: Duration) {
        if let Ok(mut pools) = self.pools.lock() {
            let round_trip = &mut pools.entry(address).or_default().round_trip;
            *round_trip = Some(round_trip.map_or(took, |least| least.min(took)));
        }
    }

    /// Notes that a request got no answer for `waited` on a connection that had rested.
    fn note_loss(&self, address: SocketAddr, rested: Duration, waited: Duration) {
        let round_trip = match self.pools.lock() {
            Ok(pools) => pools.get(&address).and_then(|p| p.round_trip),
            Err(_) => None,
        };
        if let (Some(round_trip), Ok(mut forgetting)) = (round_trip, self.forgetting.lock()) {
            forgetting.lost(Instant::now(), rested, waited, round_trip);
        }
    }

    /// Sends a request that names no host yet and reads its answer to the end.
    ///
    /// # Errors
    ///
    /// Fails where no answer comes, or none that is whole.
    pub async fn call(
        &self,
        address: SocketAddr,
        mut req: Request<ProxyBody>,
    ) -> Result<Response<Bytes>, CallError> {
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            req.headers_mut().insert(HOST, host);
        }
        let exchange = self.send(address, req).await?;
        let (parts, body) = exchange.res.into_parts();
        let bytes = body.collect().await?.to_bytes();
        exchange.lease.give_back();
        Ok(Response::from_parts(parts, bytes))
    }

    /// Takes the connection that rested least, with the time that it rested.
    fn take_idle(&self, address: SocketAddr) -> Option<(Sender, Duration)> {
        let forgetting = *self.forgetting.lock().ok()?;
        let mut pools = self.pools.lock().ok()?;
        let idle = &mut pools.get_mut(&address)?.idle;
        let now = Instant::now();
        while let Some(Idle {
            sender,
            since,
            until,
        }) = idle.pop()
        {
            let rested = now.saturating_duration_since(since);
            if sender.is_open() && until > now && forgetting.allows(now, rested) {
                return Some((sender, rested));
            }
        }
        None
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        req: Request<ProxyBody>,
    ) -> Result<Exchange, SendError> {
        sender.allowance.for_head();
        match sender.requests.try_send_request(req).await {
            Ok(res) => {
                sender.allowance.for_body();
                Ok(Exchange {
                    res,
                    lease: ConnectionLease {
                        address,
                        sender,
                        connections: self.clone(),
                    },
                })
            }
            Err(mut e) => {
                let unsent = e.take_message();
                let cause = e.into_error().to_string();
                match unsent {
                    Some(req) => Err(SendError::NotSent {
                        address,
                        cause,
                        req: Some(Box::new(req)),
                    }),
                    None => Err(SendError::Lost { address, cause }),
                }
            }
        }
    }
}

/// Returns whether nothing listens at an address: the other side refuses a connection.
pub async fn is_refused(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}

async fn connect(address: SocketAddr) -> Result<Sender, String> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(e.to_string()),
        Err(_) => return Err("connecting timed out".to_owned()),
    };
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let unacknowledged_ms = u32::try_from(UNACKNOWLEDGED_MAX.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(&stream, unacknowledged_ms).map_err(|e| e.to_string())?;
    let allowance = Allowance::new();
    let stream = Metered::new(stream, allowance.clone());
    let (requests, connection) = http1::Builder::new()
        .max_buf_size(HEAD_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!(event = "connection-closed", address:% = address, cause:% = e; "");
        }
    });
    Ok(Sender {
        requests,
        allowance,
    })
}
