//! The background tasks of a host: I/O on behalf of its actor, the periodic tick, and the
//! work of its roles.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    Request,
    Uri, //
};
use tokio::{
    sync::{
        Mutex,
        mpsc::UnboundedReceiver, //
    },
    time::{
        Instant,
        MissedTickBehavior,
        interval,
        timeout, //
    },
};

use crate::{
    adoption::{
        Source,
        Step, //
    },
    body::full,
    config::{
        diff::{
            Delta,
            DeltaError, //
        },
        index::{
            Index,
            IndexError, //
        },
        object::ConfigSet,
    },
    control::{
        self,
        CONFIGURATION_TIMEOUT, //
        CONTROL_TIMEOUT,
        Configuration,
        ControlReply,
        ControlRequest,
    },
    gateway::{
        Gateway,
        head, //
    },
    host::{
        configuration::{
            Adopt,
            FetchFailed,
            HeadConfirmed,
            HeadRead, //
        },
        heartbeats::{
            ControlResult,
            HostsRead,
            TICK,
            Tick, //
        },
        io_task::IoTask,
    },
    plan_publisher,
    publish::{
        self,
        reader::{
            Reader,
            Update, //
        },
    },
    relay,
    store::ObjectStore,
    util::id::{
        Generation,
        HostName,
        Version,
        ZoneName, //
    },
};

/// How long each phase of a health or load query to an upstream may take: until the
/// response headers arrive, and then until the body has been read.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Spawns the tasks that serve the host actor.
pub fn spawn<S: ObjectStore>(
    gw: Arc<Gateway>,
    store: Arc<S>,
    zone: ZoneName,
    seeds: Vec<SocketAddr>,
    io_tasks: UnboundedReceiver<IoTask>,
) {
    tokio::spawn(run_ticks(gw.clone()));
    tokio::spawn(contact_seeds(gw.clone(), seeds));
    relay::spawn(gw.clone(), store.clone(), zone);
    plan_publisher::spawn(gw.clone(), store.clone());
    tokio::spawn(run_io_tasks(gw, store, io_tasks));
}

async fn run_ticks(gw: Arc<Gateway>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        if gw.host.send(Tick).await.is_err() {
            return;
        }
    }
}

/// Sends a heartbeat to each seed address, so that a host can join while the store is
/// unavailable.
async fn contact_seeds(gw: Arc<Gateway>, seeds: Vec<SocketAddr>) {
    for address in seeds {
        let Ok(beat) = gw
            .host
            .send(crate::host::heartbeats::GetSeedHeartbeat)
            .await
        else {
            return;
        };
        let msg = ControlRequest::Beat(beat);
        let sent_at = Instant::now();
        let Ok(reply) = control::call(&gw, address, &msg, CONTROL_TIMEOUT).await else {
            continue;
        };
        let ControlReply::Beat(beat) = &reply else {
            continue;
        };
        let to = beat.heartbeat.from.clone();
        let answered = ControlResult {
            to,
            sent_at,
            msg,
            reply: Some(reply),
        };
        if gw.host.send(answered).await.is_err() {
            return;
        }
    }
}

async fn run_io_tasks<S: ObjectStore>(
    gw: Arc<Gateway>,
    store: Arc<S>,
    mut io_tasks: UnboundedReceiver<IoTask>,
) {
    let reader = Arc::new(Mutex::new(Reader::new()));
    while let Some(io_task) = io_tasks.recv().await {
        tokio::spawn(run_io_task(
            gw.clone(),
            store.clone(),
            reader.clone(),
            io_task,
        ));
    }
}

async fn run_io_task<S: ObjectStore>(
    gw: Arc<Gateway>,
    store: Arc<S>,
    reader: Arc<Mutex<Reader>>,
    io_task: IoTask,
) {
    match io_task {
        IoTask::Control { to, address, msg } => send_control(&gw, to, address, msg).await,
        IoTask::Adoption(step) => run_adoption_step(&gw, &*store, &reader, step).await,
        IoTask::ReadHosts => read_host_list(&gw, &*store).await,
        IoTask::CheckUpstreams(addresses) => {
            for address in addresses {
                tokio::spawn(health(gw.clone(), address));
            }
        }
    }
}

