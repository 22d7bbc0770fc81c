//! The HTTP/1.1 server of an upstream.

use std::{
    fmt::Write as _,
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use cardamomroad::wire;
use http_body_util::{
    BodyExt,
    Either,
    Full, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::OwnedSemaphorePermit,
    time::{
        Instant,
        sleep, //
    },
};

use super::{
    CRASH_EXIT_CODE,
    Options,
    Upstream,
    answer_body::AnswerBody,
    behaviour::{
        Behaviour,
        header, //
    },
    log::{
        Ending,
        Entry, //
    },
    reports::{
        Health,
        HealthAnswer,
        Load,
        ReportMode, //
    },
    scan::ScannedStream, //
};
use crate::{
    error::{
        DropReason,
        StandinError, //
    },
    http::{
        Answer,
        answer,
        json, //
    },
    process,
    receipt::{
        BodyDigest,
        Receipt, //
    },
};

type Reply = Response<Either<AnswerBody, Full<Bytes>>>;

/// Serves gateways until the returned future is dropped.
pub async fn serve(listener: TcpListener, upstream: Arc<Upstream>) {
    let mut connection = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if !upstream.options.connect_cost.is_zero() {
            sleep(upstream.options.connect_cost).await;
        }
        if !upstream.open_connection() {
            continue;
        }
        connection += 1;
        let upstream = Arc::clone(&upstream);
        tokio::spawn(serve_connection(stream, connection, upstream));
    }
}

/// Serves an upstream on a loopback port, for tests inside one process.
pub async fn spawn(options: Options) -> Result<(Arc<Upstream>, SocketAddr), StandinError> {
    let listener = process::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = process::local_address(&listener)?;
    let upstream = Upstream::new(options);
    tokio::spawn(serve(listener, Arc::clone(&upstream)));
    Ok((upstream, address))
}

async fn serve_connection(stream: TcpStream, connection: u64, upstream: Arc<Upstream>) {
    // Answers are small: Nagle's algorithm would only delay them.
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(ScannedStream::new(stream, upstream.needles.clone()));
    let service = service_fn(|req| handle(Arc::clone(&upstream), connection, req));
    let mut served = pin!(http1::Builder::new().serve_connection(io, service));
    // A deliberately dropped answer ends the connection with an error, which is expected.
    tokio::select! {
        _ = served.as_mut() => {}
        () = upstream.wait_until(|state| state.stopping) => {
            served.as_mut().graceful_shutdown();
            let _ = served.await;
        }
    }
    upstream.update(|state| state.log.counts.connections_open -= 1);
}

/// Tracks a request from its arrival to its end. A drop before [`RequestRun::end`]
/// counts the request as cancelled.
pub(super) struct RequestRun {
    upstream: Arc<Upstream>,
    seq: u64,
    permit: Option<OwnedSemaphorePermit>,
    received: u64,
    ended: bool,
}

impl RequestRun {
    fn new(upstream: Arc<Upstream>, entry: Entry) -> Self {
        let seq = upstream.update(|state| state.log.arrived(entry));
        Self {
            upstream,
            seq,
            permit: None,
            received: 0,
            ended: false,
        }
    }

    fn start(&mut self, permit: OwnedSemaphorePermit, id: &str) {
        self.permit = Some(permit);
        self.upstream.update(|state| {
            state.log.started(self.seq, id);
            let in_flight = state.log.counts.in_flight;
            state.load.record(Instant::now(), in_flight);
        });
    }

    fn receive(&mut self, bytes: u64) {
        self.received += bytes;
        self.upstream
            .update(|state| state.log.counts.received += bytes);
    }

    /// Records the end and frees the slot; only the first call has an effect.
    pub(super) fn end(&mut self, ending: Ending) {
        if self.ended {
            return;
        }
        self.ended = true;
        let permit = self.permit.take();
        self.upstream.update(|state| {
            let ran = permit.is_some();
            state.log.ended(self.seq, ran, ending, self.received);
            let in_flight = state.log.counts.in_flight;
            state.load.record(Instant::now(), in_flight);
        });
        drop(permit);
    }
}

impl Drop for RequestRun {
    fn drop(&mut self) {
        self.end(Ending::Cancelled);
    }
}

async fn handle(
    upstream: Arc<Upstream>,
    connection: u64,
    req: Request<Incoming>,
) -> Result<Reply, DropReason> {
    match req.uri().path() {
        "/.health" => return Ok(upstream.report(true).await.map(Either::Right)),
        "/.load" => return Ok(upstream.report(false).await.map(Either::Right)),
        _ => {}
    }
    let entry = entry(connection, &req);
    let (switches, previous_token) = upstream.update(|state| {
        let token = entry.token.clone();
        let previous = std::mem::replace(&mut state.previous_token, token);
        (state.switches.clone(), previous)
    });
    let behaviour = switches.behaviour;
    let behaviour = behaviour.for_request(req.uri().path(), req.headers());
    let mut receipt = receipt(&upstream, &entry, &behaviour);
    if behaviour.crossed {
        receipt.token = previous_token;
    }
    let mut run = RequestRun::new(Arc::clone(&upstream), entry);
    if switches.drain {
        run.end(Ending::Draining);
        return Ok(not_started("draining"));
    }
    let Some(permit) = upstream.acquire_slot(&behaviour).await else {
        run.end(Ending::Shed);
        return Ok(not_started("shed"));
    };
    run.start(permit, &receipt.id);
    if behaviour.crash {
        run.end(Ending::Crashed);
        std::process::exit(CRASH_EXIT_CODE);
    }
    let method = req.method().clone();
    read_body(req.into_body(), &mut run, &mut receipt).await?;
    upstream.simulate_work(&behaviour).await;
    Ok(reply(&method, &receipt, behaviour, run))
}

