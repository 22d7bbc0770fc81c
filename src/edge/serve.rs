//! The daemon: binds its addresses, starts its tasks, and stops gracefully.

mod explanation;
pub mod question;

use std::{
    io,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    },
};
use thiserror::Error;
use tokio::{
    net::UdpSocket,
    signal::unix::{
        SignalKind,
        signal, //
    },
    sync::{
        mpsc,
        watch, //
    },
    task::JoinHandle,
    time::{
        Instant,
        MissedTickBehavior,
        interval,
        sleep,
        sleep_until, //
    },
};
use xtra::{
    Address,
    Mailbox, //
};

use self::explanation::{
    EXPLAIN_PATH,
    explain, //
};
use super::{
    connection_limits::{
        descriptors,
        keep_limits,
        limits,
        on_close,
        prime_heap, //
    },
    datagram::{
        Outgoing,
        receive_messages,
        send_messages, //
    },
    dialect::Dialect,
    dispatcher::{
        Dispatcher,
        host_registration, //
    },
    forward::Gateway,
    log_limit::LogRateLimit,
    message::{
        BeginShutdown,
        GoneHost,
        IsReady,
        Lookup,
        Reload,
        Tick, //
    },
    metrics::EdgeMetrics,
    model::ClientLimits,
    relay::TopicCaches,
    settings::Settings,
    shutdown::ShutdownSchedule,
    tasks::{
        TaskEnded,
        Tasks, //
    },
    topic::{
        Source,
        Topic, //
    },
    topic_watch::{
        UpdateSource,
        follow_relay,
        follow_store,
        serve_follower, //
    },
};
use crate::{
    body::{
        ProxyBody,
        empty,
        full, //
    },
    connection::Connections,
    listener::{
        self,
        table::{
            ConnectionTable,
            ListenerRole, //
        },
    },
    operators,
    process::{
        BindError,
        bind_tcp,
        bind_udp,
        incarnation,
        wait_for_stop_signal, //
    },
};

