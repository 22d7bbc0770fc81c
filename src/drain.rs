//! Planned drains: their state, and the time that remains to move their traffic.
//!
//! The planner moves the traffic, in steps limited by links and serving zones.
//! This module tracks the drain's state chart and computes the time by which the
//! target should get no new requests.

use std::time::Duration;

use tokio::time::Instant;

use crate::chart::drain::{
    DrainEvent as Event,
    DrainState as State,
    chart, //
};

/// The fraction of a drain's time limit that is reserved for running requests to
/// finish after new requests have stopped.
const FINISH_FRACTION: f64 = 0.25;

/// The progress of one drain.
#[derive(Clone, Debug)]
pub struct DrainProgress {
    started_at: Instant,
    within: Duration,
    state: State,
}

/// Measurements of a drain's target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The maximum weight of the target in any current plan.
    pub weight: u16,
    /// The number of requests running at the target.
    pub running: u32,
}

/// The status of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The drain's state in the state chart.
    pub state: State,
    /// The time left until the target should get no new requests.
    pub shift_time_left: Duration,
    /// The time since the deadline if the drain is overdue, otherwise zero.
    pub late: Duration,
}

impl DrainProgress {
    /// Starts a drain that must be complete after `within`.
    pub fn new(now: Instant, within: Duration) -> Self {
        Self {
            started_at: now,
            within,
            state: chart().initial(),
        }
    }

    /// Updates the state from a measurement and returns the drain's status.
    pub fn observe(&mut self, now: Instant, observation: Observation) -> Report {
        self.apply(Event::Started);
        if observation.weight == 0 {
            self.apply(Event::Shifted);
        }
        if observation.weight > 0 && self.state != State::Overdue {
            self.apply(Event::TrafficReturned);
        }
        if observation.weight == 0 && observation.running == 0 {
            self.apply(Event::Emptied);
        }
        let late = now.saturating_duration_since(self.started_at + self.within);
        if !late.is_zero() {
            self.apply(Event::DeadlinePassed);
        }
        Report {
            state: self.state,
            shift_time_left: self.shift_time_left(now),
            late: match self.state {
                State::Overdue => late,
                _ => Duration::ZERO,
            },
        }
    }

    /// Cancels the drain.
    pub fn cancel(&mut self) {
        self.apply(Event::Cancelled);
    }

    /// Returns the time left until the target should get no new requests.
    pub fn shift_time_left(&self, now: Instant) -> Duration {
        let shift_deadline = self.started_at + self.within.mul_f64(1.0 - FINISH_FRACTION);
        shift_deadline.saturating_duration_since(now)
    }

    fn apply(&mut self, event: Event) {
        chart().step(&mut self.state, event);
    }
}
