//! The answers that a host gives in its own name.

use std::time::Duration;

use hyper::{
    Response,
    StatusCode, //
};

use super::{
    dialect::Dialect,
    message::Why, //
};
use crate::body::{
    ProxyBody,
    empty, //
};

/// Why a request ends without an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The head cannot be used.
    BadHead,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    Key,
    /// The body is longer than allowed.
    TooLong,
    /// This host does not know the configuration, or not that its keys still hold.
    NotReady,
    /// It was not run and will not be.
    NotRun(Why, Duration),
    /// It may have run; no usable answer came.
    Lost,
    /// No answer came in time.
    TimedOut,
}

impl Ending {
    /// Returns the status that callers see.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadHead => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotRun(Why::Rate, _) => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady | Self::NotRun(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadHead => "bad-head",
            Self::NoRoute => "no-route",
            Self::Key => "key",
            Self::TooLong => "too-long",
            Self::NotReady => "not-ready",
            Self::NotRun(why, _) => why.as_str(),
            Self::Lost => "lost",
            Self::TimedOut => "timed-out",
        }
    }

    /// Returns when the caller should come back, where the request did not run.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotRun(_, after) => Some(after),
            Self::NotReady => Some(NOT_READY_RETRY),
            _ => None,
        }
    }

    /// Returns the answer.
    pub fn response<D: Dialect>(self, dialect: &D) -> Response<ProxyBody> {
        let mut res = Response::new(empty());
        *res.status_mut() = self.status();
        if let Some(after) = self.retry_after() {
            dialect.set_retry_after(res.headers_mut(), after);
        }
        res
    }
}

/// When a caller comes back that met a host which is not ready; it then meets another one.
const NOT_READY_RETRY: Duration = Duration::from_millis(100);
