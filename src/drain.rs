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
const FINISH_PART: f64 = 0.25;

/// A drain in progress.
#[derive(Clone, Debug)]
pub struct Progress {
    began: Instant,
    within: Duration,
    state: State,
}

/// What was measured at the target of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
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
            began: now,
            within,
            state: chart().initial(),
        }
    }

    /// Follows the chart by what was measured.
    pub fn observe(&mut self, now: Instant, seen: Seen) -> Report {
        self.take(Event::Started);
        if seen.weight == 0 {
            self.take(Event::Shifted);
        }
        if seen.weight > 0 && self.state != State::Overdue {
            self.take(Event::TrafficReturned);
        }
        if seen.weight == 0 && seen.running == 0 {
            self.take(Event::Emptied);
        }
        let late = now.saturating_duration_since(self.began + self.within);
        if !late.is_zero() {
            self.take(Event::DeadlinePassed);
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
        self.take(Event::Cancelled);
    }

    /// Returns the time left until new work should have ended.
    pub fn shift_left(&self, now: Instant) -> Duration {
        let by = self.began + self.within.mul_f64(1.0 - FINISH_PART);
        by.saturating_duration_since(now)
    }

    fn take(&mut self, event: Event) {
        chart().step(&mut self.state, event);
    }
}