fn reply(method: &Method, receipt: &Receipt, behaviour: Behaviour, mut run: RequestRun) -> Reply {
    let status = StatusCode::from_u16(behaviour.status).unwrap_or(StatusCode::OK);
    if method == Method::HEAD {
        run.end(Ending::Answered);
        return answer(status, "").map(Either::Right);
    }
    let body = AnswerBody::new(receipt, behaviour, run);
    let mut reply = Response::new(Either::Left(body));
    *reply.status_mut() = status;
    reply
}

fn not_started(reason: &'static str) -> Reply {
    let mut refusal = answer(StatusCode::SERVICE_UNAVAILABLE, reason);
    let reason = hyper::header::HeaderValue::from_static(reason);
    refusal.headers_mut().insert(wire::NOT_STARTED, reason);
    refusal.map(Either::Right)
}

/// Reads the whole request body and enters its length and digest in the receipt.
async fn read_body(
    mut body: Incoming,
    run: &mut RequestRun,
    receipt: &mut Receipt,
) -> Result<(), DropReason> {
    let mut body_digest = BodyDigest::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| DropReason::Cut)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        body_digest.add(data);
        run.receive(data.len() as u64);
    }
    receipt.received = body_digest.length();
    receipt.received_digest = body_digest.digest();
    Ok(())
}

fn entry(connection: u64, req: &Request<Incoming>) -> Entry {
    let text = |name: &str| {
        let value = req.headers().get(name);
        let value = value.map(|v| String::from_utf8_lossy(v.as_bytes()).into_owned());
        value.unwrap_or_default()
    };
    Entry {
        connection,
        head: head(req),
        method: req.method().to_string(),
        path: path_and_query(req),
        id: text(wire::REQUEST_ID),
        organisation: text(wire::ORGANISATION),
        token: header(req.headers(), "token")
            .unwrap_or_default()
            .to_owned(),
        ..Entry::default()
    }
}

fn head(req: &Request<Incoming>) -> String {
    let mut head = format!("{} {} {:?}\n", req.method(), req.uri(), req.version());
    for (name, value) in req.headers() {
        let value = String::from_utf8_lossy(value.as_bytes());
        // Writing to a `String` never fails.
        let _ = writeln!(head, "{name}: {value}");
    }
    head
}

fn path_and_query(req: &Request<Incoming>) -> String {
    let path = req.uri().path_and_query();
    path.map(ToString::to_string).unwrap_or_default()
}

fn receipt(upstream: &Upstream, entry: &Entry, behaviour: &Behaviour) -> Receipt {
    Receipt {
        upstream: upstream.options.name.clone(),
        token: entry.token.clone(),
        id: entry.id.clone(),
        organisation: entry.organisation.clone(),
        method: entry.method.clone(),
        path: entry.path.clone(),
        filler: behaviour.length,
        ..Receipt::default()
    }
}

impl Upstream {
    /// Counts a new connection and returns true, or returns false if the limit is reached.
    fn open_connection(&self) -> bool {
        self.update(|state| {
            let counts = &mut state.log.counts;
            if counts.connections_open >= self.options.connections {
                counts.connections_refused += 1;
                return false;
            }
            counts.connections += 1;
            counts.connections_open += 1;
            counts.connections_peak = counts.connections_peak.max(counts.connections_open);
            true
        })
    }

    /// Acquires a slot, waiting in the queue if it has room. Returns `None` if the request is to be shed.
    async fn acquire_slot(&self, behaviour: &Behaviour) -> Option<OwnedSemaphorePermit> {
        if behaviour.shed {
            return None;
        }
        if let Ok(permit) = Arc::clone(&self.slots).try_acquire_owned() {
            return Some(permit);
        }
        let _queue_permit = self.queue.try_acquire().ok()?;
        Arc::clone(&self.slots).acquire_owned().await.ok()
    }

    /// Waits for the request's simulated running time and for the release of its hold.
    async fn simulate_work(&self, behaviour: &Behaviour) {
        let time = Duration::from_millis(behaviour.delay_ms) + self.cold_extra();
        if !time.is_zero() {
            sleep(time).await;
        }
        let Some(name) = &behaviour.hold else {
            return;
        };
        self.wait_until(|state| state.released.contains(name)).await;
    }

    /// Answers `/.health` if `health` is true, otherwise `/.load`.
    async fn report(&self, health: bool) -> Answer {
        let switches = self.update(|state| {
            state.log.counts.reports += 1;
            state.switches.clone()
        });
        match switches.reports {
            ReportMode::Down => return answer(StatusCode::SERVICE_UNAVAILABLE, "down"),
            ReportMode::Hang => {
                self.wait_until(|s| s.switches.reports != ReportMode::Hang)
                    .await
            }
            ReportMode::Live | ReportMode::Lagging(_) | ReportMode::Fixed(_) => {}
        }
        if health {
            let state = switches.health.unwrap_or_else(|| self.health());
            return json(&HealthAnswer { state });
        }
        json(&self.load(switches.reports))
    }

    fn health(&self) -> Health {
        if self.state().switches.drain {
            return Health::Draining;
        }
        if self.is_cold() {
            return Health::Cold;
        }
        Health::Ready
    }

    fn load(&self, reports: ReportMode) -> Load {
        let state = self.state();
        let in_flight = match reports {
            ReportMode::Fixed(load) => return load,
            ReportMode::Lagging(ms) => {
                let lag = Duration::from_millis(ms);
                state.load.before(Instant::now(), lag)
            }
            ReportMode::Live | ReportMode::Down | ReportMode::Hang => state.log.counts.in_flight,
        };
        Load {
            in_flight,
            slots: self.options.slots,
        }
    }
}
