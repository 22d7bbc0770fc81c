//! Tracks how up to date a host's knowledge of withdrawn keys is.

use std::time::Duration;

use tokio::time::Instant;

/// Increase of the suspended time that counts as a suspension.
const SUSPENSION_MIN: Duration = Duration::from_millis(50);
/// Time before the bound at which a host stops trusting its knowledge. It covers the time that a
/// request takes from the check to the upstream.
pub const CHECK_MARGIN: Duration = Duration::from_millis(500);

/// The latest instant at which the active configuration is known to have been current.
///
/// The runtime's clock stops while the machine is suspended, so elapsed time alone would
/// underestimate the age. Callers therefore pass the total suspended time, and a suspension
/// invalidates the confirmation.
#[derive(Clone, Debug)]
pub struct Freshness {
    confirmed_at: Option<Instant>,
    suspended: Duration,
    bound: Duration,
}

impl Freshness {
    /// Creates the state of a host that has not read anything yet.
    pub fn new(bound: Duration) -> Self {
        Self {
            confirmed_at: None,
            suspended: Duration::ZERO,
            bound,
        }
    }

    /// Records that a read found the configuration unchanged or returned the newest one. The read
    /// was *sent* at `read_sent_at`, when the machine had been suspended for `suspended` in total.
    pub fn confirm(&mut self, read_sent_at: Instant, suspended: Duration) {
        if suspended + SUSPENSION_MIN < self.suspended {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(read_sent_at));
    }

    /// Records the total suspended time; if it has grown, the confirmation becomes invalid.
    pub fn observe_suspension(&mut self, suspended: Duration) {
        if suspended >= self.suspended + SUSPENSION_MIN {
            self.confirmed_at = None;
            self.suspended = suspended;
        }
    }

    /// Sets how long a withdrawn key may still be accepted.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// Returns the age of the latest confirmation; `None` if there is no valid one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether the knowledge of withdrawn keys is recent enough to accept requests with
    /// keys.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.age(now)
            .is_some_and(|age| age + CHECK_MARGIN < self.bound)
    }
}

/// Returns the total time that the machine has been suspended since boot.
pub fn suspended_time() -> Duration {
    use rustix::time::{
        ClockId,
        clock_gettime, //
    };
    let boot = clock_gettime(ClockId::Boottime);
    let steady = clock_gettime(ClockId::Monotonic);
    let nanos =
        |t: rustix::time::Timespec| i128::from(t.tv_sec) * 1_000_000_000 + i128::from(t.tv_nsec);
    let gap = (nanos(boot) - nanos(steady)).max(0);
    Duration::from_nanos(u64::try_from(gap).unwrap_or(u64::MAX))
}
