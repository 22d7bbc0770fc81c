//! The answers that a host generates itself, without an upstream.

use std::time::Duration;

use hyper::{
    Response,
    StatusCode, //
};

use super::{
    dialect::Dialect,
    message::RefusalReason, //
};
use crate::body::{
    ProxyBody,
    empty, //
};

/// Why a request ends without an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The request's head or body is malformed or incomplete.
    BadHead,
    /// No route matches the host name and path.
    NoRoute,
    /// The caller's key is missing or unknown.
    Key,
    /// The request body is longer than the configuration allows.
    TooLong,
    /// This host has no configuration, or none recent enough to check keys.
    NotReady,
    /// The request did not run; the caller may retry after the given time.
    NotRun(RefusalReason, Duration),
    /// The request may have run, but no usable answer came.
    Lost,
    /// The request may have run, but no answer came in time.
    TimedOut,
}

impl RequestError {
    /// Returns the HTTP status that the caller gets.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadHead => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotRun(RefusalReason::Rate, _) => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady | Self::NotRun(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadHead => "bad-head",
            Self::NoRoute => "no-route",
            Self::Key => "key",
            Self::TooLong => "too-long",
            Self::NotReady => "not-ready",
            Self::NotRun(reason, _) => reason.as_str(),
            Self::Lost => "lost",
            Self::TimedOut => "timed-out",
        }
    }

    /// Returns after which time the caller should retry; `None` for errors that carry no
    /// such hint.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotRun(_, after) => Some(after),
            Self::NotReady => Some(NOT_READY_RETRY_AFTER),
            _ => None,
        }
    }

    /// Returns the response to send to the caller.
    pub fn response<D: Dialect>(self, dialect: &D) -> Response<ProxyBody> {
        let mut res = Response::new(empty());
        *res.status_mut() = self.status();
        if let Some(after) = self.retry_after() {
            dialect.set_retry_after(res.headers_mut(), after);
        }
        res
    }
}

/// Retry-after value of a host that is not ready; the retry goes to another host.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(100);
