//! The era of the store, as known to this host from the answers of the store and of other hosts.

use std::time::Duration;

use tokio::time::Instant;

use super::topic::Era;

/// How long the store must send only lower eras until the lower one is adopted. It is longer than
/// the longest watch, so that answers to calls from before the rise cannot cause it.
pub const LOWER_ERA_TIMEOUT: Duration = Duration::from_secs(10);

/// What an answer's era means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraStep {
    /// The answer belongs to the known era.
    Current,
    /// The answer is from another era, which is now the known one.
    Changed {
        /// The era that was known before.
        old: Era,
        /// The era that is known now.
        new: Era,
    },
    /// The answer is from an earlier era and must not be used.
    Late,
}

/// The known era.
#[derive(Clone, Debug, Default)]
pub struct EraTracker {
    known: Option<Era>,
    /// When the first answer of the store with a lower era arrived after one with the known era.
    lower_since: Option<Instant>,
    /// The era that was given up for a lower one. Other hosts may still report it.
    given_up: Option<Era>,
}

impl EraTracker {
    /// Returns the known era; `None` before the first answer.
    pub fn known(&self) -> Option<Era> {
        self.known
    }

    /// Records the era of an answer of the store; `None` if the answer has no valid one, in which
    /// case it counts as an answer of the known era.
    pub fn observe_store(&mut self, era: Option<Era>, now: Instant) -> EraStep {
        let known = self.known;
        let Some(era) = era.or_else(|| known.is_none().then(Era::default)) else {
            return EraStep::Current;
        };
        if known.is_none_or(|known| known <= era) {
            self.lower_since = None;
            return self.adopt(era);
        }
        let since = *self.lower_since.get_or_insert(now);
        if now.saturating_duration_since(since) <= LOWER_ERA_TIMEOUT {
            return EraStep::Late;
        }
        self.lower_since = None;
        let step = self.adopt(era);
        self.given_up = known;
        step
    }

    /// Records the era of an answer or query of another host, or of a refusal of the store. It can
    /// only raise the known era.
    pub fn observe_report(&mut self, era: Era) -> EraStep {
        let is_given_up = self.given_up.is_some_and(|given_up| era <= given_up);
        match self.known {
            Some(known) if era < known => EraStep::Late,
            Some(known) if era > known && is_given_up => EraStep::Late,
            _ => self.adopt(era),
        }
    }

    fn adopt(&mut self, era: Era) -> EraStep {
        match self.known.replace(era) {
            Some(old) if old != era => {
                self.given_up = None;
                EraStep::Changed { old, new: era }
            }
            _ => EraStep::Current,
        }
    }
}
