//! What an upstream reports about itself, true or not.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

/// The newest changes of load that a lagging report can look back on.
const HISTORY_CHANGES: usize = 10_000;

/// The state that `/.health` names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// It takes requests.
    Ready,
    /// It takes no new requests.
    Draining,
    /// It takes requests slowly.
    Cold,
    /// Only in switches: the true state.
    Truth,
}

/// The answer of `/.health`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthAnswer {
    /// The state.
    pub state: Health,
}

/// The answer of `/.load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The requests that run.
    pub in_flight: u32,
    /// The requests that can run at once.
    pub slots: u32,
}

/// What `/.load` says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reports {
    /// The truth.
    #[default]
    Live,
    /// The load of so many milliseconds ago.
    Lagging(u64),
    /// This load, whatever runs.
    Fixed(Load),
    /// 503, also on `/.health`.
    Down,
    /// No answer, also on `/.health`.
    Hang,
}

/// The requests in flight over time.
#[derive(Debug)]
pub(super) struct LoadHistory {
    changes: VecDeque<(Instant, u32)>,
}

impl LoadHistory {
    pub(super) fn new() -> Self {
        Self {
            changes: VecDeque::new(),
        }
    }

    pub(super) fn record(&mut self, now: Instant, in_flight: u32) {
        self.changes.push_back((now, in_flight));
        if self.changes.len() > HISTORY_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the requests in flight that long before `now`.
    pub(super) fn before(&self, now: Instant, lag: Duration) -> u32 {
        for (at, in_flight) in self.changes.iter().rev() {
            if *at + lag <= now {
                return *in_flight;
            }
        }
        0
    }
}
