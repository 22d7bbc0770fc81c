//! Why a request was refused, and what the caller may conclude from it.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::util::id::IdError;

/// Whether a request ran at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream answered it.
    Ran,
    /// No upstream started it.
    NotRun,
    /// An upstream may have started it.
    Unknown,
}

impl Outcome {
    /// Returns the text of the `x-cardamomroad-outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// The reason of a refusal.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Returns the text of the `x-cardamomroad-reason` header.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Returns the HTTP status of the refusal.
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }
    };
}

reasons! {
    /// No route matches.
    NoRoute = "no-route", 404;
    /// The route needs a key.
    KeyMissing = "key-missing", 401;
    /// No such key, or it was withdrawn.
    KeyUnknown = "key-unknown", 401;
    /// The key stands where an upstream could see it.
    KeyExposed = "key-exposed", 400;
    /// This host has heard no news of keys for too long.
    KeyStale = "key-stale", 503;
    /// The route is not for this organisation.
    OrganisationDenied = "organisation-denied", 403;
    /// The organisation is over its rate and burst.
    Rate = "rate", 429;
    /// No upstream has a free slot.
    Overload = "overload", 503;
    /// The link's cap leaves no room.
    Link = "link", 503;
    /// The id is missing on a non-idempotent route, or malformed.
    BadRequestId = "bad-request-id", 400;
    /// The id is older than the window.
    IdExpired = "id-expired", 409;
    /// The first copy of this id is still running.
    InProgress = "in-progress", 409;
    /// The id ran before and its answer is no longer held.
    AlreadyRan = "already-ran", 409;
    /// The process named in the id is gone.
    IncarnationGone = "incarnation-gone", 409;
    /// The host or zone that must run it cannot be reached.
    Unreachable = "unreachable", 503;
    /// The upstream failed after the request left.
    UpstreamLost = "upstream-lost", 502;
    /// The deadline passed.
    Deadline = "deadline", 504;
    /// Requests like this one killed upstreams.
    Quarantined = "quarantined", 422;
    /// The host is leaving.
    Stopping = "stopping", 503;
    /// The host has no configuration yet.
    NotReady = "not-ready", 503;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Reason {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let found = Self::ALL.iter().find(|r| r.as_str() == text);
        found
            .copied()
            .ok_or_else(|| IdError::Malformed(text.to_owned(), "a reason of a refusal"))
    }
}

impl FromStr for Outcome {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let all = [Self::Ran, Self::NotRun, Self::Unknown];
        let found = all.into_iter().find(|o| o.as_str() == text);
        found.ok_or_else(|| IdError::Malformed(text.to_owned(), "an outcome of a request"))
    }
}
