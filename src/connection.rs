//! HTTP/1.1 connections to upstreams and to other entry hosts.
//!
//! A connection returns to its pool only after its answer was read to the end. If an
//! answer is dropped earlier, its connection is closed.

mod idle_resets;
mod limited_stream;

use std::{
    collections::HashMap,
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::{
        Body,
        Incoming, //
    },
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
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::{
        Instant,
        timeout, //
    },
};

pub use self::idle_resets::IdleResetDetector;
use self::limited_stream::{
    HEAD_MAX_BYTES,
    LimitedStream,
    ReadLimit,
    UnacknowledgedLimit, //
};
use crate::{
    body::ProxyBody,
    held_bytes::HeldBytes,
    util::time::SaturatingAdd, //
};

/// The most idle connections kept for one address.
const IDLE_PER_ADDRESS_MAX: usize = 64;
/// How long a connection may be idle and still be reused, unless it is given back for less or
/// more time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The time limit for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long sent data may stay unacknowledged before the connection fails, in milliseconds.
const UNACKNOWLEDGED_MAX_MS: u32 = 3000;
/// Length of a body in bytes from which this limit does not apply. The system also applies it to a
/// peer that reads slowly and so keeps its receive window closed; the buffers of the sockets hold a
/// shorter body.
const SLOWLY_READ_BODY_MIN: u64 = 16 * 1024;

/// How many bytes of bodies [`Connections::call`] reads at a time by default.
const CALL_BODY_BYTES_DEFAULT: u64 = 64 << 20;

/// A failure to get the head of an answer, by whether the request may have started.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("no connection to {address}: {cause}")]
    NotSent {
        /// The address that the request was meant for.
        address: SocketAddr,
        /// The error of the socket or of the HTTP client.
        cause: String,
        /// The request, to send it again; `None` if it cannot be recovered.
        req: Option<Box<Request<ProxyBody>>>,
    },
    /// At least a part of the request may have been sent, and no answer arrived.
    #[error("the connection to {address} failed after the request was sent: {cause}")]
    Lost {
        /// The address that the request was sent to.
        address: SocketAddr,
        /// The error of the HTTP client.
        cause: String,
    },
}

/// A failure to get a complete answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The answer's head did not arrive.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The connection failed in the answer's body, or the body is larger than allowed.
    #[error("the answer's body is incomplete: {0}")]
    Broken(#[from] hyper::Error),
    /// The body, with those of other calls, is larger than allowed.
    #[error("the answer's body is too large")]
    TooLarge,
}

/// The request sender of one connection, and the limits of its stream.
#[derive(Debug)]
struct Sender {
    requests: SendRequest<ProxyBody>,
    read_limit: ReadLimit,
    unacknowledged: UnacknowledgedLimit,
}

impl Sender {
    fn is_open(&self) -> bool {
        self.requests.is_ready() && !self.requests.is_closed()
    }
}

/// An idle connection, when it became idle, and until when it may be reused.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    idle_since: Instant,
    usable_until: Instant,
}

/// The idle connections and the round-trip time of one address.
#[derive(Debug, Default)]
struct Pool {
    idle: Vec<Idle>,
    /// The shortest time that opening a connection took, as an estimate of the round-trip time.
    round_trip: Option<Duration>,
}

/// Connection pools by address.
#[derive(Clone, Debug)]
pub struct Connections {
    pools: Arc<Mutex<HashMap<SocketAddr, Pool>>>,
    idle_resets: Arc<Mutex<IdleResetDetector>>,
    /// Bytes of the bodies that [`Connections::call`] is reading, of all calls together.
    call_bodies: HeldBytes,
    held: HeldBytes,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            pools: Arc::default(),
            idle_resets: Arc::default(),
            call_bodies: HeldBytes::new(CALL_BODY_BYTES_DEFAULT),
            held: HeldBytes::default(),
        }
    }
}

/// An answer and the lease of the connection that it arrives on.
#[derive(Debug)]
pub struct Exchange {
    /// The answer, whose body is still to be read.
    pub res: Response<Incoming>,
    /// The connection, to be given back after the end of the body.
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
        self.give_back_for(IDLE_TIMEOUT);
    }

    /// Gives the connection back, to be reused within `idle_max`.
    pub fn give_back_for(self, idle_max: Duration) {
        if self.sender.requests.is_closed() {
            return;
        }
        self.sender.read_limit.end_answer();
        let mut pools = self.connections.lock_pools();
        let idle = &mut pools.entry(self.address).or_default().idle;
        if idle.len() < IDLE_PER_ADDRESS_MAX {
            let idle_since = Instant::now();
            idle.push(Idle {
                sender: self.sender,
                idle_since,
                usable_until: idle_since.saturating_add(idle_max),
            });
        }
    }
}

impl Connections {
    /// Creates empty pools.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how many bytes of bodies [`Connections::call`] reads, in all calls at a time together.
    pub fn with_call_body_max(mut self, bytes: usize) -> Self {
        self.call_bodies = HeldBytes::new(bytes as u64);
        self
    }

