//! A stand-in for an upstream.
//!
//! [`Upstream`] holds the state and the log, [`serve`] answers gateways over
//! HTTP/1.1, and [`serve_control`] answers control calls. Control calls have a
//! separate listener, so that they do not count against the connection limit.

mod answer_body;
mod behaviour;
mod control;
mod log;
mod reports;
mod scan;
mod service;

use std::{
    path::Path,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use tokio::{
    sync::{
        Semaphore,
        watch, //
    },
    time::Instant,
};

pub use self::{
    behaviour::{
        Behaviour,
        HEADER_PREFIX,
        SwitchChange,
        Switches, //
    },
    control::{
        LogAnswer,
        Release,
        WaitFor,
        serve_control, //
    },
    log::{
        Counts,
        Ending,
        Entry,
        Event,
        read_log, //
    },
    reports::{
        Health,
        HealthAnswer,
        Load,
        ReportMode, //
    },
    service::{
        serve,
        spawn, //
    },
};
use self::{
    log::Log,
    reports::LoadHistory,
    scan::Needles, //
};
use crate::error::StandinError;

/// The exit code of an upstream process after a request that asks for a crash.
pub const CRASH_EXIT_CODE: i32 = 86;

/// The settings of an upstream, fixed for its lifetime.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The name that the upstream writes into receipts.
    pub name: String,
    /// The maximum number of requests that run concurrently.
    pub slots: u32,
    /// The maximum number of requests that wait for a slot; further ones are shed.
    pub queue: u32,
    /// The maximum number of open connections; further ones are closed on accept.
    pub connections: u32,
    /// The delay added to each accepted connection.
    pub connect_cost: Duration,
    /// How long the upstream stays cold after its start.
    pub cold: Duration,
    /// The extra time per request right after the start; it falls linearly to zero over `cold`.
    pub cold_extra: Duration,
    /// The number of most recent requests that the log keeps in memory.
    pub log_entries: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "upstream".to_owned(),
            slots: 4,
            queue: 0,
            connections: 400,
            connect_cost: Duration::from_millis(1),
            cold: Duration::ZERO,
            cold_extra: Duration::ZERO,
            log_entries: 100_000,
        }
    }
}

#[derive(Debug)]
struct State {
    log: Log,
    load: LoadHistory,
    switches: Switches,
    /// The token of the previous request, used for [`Behaviour::crossed`].
    previous_token: String,
    /// The hold names that were released; requests held under them continue.
    released: Vec<String>,
    /// Set on shutdown: connections close as soon as they are idle.
    stopping: bool,
}

/// An upstream's settings and state, shared by all its connections.
#[derive(Debug)]
pub struct Upstream {
    options: Options,
    started: Instant,
    slots: Arc<Semaphore>,
    queue: Semaphore,
    needles: Needles,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Upstream {
    /// Returns an upstream that logs in memory.
    pub fn new(options: Options) -> Arc<Self> {
        Self::with_log(options, Log::new())
    }

    /// Returns an upstream that also appends its log to a file, which survives a crash.
    pub fn with_log_file(options: Options, path: &Path) -> Result<Arc<Self>, StandinError> {
        Ok(Self::with_log(options, Log::with_file(path)?))
    }

    fn with_log(options: Options, log: Log) -> Arc<Self> {
        let slots = Arc::new(Semaphore::new(options.slots as usize));
        let state = State {
            log: log.with_capacity(options.log_entries),
            load: LoadHistory::new(),
            switches: Switches::default(),
            previous_token: String::new(),
            released: Vec::new(),
            stopping: false,
        };
        let queue = Semaphore::new(options.queue as usize);
        Arc::new(Self {
            options,
            started: Instant::now(),
            slots,
            queue,
            needles: Needles::new(),
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Changes the state and wakes all tasks that wait for a change.
    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let value = change(&mut self.state());
        self.notify();
        value
    }

    /// Waits until a condition on the state is true.
    async fn wait_until(&self, mut condition: impl FnMut(&State) -> bool) {
        let mut changed_rx = self.changed.subscribe();
        while !condition(&self.state()) {
            // The sender lives as long as `self`.
            let _ = changed_rx.changed().await;
        }
    }

    /// Waits until a condition on the counts is true.
    pub async fn wait_for(&self, mut condition: impl FnMut(&Counts) -> bool) {
        self.wait_until(|state| condition(&state.log.counts)).await;
    }

    /// Applies a change of the switches and returns their new values.
    pub fn switch(&self, change: SwitchChange) -> Switches {
        self.update(|state| {
            state.switches.apply(change);
            state.switches.clone()
        })
    }

    /// Returns the counts since the start of the process.
    pub fn counts(&self) -> Counts {
        let mut counts = self.state().log.counts();
        counts.needle_hits = self.needles.hits();
        counts
    }

    /// Returns the requests that the log holds, oldest first.
    pub fn entries(&self) -> Vec<Entry> {
        self.state().log.entries()
    }

    /// Replaces the strings that are searched for in all received bytes.
    pub fn set_needles(&self, needles: Vec<String>) {
        self.needles.set(needles);
    }

    /// Releases all requests held under a name, present and future ones.
    pub fn release(&self, name: &str) {
        self.update(|state| state.released.push(name.to_owned()));
    }

    /// Refuses new requests, waits for those that run and closes all connections.
    pub async fn stop(&self) {
        self.update(|state| {
            state.switches.drain = true;
            state.stopping = true;
        });
        self.wait_until(|state| state.log.counts.connections_open == 0)
            .await;
    }

    /// Returns the extra time that a request takes now because the upstream is cold.
    fn cold_extra(&self) -> Duration {
        let remaining = self.options.cold.saturating_sub(self.started.elapsed());
        if remaining.is_zero() {
            return Duration::ZERO;
        }
        let fraction = remaining.as_secs_f64() / self.options.cold.as_secs_f64();
        self.options.cold_extra.mul_f64(fraction)
    }

    fn is_cold(&self) -> bool {
        self.started.elapsed() < self.options.cold
    }
}
