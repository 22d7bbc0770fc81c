//! Limits the reuse of idle connections after resets.
//!
//! An upstream may drop idle connections earlier than it announces and without closing
//! them. The next request on such a connection is reset, and it is unknown whether it ran.
//! Single requests are reset for other reasons too. If a large share of the requests on
//! connections that had been idle is reset, only connections with a much shorter idle time
//! are reused for a while, and new ones are opened instead of the others.

use std::time::Duration;

use tokio::time::Instant;

/// How much longer than a round trip a reset may take to count as one of a dropped connection.
/// Requests that an upstream works on before the reset take longer.
const RESET_SLACK: Duration = Duration::from_millis(5);
/// The longest idle time of a reused connection while reuse is limited.
const RESTED_MAX: Duration = Duration::from_millis(100);
/// How long reuse stays limited.
const MEMORY: Duration = Duration::from_secs(10);
/// The weight of one request in the moving average of the reset rate.
const SAMPLE_WEIGHT: f64 = 0.15;
/// The reset rate from which on reuse is limited; three resets almost in a row reach it.
const FORGOTTEN_PART: f64 = 0.35;

/// Moving average of the resets on connections that had been idle.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forgetting {
    /// The rate of requests that were reset at once, from 0 to 1.
    reset: f64,
    /// When the rate last reached the limit.
    since: Option<Instant>,
}

impl Forgetting {
    /// Returns whether a connection that has been idle for `rested` may be reused.
    pub fn allows(&self, now: Instant, rested: Duration) -> bool {
        let remembered = |at: Instant| now.saturating_duration_since(at) < MEMORY;
        rested <= RESTED_MAX || !self.since.is_some_and(remembered)
    }

    /// Records an answered request on a connection that had been idle for `rested`.
    pub fn answered(&mut self, rested: Duration) {
        if rested > RESTED_MAX {
            self.reset -= self.reset * SAMPLE_WEIGHT;
        }
    }

    /// Records a request that failed without an answer, after `waited`, on a connection that
    /// had been idle for `rested`, to an address with the given round-trip time.
    ///
    /// A failure that takes longer than a round trip is ignored: the upstream may have been
    /// working on the request, so that the idle time need not be the cause.
    pub fn lost(&mut self, now: Instant, rested: Duration, waited: Duration, round_trip: Duration) {
        if waited > round_trip + RESET_SLACK || rested <= RESTED_MAX {
            return;
        }
        self.reset += (1.0 - self.reset) * SAMPLE_WEIGHT;
        if self.reset < FORGOTTEN_PART {
            return;
        }
        log::info!(
            event = "connections-forgotten",
            rested_ms = rested.as_millis() as u64,
            part = format!("{:.2}", self.reset).as_str(),
            use_until_ms = RESTED_MAX.as_millis() as u64;
            ""
        );
        self.since = Some(now);
        self.reset = 0.0;
    }
}
