//! The health and load that an upstream reports, which switches can falsify.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

/// The number of most recent load changes kept for lagging reports.
const HISTORY_CHANGES: usize = 10_000;

/// The state in the answer of `/.health`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The upstream accepts requests.
    Ready,
    /// The upstream refuses new requests.
    Draining,
    /// The upstream accepts requests, but is slow since its recent start.
    Cold,
    /// Only in switches: report the true state.
    Truth,
}

/// The answer of `/.health`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthAnswer {
    /// The reported state, true or set by a switch.
    pub state: Health,
}

/// The answer of `/.load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests running.
    pub in_flight: u32,
    /// The maximum number of requests that run concurrently.
    pub slots: u32,
}

/// How `/.load` answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportMode {
    /// The present load.
    #[default]
    Live,
    /// The load this many milliseconds ago.
    Lagging(u64),
    /// A fixed load, independent of the running requests.
    Fixed(Load),
    /// 503, on `/.health` too.
    Down,
    /// No answer until the mode changes, on `/.health` too.
    Hang,
}

/// The recent changes of the number of requests in flight, oldest first.
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

    /// Returns the number of requests in flight at `now` minus `lag`, or 0 before the first recorded change.
    pub(super) fn before(&self, now: Instant, lag: Duration) -> u32 {
        for (changed_at, in_flight) in self.changes.iter().rev() {
            if *changed_at + lag <= now {
                return *in_flight;
            }
        }
        0
    }
}
