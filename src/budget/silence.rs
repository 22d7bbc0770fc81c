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
const ANSWER_PATIENCE: Duration = Duration::from_millis(500);
/// The longest time between two messages to a lender that stays silent; a fraction of a loan's run.
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// One lender that has not answered yet.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    since: Instant,
    asked_at: Instant,
    /// How long it is left alone after the last message.
    pause: Duration,
}

impl Unanswered {
    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= ANSWER_PATIENCE
    }
}

/// The lenders that owe an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct Silence {
    unanswered: HashMap<HostName, Unanswered>,
}

impl Silence {
    /// Returns whether a lender may be asked now: a silent one only now and then.
    pub(super) fn may_ask(&self, now: Instant, lender: &HostName) -> bool {
        let Some(unanswered) = self.unanswered.get(lender) else {
            return true;
        };
        let rested = now.saturating_duration_since(unanswered.asked_at) >= unanswered.pause;
        !unanswered.is_silent(now) || rested
    }

    /// Notes that a lender was asked.
    pub(super) fn asked(&mut self, now: Instant, lender: &HostName) {
        let first = Unanswered {
            since: now,
            asked_at: now,
            pause: ANSWER_PATIENCE,
        };
        let unanswered = self.unanswered.entry(lender.clone()).or_insert(first);
        unanswered.asked_at = now;
        if unanswered.is_silent(now) {
            unanswered.pause = (unanswered.pause * 2).min(PAUSE_MAX);
        }
    }

    /// Notes that a lender answered.
    pub(super) fn answered(&mut self, lender: &HostName) {
        self.unanswered.remove(lender);
    }
}
