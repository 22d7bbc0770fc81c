//! Until when a stopping host takes requests and sends them to upstreams.
//!
//! The platform ends the process when the grace period is over, so that a request that an upstream
//! is still working on then gets no answer. A request that may take longer is therefore refused as
//! not run, and its caller can use another host at once.

use std::time::Duration;

use tokio::time::Instant;

use super::settings::Bounds;
use crate::util::time::SaturatingAdd;

/// Callers may use the answer to a look-up for up to this many times its time to live.
const LOOKUP_TTL_OVERRUN: u32 = 3;
/// A stopping host accepts new connections for at most the grace period divided by this.
const LINGER_DIVISOR: u32 = 2;
/// How long before the end of the grace period a stopping host exits.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// How long before the exit the last answers are given.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// How many times as long as usual a request may take that is sent to an upstream.
const WORK_SPREAD: u32 = 4;

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Until when new connections are accepted.
    pub linger_until: Instant,
    /// When the process exits, even if requests are at work.
    pub exit_at: Instant,
}

impl ShutdownSchedule {
    /// Returns the schedule of a stop that began at `stopped_at`.
    pub fn new(stopped_at: Instant, bounds: &Bounds) -> Self {
        let linger = (bounds.lookup_ttl * LOOKUP_TTL_OVERRUN).min(bounds.grace / LINGER_DIVISOR);
        Self {
            linger_until: stopped_at + linger,
            exit_at: stopped_at.saturating_add(bounds.grace.saturating_sub(EXIT_MARGIN)),
        }
    }

    /// Returns when the last answers are given.
    pub fn last_answer_at(&self) -> Instant {
        self.exit_at
            .checked_sub(LAST_ANSWER_MARGIN)
            .unwrap_or(self.exit_at)
    }

    /// Returns whether a request that is sent to an upstream at `now` gets its answer before the
    /// exit. `work` is how long the route's requests usually take, if that is known.
    ///
    /// After the linger time the deadline alone counts, since the requests that come then have been
    /// held up.
    pub fn ends_in_time(&self, now: Instant, deadline: Instant, work: Option<Duration>) -> bool {
        let last_answer_at = self.last_answer_at();
        if deadline <= last_answer_at {
            return true;
        }
        let is_usually_done =
            |work: Duration| now.saturating_add(work * WORK_SPREAD) <= last_answer_at;
        now <= self.linger_until && work.is_some_and(is_usually_done)
    }
}
