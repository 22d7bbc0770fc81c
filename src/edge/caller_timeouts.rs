//! Estimates the time that callers have lost with earlier attempts.
//!
//! Each attempt declares how long its caller still waits, so a caller that returns after a refusal
//! declares less than it did at first. Callers also differ in patience: the timeouts of first
//! attempts on a route spread around their median. Only a timeout below that spread is taken as a
//! sign of an earlier attempt.

use std::{
    collections::VecDeque,
    time::Duration, //
};

/// Number of most recent timeouts that the estimate is based on.
const RECENT_MAX: usize = 128;
/// One in this many timeouts is ignored as exceptionally long.
const OUTLIER_DIVISOR: usize = 16;
/// How far first attempts may lie below the median, relative to how far they lie above it. The
/// excess over 1 allows for the error of a median of few samples.
const SPREAD_RATIO: f64 = 1.2;

/// The most recent caller timeouts on one route.
#[derive(Clone, Debug, Default)]
pub struct CallerTimeouts {
    /// In order of arrival.
    recent: VecDeque<Duration>,
    /// The same timeouts, the shortest one first.
    sorted: Vec<Duration>,
}

impl CallerTimeouts {
    /// Adds the timeout of an attempt and returns the estimated time that its caller has lost with
    /// earlier ones; zero if it is probably the first.
    pub fn record(&mut self, timeout: Duration) -> Duration {
        if self.recent.len() == RECENT_MAX
            && let Some(oldest) = self.recent.pop_front()
        {
            let index = self.sorted.partition_point(|t| *t < oldest);
            self.sorted.remove(index);
        }
        self.recent.push_back(timeout);
        let index = self.sorted.partition_point(|t| *t < timeout);
        self.sorted.insert(index, timeout);
        self.time_lost(timeout)
    }

    fn time_lost(&self, timeout: Duration) -> Duration {
        let count = self.sorted.len();
        let median = self.sorted[count / 2];
        let longest = self.sorted[count - 1 - count / OUTLIER_DIVISOR];
        // The longest timeouts cannot come from returning callers, so these hardly widen the spread.
        let spread = longest.saturating_sub(median).mul_f64(SPREAD_RATIO);
        let shortest_first = median.saturating_sub(spread);
        match timeout < shortest_first {
            true => median - timeout,
            false => Duration::ZERO,
        }
    }
}
