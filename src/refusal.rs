//! A refusal: why a request was refused, whether it ran, when to come back.

use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

pub use crate::reason::{
    Outcome,
    Reason, //
};

/// A refusal: its reason, what is known of the run, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether an upstream ran it.
    pub outcome: Outcome,
    /// When a retry makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal of a request that no upstream started.
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    /// Returns a refusal of a request that an upstream may have run.
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            outcome: Outcome::Unknown,
            retry_after: None,
        }
    }

    /// Adds the time after which a retry makes sense.
    pub const fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.outcome)
    }
}
