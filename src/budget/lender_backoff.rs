//! Backoff for lenders that do not answer loan requests.
//!
//! The backoff covers all resources of a host together: a lender behind a network
//! partition answers for none of them, and requests to it would use up the message
//! limit that reachable lenders need.

use std::{
    collections::HashMap,
    time::Duration, //
};

use tokio::time::Instant;

use crate::util::id::HostName;

/// Time after which a lender counts as unresponsive; well above the round trip
/// between regions.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time between two requests to an unresponsive lender; a fraction of a
/// loan's duration.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// A lender with an unanswered request.
#[derive(Clone, Copy, Debug)]
struct UnansweredLender {
    first_asked_at: Instant,
    last_asked_at: Instant,
    /// Delay after the last request before the next one, once the lender is overdue.
    backoff: Duration,
}

impl UnansweredLender {
    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.first_asked_at) >= REPLY_TIMEOUT
    }
}

/// The lenders with unanswered requests, with their backoff.
#[derive(Clone, Debug, Default)]
pub(super) struct LenderBackoff {
    unanswered: HashMap<HostName, UnansweredLender>,
}

impl LenderBackoff {
    /// Reports whether a request may be sent to a lender now. To an overdue lender it
    /// may once per backoff delay.
    pub(super) fn may_request(&self, now: Instant, lender: &HostName) -> bool {
        let Some(unanswered) = self.unanswered.get(lender) else {
            return true;
        };
        let backoff_elapsed =
            now.saturating_duration_since(unanswered.last_asked_at) >= unanswered.backoff;
        !unanswered.is_overdue(now) || backoff_elapsed
    }

    /// Records a request; the backoff of an overdue lender doubles up to [`BACKOFF_MAX`].
    pub(super) fn record_request(&mut self, now: Instant, lender: &HostName) {
        let first = UnansweredLender {
            first_asked_at: now,
            last_asked_at: now,
            backoff: REPLY_TIMEOUT,
        };
        let unanswered = self.unanswered.entry(lender.clone()).or_insert(first);
        unanswered.last_asked_at = now;
        if unanswered.is_overdue(now) {
            unanswered.backoff = (unanswered.backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Records a reply, which ends the lender's backoff.
    pub(super) fn record_reply(&mut self, lender: &HostName) {
        self.unanswered.remove(lender);
    }
}
