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
    credential::WhenStale,
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
        bind,
        incarnation,
        wait_for_stop, //
    },
    store::http::HttpStore,
    trace::{
        TraceError,
        Tracing, //
    },
    wire, //
};

/// How long running requests are waited for between two looks.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// How long the returned loans and the last heartbeats may take.
const RETURN_TIME: Duration = Duration::from_millis(300);

/// A failure to start or run the daemon.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address could not be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The fleet secret cannot be sent in a header.
    #[error("the fleet secret holds bytes that a header cannot carry; use printable ASCII")]
    FleetSecret,
    /// Traces could not be set up.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// Standard output or a signal handler failed.
    #[error("the process could not be set up: {0}")]
    Process(#[from] io::Error),
}

/// The bound addresses of a host.
struct Bound {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Runs an entry host until it is told to stop.
///
/// # Errors
///
/// Fails when an address cannot be bound or the process cannot be set up.
pub async fn run(cfg: EntryOptions) -> Result<(), EntryError> {
    let bound = Bound {
        callers: bind("callers", cfg.callers).await?,
        peers: bind("peers", cfg.peers).await?,
        operators: bind("operators", cfg.operators).await?,
    };
    let gw = start(&cfg, &bound)?;
    let mut stdout = io::stdout();
    writeln!(
        stdout,
        "ready callers={} peers={} operators={}",
        bound.callers.local_addr()?,
        bound.peers.local_addr()?,
        bound.operators.local_addr()?
    )?;
    stdout.flush()?;
    serve(gw, bound).await
}

fn start(cfg: &EntryOptions, bound: &Bound) -> Result<Arc<Gateway>, EntryError> {
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
        callers: bound.callers.local_addr()?,
        peers: bound.peers.local_addr()?,
        incarnation,
        started,
        when_stale: WhenStale::default(),
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

async fn serve(gw: Arc<Gateway>, bound: Bound) -> Result<(), EntryError> {
    let (stop, stopped) = watch::channel(false);
    let callers = tokio::spawn(listener::serve(bound.callers, stopped.clone(), {
        let gw = gw.clone();
        move |req, client| serve_caller(gw.clone(), req, client)
    }));
    // Other hosts and operators are served until the process ends.
    let (_peers_stop, peers_stopped) = watch::channel(false);
    let peers = tokio::spawn(listener::serve(bound.peers, peers_stopped.clone(), {
        let gw = gw.clone();
        move |req, _| serve_peer(gw.clone(), req)
    }));
    let operators = tokio::spawn(listener::serve(bound.operators, peers_stopped, {
        let gw = gw.clone();
        move |req, _| operators::serve(gw.clone(), req)
    }));
    wait_for_stop().await?;
    leave(&gw, &stop).await;
    if let Err(e) = callers.await {
        log::error!(event = "listener-failed", cause:% = e; "");
    }
    while gw.metrics.in_flight.get() > 0 {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    if gw.host.send(ReturnLoans).await.is_err() {
        log::error!(event = "actor-gone", host:% = gw.name; "");
    }
    tokio::time::sleep(RETURN_TIME).await;
    peers.abort();
    operators.abort();
    gw.tracing.shutdown();
    log::info!(event = "stopped", host:% = gw.name; "");
    Ok(())
}

/// Leaves the fleet: no look-up names this host any more, and callers that
/// hold an earlier answer are served until its time to live is over.
async fn leave(gw: &Gateway, stop: &watch::Sender<bool>) {
    log::info!(event = "leaving", host:% = gw.name; "");
    if gw.host.send(Leave).await.is_err() {
        log::error!(event = "actor-gone", host:% = gw.name; "");
    }
    tokio::time::sleep(TTL).await;
    stop.send_replace(true);
}

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

async fn serve_peer(
    gw: Arc<Gateway>,
    req: Request<Incoming>,
) -> hyper::Response<crate::body::ProxyBody> {
    if !gw.fleet_secret.is_presented_in(req.headers()) {
        log::warn!(event = "stranger-refused", path:% = req.uri().path(); "");
        return operators::plain(
            hyper::StatusCode::FORBIDDEN,
            "this address is for entry hosts of the fleet\n",
        );
    }
    if req.uri().path().starts_with(wire::CONTROL_PREFIX) {
        return control::serve(&gw, req).await;
    }
    gw.serve_peer(req).await
}
