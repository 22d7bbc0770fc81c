//! Planned drains: how much traffic a draining target still gets, and whether
//! the deadline can be kept.

use std::time::Duration;

use tokio::time::Instant;

use crate::plan::WEIGHT_WHOLE;

/// The part of the drain's time that is kept for requests that still run when
/// new work has ended.
const FINISH_RESERVE: f64 = 0.25;

/// Where a drain stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// New work is being moved away in steps.
    Shifting,
    /// No new work arrives; running requests finish.
    Finishing,
    /// The target is empty.
    Done,
}

/// A drain in progress.
#[derive(Clone, Debug)]
pub struct Progress {
    began: Instant,
    within: Duration,
    phase: Phase,
    keep: u16,
}

/// What a drain step was decided from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The weight that the targets of the moved traffic can take now, out of
    /// [`WEIGHT_WHOLE`], by link headroom, warm-up and capacity.
    pub room: u16,
    /// Requests that still run at the target.
    pub running: u32,
}

/// A decision about a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The weight that the target keeps, out of [`WEIGHT_WHOLE`].
    pub keep: u16,
    /// Where the drain stands.
    pub phase: Phase,
    /// By how much the deadline has passed.
    pub late: Duration,
}

impl Progress {
    /// Starts a drain that has to be done after `within`.
    pub fn new(now: Instant, within: Duration) -> Self {
        Self {
            began: now,
            within,
            phase: Phase::Shifting,
            keep: WEIGHT_WHOLE,
        }
    }

    /// Takes the next step: as much as there is room for, and never more.
    pub fn step(&mut self, now: Instant, seen: Seen) -> Step {
        self.keep = self.keep.saturating_sub(seen.room);
        self.phase = match (self.keep, seen.running) {
            (0, 0) => Phase::Done,
            (0, _) => Phase::Finishing,
            _ => Phase::Shifting,
        };
        Step {
            keep: self.keep,
            phase: self.phase,
            late: now.saturating_duration_since(self.began + self.within),
        }
    }

    /// Returns when new work has to have ended for the deadline to be kept.
    pub fn shift_by(&self) -> Instant {
        self.began + self.within.mul_f64(1.0 - FINISH_RESERVE)
    }
}