async fn send_control(gw: &Gateway, to: HostName, address: SocketAddr, msg: ControlRequest) {
    let sent_at = Instant::now();
    let reply = match control::call(gw, address, &msg, CONTROL_TIMEOUT).await {
        Ok(reply) => Some(reply),
        Err(e) => {
            log::debug!(event = "control-failed", to:%, cause:% = e; "");
            None
        }
    };
    let answered = ControlResult {
        to,
        sent_at,
        msg,
        reply,
    };
    // The actor runs as long as the process, so a send error needs no handling.
    let _ = gw.host.send(answered).await;
}

async fn read_host_list<S: ObjectStore>(gw: &Gateway, store: &S) {
    gw.metrics.store_calls.inc();
    match store.hosts().await {
        Ok(hosts) => {
            let _ = gw.host.send(HostsRead(hosts)).await;
        }
        Err(e) => log::warn!(event = "list-not-read", cause:% = e; ""),
    }
}

async fn run_adoption_step<S: ObjectStore>(
    gw: &Gateway,
    store: &S,
    reader: &Mutex<Reader>,
    step: Step,
) {
    match step {
        Step::Ask => {
            read_host_list(gw, store).await;
            report_head(gw, store).await;
        }
        Step::Confirm { version } => confirm(gw, store, version).await,
        Step::Fetch { generation, source } => fetch(gw, store, reader, generation, source).await,
        Step::Wait { .. } => {}
    }
}

/// Reads the head object from the store and reports it to the actor.
pub async fn report_head<S: ObjectStore>(gw: &Gateway, store: &S) {
    gw.metrics.store_calls.inc();
    match publish::read_head(store).await {
        Ok(Some(head)) => {
            let msg = HeadRead {
                version: head.version,
                generation: Some(head.head.generation()),
            };
            let _ = gw.host.send(msg).await;
        }
        Ok(None) => log::debug!(event = "nothing-published"; ""),
        Err(e) => log::warn!(event = "head-not-read", cause:% = e; ""),
    }
}

async fn confirm<S: ObjectStore>(gw: &Gateway, store: &S, condition: Version) {
    gw.metrics.store_calls.inc_by(2);
    match publish::confirm_head(store, condition).await {
        Ok(Some(answer)) => {
            let _ = gw.host.send(HeadConfirmed { condition, answer }).await;
        }
        Ok(None) => {
            log::warn!(event = "head-not-confirmed", cause = "the head object does not exist"; "")
        }
        Err(e) => log::warn!(event = "head-not-confirmed", cause:% = e; ""),
    }
}

async fn fetch<S: ObjectStore>(
    gw: &Gateway,
    store: &S,
    reader: &Mutex<Reader>,
    wanted: Generation,
    source: Source,
) {
    let held = gw.index.load_full();
    let generation = held.as_ref().map(|index| index.generation());
    let found = match &source {
        Source::Store(_) => fetch_from_store(gw, store, reader, generation).await,
        Source::Peer(host) => fetch_from_peer(gw, host, generation).await,
    };
    let Some(fetched) = found else {
        log::warn!(event = "generation-not-fetched", generation:% = wanted; "");
        let _ = gw.host.send(FetchFailed(source)).await;
        return;
    };
    // Compiling a large set takes a while and must not block the tasks that serve requests.
    let compiled = tokio::task::spawn_blocking(move || compile(held.as_deref(), fetched)).await;
    match compiled {
        Ok(Ok((index, deltas))) => {
            let msg = Adopt {
                index: Arc::new(index),
                deltas,
                source,
            };
            let _ = gw.host.send(msg).await;
        }
        Ok(Err(e)) => {
            log::error!(event = "generation-refused", generation:% = wanted, cause:% = e; "");
            let _ = gw.host.send(FetchFailed(source)).await;
        }
        Err(e) => log::error!(event = "generation-refused", generation:% = wanted, cause:% = e; ""),
    }
}

