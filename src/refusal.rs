//! Why a request was refused, and whether it ran.

use std::fmt;

use hyper::StatusCode;
use serde::{
    Deserialize,
    Serialize, //
};

/// What is known about the run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream answered it.
    Ran,
    /// No upstream started it, and none will.
    NotRun,
    /// An upstream may have run it.
    Unknown,
}

impl Outcome {
    /// Returns the text of the outcome header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Reads the text of the outcome header.
    pub fn from_bytes(text: &[u8]) -> Option<Self> {
        [Self::Ran, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|o| o.as_str().as_bytes() == text)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// The reason of a refusal, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No route matches.
    NoRoute,
    /// The route needs a key.
    KeyMissing,
    /// The key is not known or was withdrawn.
    KeyUnknown,
    /// The key stands where an upstream could see it.
    KeyExposed,
    /// This host has had no news of keys for too long.
    KeyStale,
    /// The route is not for this organisation.
    OrganisationDenied,
    /// The organisation is over its rate and burst.
    Rate,
    /// No upstream has a free slot.
    Overload,
    /// The link's cap leaves no room.
    Link,
    /// The request id is missing or malformed.
    BadRequestId,
    /// The request id is older than the window.
    IdExpired,
    /// The first copy of this id is still running.
    InProgress,
    /// The id ran before, and its answer is no longer held.
    AlreadyRan,
    /// The process that the id names is gone.
    IncarnationGone,
    /// The host or zone that must run the request cannot be reached.
    Unreachable,
    /// The upstream failed after the request left.
    UpstreamLost,
    /// The deadline passed.
    Deadline,
    /// Requests like this one killed upstreams.
    Quarantined,
    /// The host is leaving.
    Stopping,
    /// The host has no configuration yet.
    NotReady,
}

/// Every reason, for tables and metrics.
pub const REASONS: [Reason; 20] = [
    Reason::NoRoute,
    Reason::KeyMissing,
    Reason::KeyUnknown,
    Reason::KeyExposed,
    Reason::KeyStale,
    Reason::OrganisationDenied,
    Reason::Rate,
    Reason::Overload,
    Reason::Link,
    Reason::BadRequestId,
    Reason::IdExpired,
    Reason::InProgress,
    Reason::AlreadyRan,
    Reason::IncarnationGone,
    Reason::Unreachable,
    Reason::UpstreamLost,
    Reason::Deadline,
    Reason::Quarantined,
    Reason::Stopping,
    Reason::NotReady,
];

impl Reason {
    /// Returns the text of the reason header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::KeyMissing => "key-missing",
            Self::KeyUnknown => "key-unknown",
            Self::KeyExposed => "key-exposed",
            Self::KeyStale => "key-stale",
            Self::OrganisationDenied => "organisation-denied",
            Self::Rate => "rate",
            Self::Overload => "overload",
            Self::Link => "link",
            Self::BadRequestId => "bad-request-id",
            Self::IdExpired => "id-expired",
            Self::InProgress => "in-progress",
            Self::AlreadyRan => "already-ran",
            Self::IncarnationGone => "incarnation-gone",
            Self::Unreachable => "unreachable",
            Self::UpstreamLost => "upstream-lost",
            Self::Deadline => "deadline",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
            Self::NotReady => "not-ready",
        }
    }

    /// Reads the text of the reason header.
    pub fn from_bytes(text: &[u8]) -> Option<Self> {
        REASONS.into_iter().find(|r| r.as_str().as_bytes() == text)
    }

    /// Returns the status of the refusal.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::KeyMissing | Self::KeyUnknown => StatusCode::UNAUTHORIZED,
            Self::KeyExposed | Self::BadRequestId => StatusCode::BAD_REQUEST,
            Self::OrganisationDenied => StatusCode::FORBIDDEN,
            Self::Rate => StatusCode::TOO_MANY_REQUESTS,
            Self::IdExpired | Self::InProgress | Self::AlreadyRan | Self::IncarnationGone => {
                StatusCode::CONFLICT
            }
            Self::UpstreamLost => StatusCode::BAD_GATEWAY,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Self::KeyStale
            | Self::Overload
            | Self::Link
            | Self::Unreachable
            | Self::Stopping
            | Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// A refusal: its reason, what is known of the run, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether an upstream ran it.
    pub outcome: Outcome,
    /// When a retry makes sense.
    pub retry_after: Option<std::time::Duration>,
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
    pub const fn with_retry_after(mut self, after: std::time::Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.outcome)
    }
}
