//! Which lenders leave loan messages unanswered.
//!
//! The belief is one for all resources of a host: a lender beyond a cut answers
//! for none of them, and must not use up the messages that others could answer.

use std::{
    collections::HashMap,
    time::Duration, //
};

use tokio::time::Instant;

use crate::util::id::HostName;

/// How long an answer may take; well above the round trip between regions.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest time between two messages to a lender that stays silent; a fraction of a loan's run.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// One lender that has not answered yet.
#[derive(Clone, Copy, Debug)]
struct UnansweredLender {
    first_asked_at: Instant,
    last_asked_at: Instant,
    /// How long it is left alone after the last message.
    backoff: Duration,
}

impl UnansweredLender {
    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.first_asked_at) >= REPLY_TIMEOUT
    }
}

/// The lenders that owe an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct LenderBackoff {
    unanswered: HashMap<HostName, UnansweredLender>,
}

impl LenderBackoff {
    /// Returns whether a lender may be asked now: a silent one only now and then.
    pub(super) fn may_request(&self, now: Instant, lender: &HostName) -> bool {
        let Some(unanswered) = self.unanswered.get(lender) else {
            return true;
        };
        let backoff_elapsed =
            now.saturating_duration_since(unanswered.last_asked_at) >= unanswered.backoff;
        !unanswered.is_overdue(now) || backoff_elapsed
    }

    /// Notes that a lender was asked.
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

    /// Notes that a lender answered.
    pub(super) fn record_reply(&mut self, lender: &HostName) {
        self.unanswered.remove(lender);
    }
}