/// Fraction of the process's memory limit that request bodies may take. Their copies on the way to
/// upstreams take almost as much again.
const BODY_MEMORY_FRACTION: f64 = 0.4;
/// The path of the metrics at the address for other hosts.
const METRICS_PATH: &str = "/metrics";
/// The time between two reads of the settings.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// The time between two ticks of the dispatcher.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The most messages to other hosts that may wait to be sent.
const OUTGOING_QUEUE_MAX: usize = 1024;
/// The time between two removals of registrations by one host.
const GONE_HOST_INTERVAL: Duration = Duration::from_secs(5);
/// The pause after a failed registration.
const REGISTER_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A failure to start or run the daemon.
#[derive(Debug, Error)]
pub enum ServeError {
    /// An address could not be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// A signal handler could not be installed.
    #[error("the process could not be set up: {0}")]
    Process(#[from] io::Error),
    /// A task that the process cannot serve without has ended.
    #[error(transparent)]
    Task(#[from] TaskEnded),
}

/// Runs an entry host until it receives a stop signal. `load` reads the settings
/// again and returns `None` if they are unusable.
///
/// # Errors
///
/// Fails when an address cannot be bound, the process cannot be set up, or a task that it cannot
/// serve without ends. In the last case the requests that upstreams are working on are completed
/// first.
pub async fn run<S, D, L>(
    settings: Settings,
    source: S,
    dialect: D,
    load: L,
) -> Result<(), ServeError>
where
    S: Source,
    D: Dialect,
    L: Fn() -> Option<Settings> + Send + 'static,
{
    prime_heap();
    let settings = Arc::new(settings);
    let source = Arc::new(source);
    let callers = bind_tcp("callers", settings.callers).await?;
    let readiness = bind_tcp("readiness", settings.readiness).await?;
    let lookups = bind_tcp("look-ups", settings.lookups).await?;
    let socket = bind_udp("other hosts", settings.peers).await?;
    let relaying = bind_tcp("followers", settings.peers).await?;
    let configuration = Arc::new(ArcSwapOption::empty());
    let metrics = Arc::new(EdgeMetrics::new());
    let (news_path, news_path_rx) = watch::channel(UpdateSource::default());
    let (outgoing, outgoing_rx) = mpsc::channel(OUTGOING_QUEUE_MAX);
    let incarnation = incarnation();
    let dispatcher = Dispatcher::new(
        settings.clone(),
        incarnation,
        configuration.clone(),
        outgoing,
        news_path,
        metrics.clone(),
        rand::random(),
    );
    let mut tasks = Tasks::new();
    let (memory_bytes, descriptors) = (settings.memory_bytes, descriptors());
    let clients = Arc::new(ConnectionTable::new(
        limits(memory_bytes, descriptors, &ClientLimits::default()),
        on_close(metrics.clone()),
    ));
    tasks.spawn(
        "connection limits",
        keep_limits(
            clients.clone(),
            configuration.clone(),
            metrics.clone(),
            memory_bytes,
            descriptors,
        ),
    );
    let (address, mailbox) = Mailbox::unbounded();
    tasks.spawn("dispatcher", xtra::run(mailbox, dispatcher));
    let dispatcher: Address<Dispatcher> = address;
    let (last_answer_at, last_answer_at_rx) = watch::channel(None);
    let gw = Arc::new(Gateway {
        dispatcher: dispatcher.clone(),
        configuration,
        connections: Connections::new().with_held_bytes(clients.held()),
        dialect,
        caller_timeouts: Mutex::default(),
        metrics: metrics.clone(),
        buffered_bytes: Arc::default(),
        buffered_bytes_max: (settings.memory_bytes as f64 * BODY_MEMORY_FRACTION) as u64,
        held_bytes: clients.held(),
        last_answer_at: last_answer_at_rx,
        answered_lines: LogRateLimit::default(),
        ended_lines: LogRateLimit::default(),
    });
    let (settings_tx, current_settings) = watch::channel(settings.clone());
    // A shorter outage lets an upstream miss one renewal at most.
    let outage_min = settings.bounds.upstream_heartbeat;
    let caches = TopicCaches::new(dispatcher.clone()).with_outage_min(outage_min);
    for topic in Topic::ALL {
        let follower = follow_store(
            source.clone(),
            topic,
            caches.clone(),
            metrics.clone(),
            news_path_rx.clone(),
            current_settings.clone(),
        );
        tasks.spawn(topic.follower_name(), follower);
    }
    let follower = follow_relay(
        news_path_rx,
        caches.clone(),
        metrics.clone(),
        current_settings.clone(),
    );
    tasks.spawn("relay follower", follower);
    tasks.spawn(
        "removal of registrations",
        remove_gone_hosts(source.clone(), dispatcher.clone()),
    );
    tasks.spawn_finite(
        "registration",
        register(source, settings.clone(), caches.clone()),
    );
    spawn_peer_tasks(&mut tasks, &dispatcher, socket, outgoing_rx);
    // Look-ups and readiness are answered until the process ends.
    let (_open_tx, open) = watch::channel(false);
    let peer_gw = gw.clone();
    let (others, table) = (ListenerRole::Others, clients.clone());
    let listener = listener::serve_limited(relaying, open.clone(), table, others, move |req, _| {
        serve_peer(peer_gw.clone(), caches.clone(), req)
    });
    tasks.spawn("followers' listener", listener);
    for (name, listener) in [
        ("readiness listener", readiness),
        ("look-ups' listener", lookups),
    ] {
        let (gw, table) = (gw.clone(), clients.clone());
        let settings = current_settings.clone();
        let listener =
            listener::serve_limited(listener, open.clone(), table, others, move |req, _| {
                let ttl = settings.borrow().bounds.lookup_ttl;
                serve_platform(gw.clone(), req, ttl)
            });
        tasks.spawn(name, listener);
    }
    let (stop, stopped) = watch::channel(false);
    let mut serving = tokio::spawn(listener::serve_limited(
        callers,
        stopped,
        clients,
        ListenerRole::Callers,
        {
            let gw = gw.clone();
            move |req, _| {
                let gw = gw.clone();
                async move { gw.serve(req).await }
            }
        },
    ));
    log::info!(
        event = "started",
        host:% = settings.host,
        zone:% = settings.zone,
        incarnation:%;
        ""
    );
    tasks.spawn(
        "settings reload",
        reload(settings_tx, dispatcher.clone(), load),
    );
    let failure = tokio::select! {
        signal = wait_for_stop_signal() => {
            signal?;
            None
        }
        ended = tasks.first_end() => Some(ended),
        _ = &mut serving => Some(TaskEnded {
            task: "callers' listener",
            cause: "it ended before the process was stopped".to_owned(),
        }),
    };
    match &failure {
        None => log::info!(event = "stopping", host:% = settings.host; ""),
        Some(ended) => {
            log::error!(event = "task-ended", task = ended.task, cause = ended.cause.as_str(); "");
        }
    }
    if dispatcher.send(BeginShutdown).await.is_err() {
        log::error!(event = "actor-gone"; "");
    }
    // A process that cannot place requests takes no more connections.
    let lingers = failure.is_none();
    let shutdown = Shutdown {
        stopped_at: Instant::now(),
        settings: current_settings,
        last_answer_at,
    };
    let is_idle = shutdown.complete(serving, stop, lingers).await;
    match is_idle {
        true => log::info!(event = "stopped", host:% = settings.host; ""),
        false => log::warn!(event = "stopped-busy", host:% = settings.host; ""),
    }
    failure.map_or(Ok(()), |ended| Err(ended.into()))
}

/// A shutdown in progress. The settings may still change, also the grace period.
struct Shutdown {
    stopped_at: Instant,
    settings: watch::Receiver<Arc<Settings>>,
    last_answer_at: watch::Sender<Option<Instant>>,
}

impl Shutdown {
    fn schedule(&mut self) -> ShutdownSchedule {
        let schedule =
            ShutdownSchedule::new(self.stopped_at, &self.settings.borrow_and_update().bounds);
        self.last_answer_at
            .send_replace(Some(schedule.last_answer_at()));
        schedule
    }

    /// Waits until a time of the schedule, which is computed again when the settings change.
    async fn wait_until(&mut self, time: impl Fn(ShutdownSchedule) -> Instant) {
        loop {
            let until = time(self.schedule());
            tokio::select! {
                () = sleep_until(until) => return,
                Ok(()) = self.settings.changed() => {}
            }
        }
    }

    /// Ends the listener of the callers, after the linger time if the host `lingers`. Returns
    /// whether all connections have ended before the exit.
    async fn complete(
        mut self,
        mut serving: JoinHandle<()>,
        stop: watch::Sender<bool>,
        lingers: bool,
    ) -> bool {
        if lingers {
            self.wait_until(|schedule| schedule.linger_until).await;
        }
        stop.send_replace(true);
        if serving.is_finished() {
            return true;
        }
        tokio::select! {
            _ = &mut serving => true,
            () = self.wait_until(|schedule| schedule.exit_at) => false,
        }
    }
}

fn spawn_peer_tasks(
    tasks: &mut Tasks,
    dispatcher: &Address<Dispatcher>,
    socket: UdpSocket,
    outgoing: mpsc::Receiver<Outgoing>,
) {
    let socket = Arc::new(socket);
    tasks.spawn("message sender", send_messages(socket.clone(), outgoing));
    tasks.spawn(
        "message receiver",
        receive_messages(socket, dispatcher.clone()),
    );
    tasks.spawn("tick", tick(dispatcher.clone()));
}

/// Removes the registrations of hosts that are gone for good, one at a time.
async fn remove_gone_hosts<S: Source>(source: Arc<S>, dispatcher: Address<Dispatcher>) {
    loop {
        sleep(GONE_HOST_INTERVAL).await;
        let Ok(gone) = dispatcher.send(GoneHost).await else {
            return;
        };
        let Some(host) = gone else {
            continue;
        };
        match source.unregister(&host).await {
            Ok(()) => log::info!(event = "registration-removed", host:%; ""),
            Err(cause) => log::warn!(event = "unregister-failed", host:%, cause:%; ""),
        }
    }
}

/// Registers this host, retrying until the platform accepts it, and again each time its registration
/// is lost: the store has gone back to a copy without it, or another host has removed it.
async fn register<S: Source>(source: Arc<S>, settings: Arc<Settings>, caches: TopicCaches) {
    let host = host_registration(&settings);
    let mut lost_in = None;
    loop {
        let accepted_in = loop {
            match source.register(&host).await {
                Ok(era) => break era,
                Err(cause) => log::warn!(event = "register-failed", cause:%; ""),
            }
            sleep(REGISTER_RETRY_PAUSE).await;
        };
        log::info!(event = "registered", host:% = host.name; "");
        let registered_in = accepted_in.max(lost_in);
        let era = caches.registration_lost(&host.name, registered_in).await;
        log::info!(event = "registration-lost", era:%; "");
        lost_in = Some(era);
    }
}

async fn tick(dispatcher: Address<Dispatcher>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if dispatcher.send(Tick).await.is_err() {
            return;
        }
    }
}

/// Answers followers' queries, requests for the metrics and queries about decisions.
async fn serve_peer<D: Dialect>(
    gw: Arc<Gateway<D>>,
    caches: TopicCaches,
    req: Request<Incoming>,
) -> Response<ProxyBody> {
    match req.uri().path() {
        METRICS_PATH => operators::metrics_response(gw.metrics.encode()),
        EXPLAIN_PATH => explain(&gw, &req).await,
        _ => serve_follower(caches, req, &gw.held_bytes).await,
    }
}

/// Answers look-ups and readiness probes.
async fn serve_platform<D: Dialect>(
    gw: Arc<Gateway<D>>,
    req: Request<Incoming>,
    ttl: Duration,
) -> Response<ProxyBody> {
    let mut res = Response::new(empty());
    if gw.dialect.is_readiness(req.uri()) {
        if !gw.dispatcher.send(IsReady).await.unwrap_or(false) {
            *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        return res;
    }
    let Some(query) = gw.dialect.lookup(req.uri()) else {
        *res.status_mut() = StatusCode::NOT_FOUND;
        return res;
    };
    let hosts = gw
        .dispatcher
        .send(Lookup { query })
        .await
        .unwrap_or_default();
    if hosts.is_empty() {
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return res;
    }
    let (content_type, body) = gw.dialect.lookup_answer(&hosts, ttl);
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    *res.body_mut() = full(body);
    res
}

/// Reloads the settings at SIGHUP and every [`SETTINGS_INTERVAL`]. Only the bounds
/// change; the name, zone, addresses and all other settings keep their values from
/// the start.
async fn reload<L: Fn() -> Option<Settings>>(
    settings: watch::Sender<Arc<Settings>>,
    dispatcher: Address<Dispatcher>,
    load: L,
) {
    let mut hup = match signal(SignalKind::hangup()) {
        Ok(hup) => hup,
        Err(e) => {
            log::error!(event = "no-signal-handler", cause:% = e; "");
            return;
        }
    };
    loop {
        tokio::select! {
            _ = hup.recv() => log::info!(event = "reload-requested"; ""),
            () = sleep(SETTINGS_INTERVAL) => {}
        }
        let Some(loaded) = load() else {
            continue;
        };
        let loaded = Settings {
            bounds: loaded.bounds,
            ..Settings::clone(&settings.borrow())
        };
        if loaded == **settings.borrow() {
            continue;
        }
        log::info!(event = "settings-reloaded"; "");
        let loaded = Arc::new(loaded);
        settings.send_replace(loaded.clone());
        let msg = Reload { settings: loaded };
        if dispatcher.send(msg).await.is_err() {
            return;
        }
    }
}
