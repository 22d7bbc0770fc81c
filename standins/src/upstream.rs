//! A stand-in for an upstream.
//!
//! [`Upstream`] holds the state and the log; [`serve`] speaks HTTP/1.1 to
//! gateways and [`serve_control`] takes the control calls on an address of its
//! own, so that control never counts against the upstream's connections.

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
        Reports, //
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

/// The exit code of an upstream that a marked request crashed.
pub const CRASH_EXIT_CODE: i32 = 86;

/// The fixed properties of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Its name in receipts.
    pub name: String,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The requests that wait for a slot before it sheds.
    pub queue: u32,
    /// The connections that it keeps open.
    pub connections: u32,
    /// The time that accepting a connection takes.
    pub connect_cost: Duration,
    /// How long after its start it is cold.
    pub cold: Duration,
    /// The time that a request takes longer at the start; it falls to zero over `cold`.
    pub cold_extra: Duration,
    /// The newest requests that the log keeps in memory.
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
    /// The token of the request before, for crossed answers.
    former_token: String,
    /// The names whose held requests may go on.
    released: Vec<String>,
    /// Connections close as soon as they are idle.
    stopping: bool,
}

/// The state of an upstream; shared by all connections.
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

    /// Returns an upstream that also appends its log to a file, which outlives a crash.
    pub fn with_log_file(options: Options, path: &Path) -> Result<Arc<Self>, StandinError> {
        Ok(Self::with_log(options, Log::with_file(path)?))
    }

    fn with_log(options: Options, log: Log) -> Arc<Self> {
        let slots = Arc::new(Semaphore::new(options.slots as usize));
        let state = State {
            log: log.with_capacity(options.log_entries),
            load: LoadHistory::new(),
            switches: Switches::default(),
            former_token: String::new(),
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

    /// Changes the state and wakes whoever waits for a change.
    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let value = change(&mut self.state());
        self.notify();
        value
    }

    /// Waits until a condition on the state holds.
    async fn wait_until(&self, mut holds: impl FnMut(&State) -> bool) {
        let mut seen = self.changed.subscribe();
        while !holds(&self.state()) {
            // The sender lives as long as `self`.
            let _ = seen.changed().await;
        }
    }

    /// Waits until a condition on the counts holds.
    pub async fn wait_for(&self, mut holds: impl FnMut(&Counts) -> bool) {
        self.wait_until(|state| holds(&state.log.counts)).await;
    }

    /// Changes the switches and returns them all.
    pub fn switch(&self, change: SwitchChange) -> Switches {
        self.update(|state| {
            state.switches.apply(change);
            state.switches.clone()
        })
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        let mut counts = self.state().log.counts();
        counts.needle_hits = self.needles.hits();
        counts
    }

    /// Returns the requests that the log holds, oldest first.
    pub fn entries(&self) -> Vec<Entry> {
        self.state().log.entries()
    }

    /// Replaces the byte strings that are searched for in all that arrives.
    pub fn set_needles(&self, needles: Vec<String>) {
        self.needles.set(needles);
    }

    /// Lets the requests that are held under a name go on, now and later.
    pub fn release(&self, name: &str) {
        self.update(|state| state.released.push(name.to_owned()));
    }

    /// Stops taking requests, waits for those that run and closes all connections.
    pub async fn stop(&self) {
        self.update(|state| {
            state.switches.drain = true;
            state.stopping = true;
        });
        self.wait_until(|state| state.log.counts.connections_open == 0)
            .await;
    }

    /// Returns how much longer a request takes because the upstream is cold.
    fn cold_extra(&self) -> Duration {
        let left = self.options.cold.saturating_sub(self.started.elapsed());
        if left.is_zero() {
            return Duration::ZERO;
        }
        let share = left.as_secs_f64() / self.options.cold.as_secs_f64();
        self.options.cold_extra.mul_f64(share)
    }

    fn is_cold(&self) -> bool {
        self.started.elapsed() < self.options.cold
    }
}
