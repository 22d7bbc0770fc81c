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
    /// A call failed. The next ones, which do not wait, show whether the store answers.
    Doubtful,
    /// Calls that do not wait fail one after another.
    Failing,
}

/// A failed call that did not wait for a change.
#[derive(Clone, Copy, Debug)]
struct Failure {
    sent_at: Instant,
    failed_at: Instant,
}

/// Whether the store answers, and when its last outage ended.
#[derive(Clone, Debug)]
pub struct StoreHealth {
    state: StoreState,
    /// When the store was last known to answer this host or the relay.
    answered_at: Option<Instant>,
    /// The first failed call since then that did not wait; `None` if there is none.
    first_failure: Option<Failure>,
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
            first_failure: None,
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
        let failing_since = self.first_failure.take().map(|f| f.sent_at);
        let is_failing = lasts(failing_since, FAILURE_MIN);
        if is_failing && lasts(self.answered_at, self.outage_min) {
            self.outage_ended_at = Some(now);
        }
        self.state = StoreState::Answering;
        self.answered_at = Some(now);
    }

    /// Records that a call failed at `now` that was sent at `sent_at`. `is_watch` tells whether it
    /// may have failed while it waited for a change.
    pub fn record_failure(&mut self, now: Instant, sent_at: Instant, is_watch: bool) {
        let is_repeated = self.first_failure.is_some_and(|f| f.failed_at <= sent_at);
        if !is_watch && is_repeated {
            self.state = StoreState::Failing;
        }
        if self.state == StoreState::Answering {
            self.state = StoreState::Doubtful;
        }
        if !is_watch {
            let failed_at = now;
            self.first_failure
                .get_or_insert(Failure { sent_at, failed_at });
        }
    }

    /// Records that the store has answered a call of the relay that was sent at `sent_at`. This host
    /// makes no calls then, so that earlier failures of its own say nothing about later ones.
    pub fn record_relayed_answer(&mut self, sent_at: Instant) {
        self.answered_at = self.answered_at.max(Some(sent_at));
        if self.first_failure.is_some_and(|f| f.failed_at <= sent_at) {
            self.first_failure = None;
            self.state = StoreState::Answering;
        }
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
