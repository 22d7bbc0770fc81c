//! Distinguishes a store that cannot be reached from a single call that failed.
//!
//! A watch that waits may be closed at any time. Only a call that does not wait shows whether the
//! store answers, and only an outage of some length lets the registrations of running upstreams
//! lapse. A relay that passes on nothing new shows no outage, since it may have lost only its own
//! connection to the store.

use std::time::Duration;

use tokio::time::Instant;

/// The shortest failure that counts as an outage by default.
const OUTAGE_MIN_DEFAULT: Duration = Duration::from_millis(1500);
/// How long calls that do not wait must have failed for an outage.
const FAILURE_MIN: Duration = Duration::from_millis(500);
/// Shortest time between the ends of two outages that are told apart, since hosts learn of the same
/// end at slightly different times.
const SAME_OUTAGE: Duration = Duration::from_secs(1);

/// Whether the store answers this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreState {
    /// The last call was answered, or there was none yet.
    #[default]
    Answering,
    /// A watch failed while it waited. The next call shows whether the store answers.
    Doubtful,
    /// A call that did not wait failed, too.
    Failing,
}

/// Whether the store answers, and when its last outage ended.
#[derive(Clone, Debug)]
pub struct StoreHealth {
    state: StoreState,
    /// When the store was last known to answer this host or the relay.
    answered_at: Option<Instant>,
    /// When the first call that did not wait was sent, of those that failed since.
    failing_since: Option<Instant>,
    outage_ended_at: Option<Instant>,
    outage_min: Duration,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self::new(OUTAGE_MIN_DEFAULT)
    }
}

impl StoreHealth {
    /// Creates the state before the first call. Shorter failures than `outage_min` let no
    /// registration lapse, and are no outages.
    pub fn new(outage_min: Duration) -> Self {
        Self {
            state: StoreState::default(),
            answered_at: None,
            failing_since: None,
            outage_ended_at: None,
            outage_min,
        }
    }

    /// Returns whether the store answers.
    pub fn state(&self) -> StoreState {
        self.state
    }

    /// Returns when the last outage ended that may have let registrations lapse.
    pub fn outage_ended_at(&self) -> Option<Instant> {
        self.outage_ended_at
    }

    /// Records that the store has answered a call.
    pub fn record_answer(&mut self, now: Instant) {
        let lasts = |since: Option<Instant>, min| {
            since.is_some_and(|at| now.saturating_duration_since(at) >= min)
        };
        let is_failing = lasts(self.failing_since.take(), FAILURE_MIN);
        if is_failing && lasts(self.answered_at, self.outage_min) {
            self.outage_ended_at = Some(now);
        }
        self.state = StoreState::Answering;
        self.answered_at = Some(now);
    }

    /// Records that a call failed that was sent at `sent_at`. `is_watch` tells whether it may have
    /// failed while it waited for a change.
    pub fn record_failure(&mut self, sent_at: Instant, is_watch: bool) {
        if !is_watch {
            self.failing_since.get_or_insert(sent_at);
        }
        self.state = match self.failing_since {
            Some(_) => StoreState::Failing,
            None => StoreState::Doubtful,
        };
    }

    /// Records that the store has answered a call of the relay that was sent at `sent_at`.
    pub fn record_relayed_answer(&mut self, sent_at: Instant) {
        self.answered_at = self.answered_at.max(Some(sent_at));
    }

    /// Records the end of an outage that the relay has observed.
    pub fn record_relayed_outage_end(&mut self, at: Instant) {
        if self
            .outage_ended_at
            .is_none_or(|known| at >= known + SAME_OUTAGE)
        {
            self.outage_ended_at = Some(at);
        }
    }
}
