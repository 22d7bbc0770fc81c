//! The daemon of an entry host: binds its addresses, starts its actor and
//! tasks, and stops gracefully.

use std::{
    io::{
        self,
        Write, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwapOption;
use hyper::{
    Request,
    body::Incoming, //
};
use thiserror::Error;
use tokio::{
    net::TcpListener,
    sync::{
        mpsc,
        watch, //
    },
    time::Instant,
};
use xtra::Mailbox;

use crate::{
    agent,
    connection::Connections,
    control,
    credential::StalePolicy,
    gateway::{
        FleetSecret,
        Gateway,
        keys::ValidKeys,
        lookup, //
    },
    host::{
        Host,
        HostConfig, //
        message::{
            Leave,
            ReturnLoans, //
        },
    },
    listener,
    lookup::TTL,
    metrics::Metrics,
    operators,
    options::EntryOptions,
    process::{
        BindError,
        bind_tcp,
        incarnation,
        wait_for_stop_signal, //
    },
    store::http::HttpStore,
    trace::{
        TraceError,
        Tracing, //
    },
    wire, //
};

/// Interval between checks for requests in flight during shutdown.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time allowed at shutdown for returned loans and the last heartbeats to reach other hosts.
const LOAN_RETURN_TIME: Duration = Duration::from_millis(300);

/// A failure to start the daemon or to wait for its stop signal.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address could not be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The fleet secret is not a valid header value.
    #[error("the fleet secret holds bytes that a header cannot carry; use printable ASCII")]
    FleetSecret,
    /// Tracing could not be set up.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// Writing to standard output, reading a local address or installing a signal handler failed.
    #[error("the process could not be set up: {0}")]
    Process(#[from] io::Error),
}

/// The bound listeners of a host.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Runs an entry host until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// Fails when an address cannot be bound or the process cannot be set up.
pub async fn run(cfg: EntryOptions) -> Result<(), EntryError> {
    let listeners = Listeners {
        callers: bind_tcp("callers", cfg.callers).await?,
        peers: bind_tcp("peers", cfg.peers).await?,
        operators: bind_tcp("operators", cfg.operators).await?,
    };
    let gw = start(&cfg, &listeners)?;
    let mut stdout = io::stdout();
    writeln!(
        stdout,
        "ready callers={} peers={} operators={}",
        listeners.callers.local_addr()?,
        listeners.peers.local_addr()?,
        listeners.operators.local_addr()?
    )?;
    stdout.flush()?;
    serve(gw, listeners).await
}

/// Starts the host's actor and background tasks.
fn start(cfg: &EntryOptions, listeners: &Listeners) -> Result<Arc<Gateway>, EntryError> {
    let started = Instant::now();
    let incarnation = incarnation();
    let metrics = Arc::new(Metrics::new());
    let index = Arc::new(ArcSwapOption::empty());
    let region = Arc::new(ArcSwapOption::empty());
    let keys = Arc::new(ValidKeys::new());
    let table = Arc::new(ArcSwapOption::empty());
    let (io_tasks, io_tasks_rx) = mpsc::unbounded_channel();
    let secret =
        FleetSecret::new(cfg.fleet_secret.expose().as_bytes()).ok_or(EntryError::FleetSecret)?;
    let connections = Connections::new();
    let host = Host::new(HostConfig {
        name: cfg.name.clone(),
        zone: cfg.zone.clone(),
        callers: listeners.callers.local_addr()?,
        peers: listeners.peers.local_addr()?,
        incarnation,
        started,
        stale_policy: StalePolicy::default(),
        index: index.clone(),
        table: table.clone(),
        region: region.clone(),
        keys: keys.clone(),
        metrics: metrics.clone(),
        io_tasks,
        seed: rand::random(),
    });
    let host = xtra::spawn_tokio(host, Mailbox::unbounded());
    let gw = Arc::new(Gateway {
        name: cfg.name.clone(),
        incarnation,
        started,
        host,
        index,
        table,
        keys,
        connections,
        tracing: Tracing::new(&cfg.name, cfg.collector.as_deref())?,
        metrics,
        fleet_secret: Arc::new(secret),
        region,
    });
    let store = HttpStore::new(cfg.store, cfg.name.as_str());
    let (zone, seeds) = (cfg.zone.clone(), cfg.seeds.clone());
    agent::spawn(gw.clone(), Arc::new(store), zone, seeds, io_tasks_rx);
    log::info!(
        event = "started",
        host:% = cfg.name,
        zone:% = cfg.zone,
        incarnation:%;
        ""
    );
    Ok(gw)
}

/// Serves the listeners until a stop signal and shuts down: leaves the fleet, waits for the
/// requests in flight and returns the loans.
async fn serve(gw: Arc<Gateway>, listeners: Listeners) -> Result<(), EntryError> {
    let (stop_tx, stop_rx) = watch::channel(false);
    let callers = tokio::spawn(listener::serve(listeners.callers, stop_rx.clone(), {
        let gw = gw.clone();
        move |req, client| serve_caller(gw.clone(), req, client)
    }));
    // Peers and operators are served until the end of the shutdown; their stop channel is never
    // signalled.
    let (_peers_stop_tx, peers_stop_rx) = watch::channel(false);
    let peers = tokio::spawn(listener::serve(listeners.peers, peers_stop_rx.clone(), {
        let gw = gw.clone();
        move |req, _| serve_peer(gw.clone(), req)
    }));
    let operators = tokio::spawn(listener::serve(listeners.operators, peers_stop_rx, {
        let gw = gw.clone();
        move |req, _| operators::serve(gw.clone(), req)
    }));
    wait_for_stop_signal().await?;
    leave(&gw, &stop_tx).await;
    if let Err(e) = callers.await {
        log::error!(event = "listener-failed", cause:% = e; "");
    }
    while gw.metrics.in_flight.get() > 0 {
        tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
    }
    if gw.host.send(ReturnLoans).await.is_err() {
        log::error!(event = "actor-gone", host:% = gw.name; "");
    }
    tokio::time::sleep(LOAN_RETURN_TIME).await;
    peers.abort();
    operators.abort();
    gw.tracing.shutdown();
    log::info!(event = "stopped", host:% = gw.name; "");
    Ok(())
}

/// Leaves the fleet and stops accepting callers after a delay.
///
/// Look-ups stop returning this host at once. Callers may still hold an earlier look-up answer, so
/// they are served until its time to live has passed.
async fn leave(gw: &Gateway, stop_tx: &watch::Sender<bool>) {
    log::info!(event = "leaving", host:% = gw.name; "");
    if gw.host.send(Leave).await.is_err() {
        log::error!(event = "actor-gone", host:% = gw.name; "");
    }
    tokio::time::sleep(TTL).await;
    stop_tx.send_replace(true);
}

/// Handles a request on the callers' address: a look-up, or a request to forward.
async fn serve_caller(
    gw: Arc<Gateway>,
    req: Request<Incoming>,
    client: SocketAddr,
) -> hyper::Response<crate::body::ProxyBody> {
    if req.uri().path() == wire::LOOKUP_PATH {
        return lookup::serve(&gw, &req, client.ip());
    }
    gw.serve_caller(req).await
}

/// Handles a request of another entry host: a control message, or a forwarded request.
///
/// Refuses requests without the fleet secret.
async fn serve_peer(
    gw: Arc<Gateway>,
    req: Request<Incoming>,
) -> hyper::Response<crate::body::ProxyBody> {
    if !gw.fleet_secret.is_presented_in(req.headers()) {
        log::warn!(event = "stranger-refused", path:% = req.uri().path(); "");
        return operators::text_response(
            hyper::StatusCode::FORBIDDEN,
            "this address is for entry hosts of the fleet\n",
        );
    }
    if req.uri().path().starts_with(wire::CONTROL_PREFIX) {
        return control::serve(&gw, req).await;
    }
    gw.serve_peer(req).await
}
