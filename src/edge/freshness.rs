//! How current a host's knowledge of withdrawn keys is.

use std::time::Duration;

use tokio::time::Instant;

/// A jump of the suspension clock that counts as a suspension.
const SUSPENSION_MIN: Duration = Duration::from_millis(50);
/// How much earlier than the bound a host stops trusting its knowledge; covers
/// the time that a request takes from the check to the upstream.
pub const MARGIN: Duration = Duration::from_millis(500);

/// The last instant at which the configuration in force is known to have been current.
///
/// The runtime's clock stands still while the machine is suspended. The caller
/// passes the time spent suspended so far, so that a suspension ends the proof.
#[derive(Clone, Debug)]
pub struct Freshness {
    confirmed: Option<Instant>,
    suspended: Duration,
    bound: Duration,
}

impl Freshness {
    /// Returns a host's state before it has read anything.
    pub fn new(bound: Duration) -> Self {
        Self {
            confirmed: None,
            suspended: Duration::ZERO,
            bound,
        }
    }

    /// Notes that a read which was *sent* at `asked_at` found the configuration unchanged
    /// or brought the newest one. `suspended` is the time spent suspended when it was sent.
    pub fn confirm(&mut self, asked_at: Instant, suspended: Duration) {
        if suspended + SUSPENSION_MIN < self.suspended {
            return;
        }
        self.confirmed = self.confirmed.max(Some(asked_at));
    }

    /// Notes the time spent suspended so far; more of it ends the proof.
    pub fn observe(&mut self, suspended: Duration) {
        if suspended >= self.suspended + SUSPENSION_MIN {
            self.confirmed = None;
            self.suspended = suspended;
        }
    }

    /// Changes how long a withdrawn key may still be used.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// Returns how old the proof is.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether requests with keys may run.
    pub fn holds(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < self.bound)
    }
}

/// Returns the time that the machine has spent suspended since its start.
pub fn suspended() -> Duration {
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
