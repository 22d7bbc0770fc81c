//! Refusals of requests: their reasons, HTTP statuses and outcomes.

use std::fmt;

use hyper::StatusCode;
use serde::{
    Deserialize,
    Serialize, //
};

/// Whether an upstream ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream ran the request and answered it.
    Ran,
    /// No upstream started the request, and none will.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the value of the outcome header.
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

/// The reason of a refusal, sent to the caller in the reason header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No route matches.
    NoRoute,
    /// The route requires a key, and the request has none.
    KeyMissing,
    /// The key is unknown or was withdrawn.
    KeyUnknown,
    /// The key is in a part of the request that is forwarded to upstreams, or the request has more
    /// than one key.
    KeyExposed,
    /// This host's list of withdrawn keys is too old, so the key cannot be trusted.
    KeyStale,
    /// The route does not allow this organisation.
    OrganisationDenied,
    /// The organisation has exceeded its rate and used up its burst.
    Rate,
    /// No upstream has a free slot.
    Overload,
    /// The request would exceed the cap of a network link.
    Link,
    /// The request id is missing or malformed.
    BadRequestId,
    /// The request id is older than the window in which ids are remembered.
    IdExpired,
    /// An earlier request with this id is still running.
    InProgress,
    /// A request with this id has already run, and its answer is no longer stored.
    AlreadyRan,
    /// The request id names a process (incarnation) of an entry host that has ended.
    IncarnationGone,
    /// The host or zone that must run the request cannot be reached.
    Unreachable,
    /// The upstream failed after the request was sent to it.
    UpstreamLost,
    /// The request's deadline passed before an answer arrived.
    Deadline,
    /// Similar requests crashed upstreams, so this one is not sent to any.
    Quarantined,
    /// The entry host is shutting down.
    Stopping,
    /// The entry host has not received a configuration yet.
    NotReady,
}

/// All reasons, in the order of their declaration.
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
    /// Returns the value of the reason header.
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

    /// Parses the value of the reason header.
    pub fn from_bytes(text: &[u8]) -> Option<Self> {
        REASONS.into_iter().find(|r| r.as_str().as_bytes() == text)
    }

    /// Returns the HTTP status of an answer that refuses a request for this reason.
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

/// A refused request: the reason, whether it ran, and when to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether an upstream ran the request.
    pub outcome: Outcome,
    /// Delay after which a retry may succeed; absent if none is known.
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

    /// Sets the delay after which a retry may succeed.
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
