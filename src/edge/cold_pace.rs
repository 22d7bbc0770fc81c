//! Pacing of requests to cold upstreams, which have just started and can take few requests.

use std::time::Duration;

use tokio::time::Instant;

/// Fraction of the cold rate that is used; the rest is a margin for hosts that disagree on how many
/// share it.
const USED_RATE_FRACTION: f64 = 0.8;

/// Limits the rate of one host's requests to one cold upstream.
#[derive(Clone, Copy, Debug)]
pub struct ColdPace {
    next_at: Instant,
}

impl ColdPace {
    /// Creates a pace that permits the first request immediately.
    pub fn new(now: Instant) -> Self {
        Self { next_at: now }
    }

    /// Returns whether a request may be sent now.
    pub fn is_available(&self, now: Instant) -> bool {
        self.next_at <= now
    }

    /// Records a sent request and schedules the next one according to this host's share of `rate`,
    /// in requests per second, which `hosts` hosts divide evenly.
    pub fn record_sent(&mut self, now: Instant, rate: f64, hosts: usize) {
        let own = rate * USED_RATE_FRACTION / hosts.max(1) as f64;
        let gap = match own > 0.0 {
            true => Duration::from_secs_f64((1.0 / own).min(3600.0)),
            false => Duration::from_secs(3600),
        };
        self.next_at = now + gap;
    }
}
