//! Planned drains: where one stands, and how much time is left to move its traffic.
//!
//! The planner moves the traffic, in steps that links and targets allow; this
//! module follows the drain's state chart and tells the planner when new work
//! should have ended.

use std::time::Duration;

use tokio::time::Instant;

use crate::chart::drain::{
    DrainEvent as Event,
    DrainState as State,
    chart, //
};

/// The part of a drain's time that is kept for requests that still run when
/// new work has ended.
const FINISH_FRACTION: f64 = 0.25;

/// A drain in progress.
#[derive(Clone, Debug)]
pub struct Progress {
    started_at: Instant,
    within: Duration,
    state: State,
}

/// What was measured at the target of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The largest weight that any plan still gives the target.
    pub weight: u16,
    /// Requests that still run there.
    pub running: u32,
}

/// Where a drain stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Its state.
    pub state: State,
    /// The time left until new work should have ended.
    pub shift_left: Duration,
    /// By how much the deadline has passed.
    pub late: Duration,
}

impl Progress {
    /// Starts a drain that has to be done after `within`.
    pub fn new(now: Instant, within: Duration) -> Self {
        Self {
            started_at: now,
            within,
            state: chart().initial(),
        }
    }

    /// Follows the chart by what was measured.
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
            shift_left: self.shift_left(now),
            late: match self.state {
                State::Overdue => late,
                _ => Duration::ZERO,
            },
        }
    }

    /// Takes the drain back.
    pub fn cancel(&mut self) {
        self.apply(Event::Cancelled);
    }

    /// Returns the time left until new work should have ended.
    pub fn shift_left(&self, now: Instant) -> Duration {
        let shift_deadline = self.started_at + self.within.mul_f64(1.0 - FINISH_FRACTION);
        shift_deadline.saturating_duration_since(now)
    }

    fn apply(&mut self, event: Event) {
        chart().step(&mut self.state, event);
    }
}