    /// Counts the bytes that new connections buffer in `held`. While that is full, a connection
    /// fails that receives a long head.
    pub fn with_held_bytes(mut self, held: HeldBytes) -> Self {
        self.held = held;
        self
    }

    /// Locks the pools. A panic of another task leaves them usable: every change of a pool is a
    /// single insertion or removal.
    fn lock_pools(&self) -> MutexGuard<'_, HashMap<SocketAddr, Pool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_idle_resets(&self) -> MutexGuard<'_, IdleResetDetector> {
        self.idle_resets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock_pools().remove(&address);
    }

    /// Sends a request on an idle or a new connection.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] guarantees that the other side received nothing of the request.
    /// After [`SendError::Lost`] the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut req: Request<ProxyBody>,
    ) -> Result<Exchange, SendError> {
        while let Some((sender, idle_time)) = self.take_idle(address) {
            let sent = Instant::now();
            match self.exchange(address, sender, req).await {
                Err(SendError::NotSent { req: Some(r), .. }) => req = *r,
                Err(e) => {
                    self.record_idle_loss(address, idle_time, sent.elapsed());
                    return Err(e);
                }
                Ok(exchange) => {
                    self.lock_idle_resets().record_answer(idle_time);
                    return Ok(exchange);
                }
            }
        }
        let start = Instant::now();
        let sender = match connect(address, self.held.clone()).await {
            Ok(sender) => sender,
            Err(cause) => {
                return Err(SendError::NotSent {
                    address,
                    cause,
                    req: Some(Box::new(req)),
                });
            }
        };
        self.record_connect_time(address, start.elapsed());
        self.exchange(address, sender, req).await
    }

    fn record_connect_time(&self, address: SocketAddr, took: Duration) {
        let mut pools = self.lock_pools();
        let round_trip = &mut pools.entry(address).or_default().round_trip;
        *round_trip = Some(round_trip.map_or(took, |shortest| shortest.min(took)));
    }

    /// Records that a request on a connection that had been idle for `idle_time` failed without
    /// an answer, after `waited`.
    fn record_idle_loss(&self, address: SocketAddr, idle_time: Duration, waited: Duration) {
        let round_trip = self.lock_pools().get(&address).and_then(|p| p.round_trip);
        if let Some(round_trip) = round_trip {
            let now = Instant::now();
            self.lock_idle_resets()
                .record_loss(now, idle_time, waited, round_trip);
        }
    }

    /// Sends a request with `address` as its `host` header and reads the answer to the end.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives, or if its body is incomplete or too large.
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
        let bytes = self.read_call_body(body).await?;
        exchange.lease.give_back();
        Ok(Response::from_parts(parts, bytes))
    }

    async fn read_call_body(&self, mut body: Incoming) -> Result<Bytes, CallError> {
        let (mut read, mut holder) = (BytesMut::new(), self.call_bodies.holder());
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if !holder.set((read.len() + data.len()) as u64) {
                return Err(CallError::TooLarge);
            }
            read.extend_from_slice(&data);
        }
        Ok(read.freeze())
    }

    /// Takes the reusable connection that was idle for the shortest time, and returns it with
    /// that time.
    fn take_idle(&self, address: SocketAddr) -> Option<(Sender, Duration)> {
        let idle_resets = *self.lock_idle_resets();
        let mut pools = self.lock_pools();
        let idle = &mut pools.get_mut(&address)?.idle;
        let now = Instant::now();
        while let Some(Idle {
            sender,
            idle_since,
            usable_until,
        }) = idle.pop()
        {
            let idle_time = now.saturating_duration_since(idle_since);
            if sender.is_open() && usable_until > now && idle_resets.allows_reuse(now, idle_time) {
                return Some((sender, idle_time));
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
        sender.read_limit.limit_head();
        let body_bytes = req.body().size_hint().exact();
        let is_long = body_bytes.is_none_or(|bytes| bytes >= SLOWLY_READ_BODY_MIN);
        sender
            .unacknowledged
            .set(if is_long { 0 } else { UNACKNOWLEDGED_MAX_MS });
        match sender.requests.try_send_request(req).await {
            Ok(res) if !is_final_status(res.status()) => Err(SendError::Lost {
                address,
                cause: format!("received the invalid status {}", res.status().as_u16()),
            }),
            Ok(res) => {
                sender.read_limit.lift_limit();
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

/// Returns whether a status ends an exchange with a meaning that a caller can act on. No request
/// asks to switch protocols (101), and HTTP defines no class of statuses above 599.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether an address refuses connections, that is, no process listens on it.
pub async fn is_refused(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}

async fn connect(address: SocketAddr, held: HeldBytes) -> Result<Sender, String> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(e.to_string()),
        Err(_) => return Err("connecting timed out".to_owned()),
    };
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let read_limit = ReadLimit::new(held);
    let unacknowledged = UnacknowledgedLimit::default();
    let stream = LimitedStream::new(stream, read_limit.clone(), unacknowledged.clone());
    let (requests, connection) = http1::Builder::new()
        .max_buf_size(HEAD_MAX_BYTES)
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
        read_limit,
        unacknowledged,
    })
}