/// A fetched configuration.
enum Fetched {
    /// A complete set of the given generation.
    Whole(Generation, Box<ConfigSet>),
    /// Deltas in order; the first applies to the generation in force.
    Deltas(Vec<Delta>),
}

/// Compiles a fetched configuration and returns it with the deltas it was built from.
fn compile(held: Option<&Index>, fetched: Fetched) -> Result<(Index, Vec<Delta>), IndexError> {
    let deltas = match fetched {
        Fetched::Whole(generation, set) => {
            return Ok((Index::new(generation, *set)?, Vec::new()));
        }
        Fetched::Deltas(deltas) => deltas,
    };
    let mut next: Option<Index> = None;
    for delta in &deltas {
        next = match next.as_ref().or(held) {
            Some(index) => Some(index.with_delta(delta)?),
            None => None,
        };
    }
    let (held, from) = (Generation(0), deltas.first().map(|d| d.from));
    let from = from.unwrap_or_default();
    let index = next.ok_or(DeltaError::WrongBase { from, held })?;
    Ok((index, deltas))
}

/// Fetches the configuration from the store, as a delta if the reader has one on top of
/// `held`.
///
/// The reader caches the chunks, so that the next change reads only the changed ones.
async fn fetch_from_store<S: ObjectStore>(
    gw: &Gateway,
    store: &S,
    reader: &Mutex<Reader>,
    held: Option<Generation>,
) -> Option<Fetched> {
    gw.metrics.store_calls.inc();
    let mut reader = reader.lock().await;
    let fetched = match reader.refresh(store).await {
        Ok(Some(Update::Delta(delta))) if Some(delta.from) == held => {
            return Some(Fetched::Deltas(vec![*delta]));
        }
        Ok(Some(Update::Full(generation, set))) => return Some(Fetched::Whole(generation, set)),
        Ok(_) => reader.current_set(),
        Err(e) => Err(e),
    };
    match fetched {
        Ok(found) => found.map(|(generation, set)| Fetched::Whole(generation, Box::new(set))),
        Err(e) => {
            log::warn!(event = "set-not-read", cause:% = e; "");
            None
        }
    }
}

async fn fetch_from_peer(
    gw: &Gateway,
    host: &HostName,
    held: Option<Generation>,
) -> Option<Fetched> {
    let address = gw
        .host
        .send(crate::host::heartbeats::GetPeerAddress(host.clone()))
        .await
        .ok()??;
    let msg = ControlRequest::Configuration(held);
    let reply = control::call(gw, address, &msg, CONFIGURATION_TIMEOUT).await;
    match reply {
        Ok(ControlReply::Configuration(Configuration::Whole(generation, set))) => {
            Some(Fetched::Whole(generation, set))
        }
        Ok(ControlReply::Configuration(Configuration::Deltas(deltas))) => {
            Some(Fetched::Deltas(deltas))
        }
        Ok(_) => None,
        Err(e) => {
            log::debug!(event = "set-not-read", from:% = host, cause:% = e; "");
            None
        }
    }
}

/// Queries an upstream for its health and load and reports them to the actor.
async fn health(gw: Arc<Gateway>, address: SocketAddr) {
    let measured = Instant::now();
    let health = get(&gw, address, "/.health").await;
    let load = get(&gw, address, "/.load").await;
    let msg = crate::host::loads::UpstreamReport {
        address,
        measured,
        health,
        load,
    };
    let _ = gw.host.send(msg).await;
}

async fn get(gw: &Gateway, address: SocketAddr, path: &'static str) -> Option<Bytes> {
    use http_body_util::BodyExt;
    let mut req = Request::new(full(Bytes::new()));
    *req.uri_mut() = Uri::from_static(path);
    head::set(req.headers_mut(), "host", address);
    let exchange = timeout(HEALTH_TIMEOUT, gw.connections.send(address, req)).await;
    let exchange = exchange.ok()?.ok()?;
    let body = timeout(HEALTH_TIMEOUT, exchange.res.into_body().collect()).await;
    let body = body.ok()?.ok()?;
    exchange.lease.give_back();
    Some(body.to_bytes())
}
