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
const IDLE_MAX_AFTER_RESETS: Duration = Duration::from_millis(100);
/// How long reuse stays limited.
const IDLE_LIMIT_DURATION: Duration = Duration::from_secs(10);
/// The weight of one request in the moving average of the reset rate.
const SAMPLE_WEIGHT: f64 = 0.15;
/// The reset rate from which on reuse is limited; three resets almost in a row reach it.
const RESET_RATE_MAX: f64 = 0.35;

/// Moving average of the resets on connections that had been idle.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleResetDetector {
    /// The rate of requests that were reset at once, from 0 to 1.
    reset_rate: f64,
    /// When the rate last reached the limit.
    limited_since: Option<Instant>,
}

impl IdleResetDetector {
    /// Returns whether a connection that has been idle for `idle_time` may be reused.
    pub fn allows_reuse(&self, now: Instant, idle_time: Duration) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < IDLE_LIMIT_DURATION;
        idle_time <= IDLE_MAX_AFTER_RESETS || !self.limited_since.is_some_and(is_recent)
    }

    /// Records an answered request on a connection that had been idle for `idle_time`.
    pub fn record_answer(&mut self, idle_time: Duration) {
        if idle_time > IDLE_MAX_AFTER_RESETS {
            self.reset_rate -= self.reset_rate * SAMPLE_WEIGHT;
        }
    }

    /// Records a request that failed without an answer, after `waited`, on a connection that
    /// had been idle for `idle_time`, to an address with the given round-trip time.
    ///
    /// A failure that takes longer than a round trip is ignored: the upstream may have been
    /// working on the request, so that the idle time need not be the cause.
    pub fn record_loss(
        &mut self,
        now: Instant,
        idle_time: Duration,
        waited: Duration,
        round_trip: Duration,
    ) {
        if waited > round_trip + RESET_SLACK || idle_time <= IDLE_MAX_AFTER_RESETS {
            return;
        }
        self.reset_rate += (1.0 - self.reset_rate) * SAMPLE_WEIGHT;
        if self.reset_rate < RESET_RATE_MAX {
            return;
        }
        log::info!(
            event = "connections-forgotten",
            rested_ms = idle_time.as_millis() as u64,
            part = format!("{:.2}", self.reset_rate).as_str(),
            use_until_ms = IDLE_MAX_AFTER_RESETS.as_millis() as u64;
            ""
        );
        self.limited_since = Some(now);
        self.reset_rate = 0.0;
    }
}
