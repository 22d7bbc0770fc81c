//! Pacing of upstreams that bear little work because they have just started.

use std::time::Duration;

use tokio::time::Instant;

/// The part of the cold rate that is used; the rest covers hosts that disagree on who shares it.
const USED_PART: f64 = 0.8;

/// Spaces one host's requests to one cold upstream.
#[derive(Clone, Copy, Debug)]
pub struct ColdPace {
    next: Instant,
}

impl ColdPace {
    /// Returns a pace that lets the first request pass at once.
    pub fn new(now: Instant) -> Self {
        Self { next: now }
    }

    /// Returns whether a request may be sent now.
    pub fn is_open(&self, now: Instant) -> bool {
        self.next <= now
    }

    /// Notes a request; the next may follow after this host's share of `rate`
    /// requests a second, which `hosts` hosts divide evenly.
    pub fn sent(&mut self, now: Instant, rate: f64, hosts: usize) {
        let own = rate * USED_PART / hosts.max(1) as f64;
        let gap = match own > 0.0 {
            true => Duration::from_secs_f64((1.0 / own).min(3600.0)),
            false => Duration::from_secs(3600),
        };
        self.next = now + gap;
    }
}
