//! Sends one kind of request over a fixed number of connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{
    BodyExt,
    Empty, //
};
use hyper::{
    Request,
    StatusCode, //
    client::conn::http1::{
        SendRequest,
        handshake, //
    },
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::Instant, //
};

use super::report::Measurement;
use crate::error::StandinError;

/// The significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;
/// The requests of each connection that are sent first and not measured.
const WARM_UP_REQUESTS: u64 = 200;

/// What is asked for, and where.
#[derive(Clone, Debug)]
pub(super) struct Target {
    address: SocketAddr,
    path: String,
    key: Option<Bytes>,
}

impl Target {
    pub(super) fn new(address: SocketAddr, path: &str) -> Self {
        Self {
            address,
            path: path.to_owned(),
            key: None,
        }
    }

    pub(super) fn with_key(mut self, key: &Bytes) -> Self {
        self.key = Some(key.clone());
        self
    }

    fn request(&self) -> Result<Request<Empty<Bytes>>, hyper::http::Error> {
        let mut req = Request::builder().uri(&self.path);
        req = req.header("host", self.address.to_string());
        if let Some(key) = &self.key {
            req = req.header(cardamomroad::wire::KEY, &key[..]);
        }
        req.body(Empty::new())
    }

    fn failed(&self, cause: impl ToString) -> StandinError {
        StandinError::Call {
            target: format!("{}{}", self.address, self.path),
            cause: cause.to_string(),
        }
    }
}

/// How much is sent to one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) connections: usize,
    pub(super) requests: u64,
    pub(super) time: Duration,
}

impl Load {
    /// Sends until the number of requests or the time is reached.
    pub(super) async fn run(self, target: &Target) -> Result<Measurement, StandinError> {
        let mut connections = Vec::new();
        for _ in 0..self.connections {
            let mut connection = connect(target).await?;
            for _ in 0..WARM_UP_REQUESTS / self.connections as u64 {
                exchange(&mut connection, target).await?;
            }
            connections.push(connection);
        }
        let left = Arc::new(AtomicU64::new(self.requests));
        let started = Instant::now();
        let end = started + self.time;
        let mut running = JoinSet::new();
        for connection in connections {
            let target = target.clone();
            running.spawn(send_until(connection, target, Arc::clone(&left), end));
        }
        let mut measurement = Measurement::new(LATENCY_DIGITS);
        while let Some(ended) = running.join_next().await {
            let (latency, refused) = ended.map_err(|e| target.failed(e))??;
            measurement.add(&latency, refused);
        }
        measurement.elapsed = started.elapsed();
        Ok(measurement)
    }
}

async fn send_until(
    mut connection: SendRequest<Empty<Bytes>>,
    target: Target,
    left: Arc<AtomicU64>,
    end: Instant,
) -> Result<(Histogram<u64>, u64), StandinError> {
    let mut latency = Histogram::new(LATENCY_DIGITS).map_err(|e| target.failed(e))?;
    let mut refused = 0;
    loop {
        let taken = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1));
        if taken.is_err() || Instant::now() >= end {
            return Ok((latency, refused));
        }
        let started = Instant::now();
        let status = exchange(&mut connection, &target).await?;
        if !status.is_success() {
            refused += 1;
            continue;
        }
        let ns = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        latency.record(ns).map_err(|e| target.failed(e))?;
    }
}

async fn connect(target: &Target) -> Result<SendRequest<Empty<Bytes>>, StandinError> {
    let stream = TcpStream::connect(target.address).await;
    let stream = stream.map_err(|e| target.failed(e))?;
    stream.set_nodelay(true).map_err(|e| target.failed(e))?;
    let shaken = handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|e| target.failed(e))?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn exchange(
    connection: &mut SendRequest<Empty<Bytes>>,
    target: &Target,
) -> Result<StatusCode, StandinError> {
    connection.ready().await.map_err(|e| target.failed(e))?;
    let req = target.request().map_err(|e| target.failed(e))?;
    let answer = connection.send_request(req).await;
    let answer = answer.map_err(|e| target.failed(e))?;
    let status = answer.status();
    let body = answer.into_body().collect().await;
    body.map_err(|e| target.failed(e))?;
    Ok(status)
}
