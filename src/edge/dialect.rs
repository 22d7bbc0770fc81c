//! The interface to the platform's own headers and look-up format.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    HeaderMap,
    Uri, //
    http::{
        request,
        response, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::machine_pace::PaceReport;
use crate::util::id::{
    OrganisationName,
    UpstreamId,
    ZoneName, //
};

/// The relevant headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The id of this attempt, which upstreams echo.
    pub id: Option<Bytes>,
    /// How long the caller waits for an answer.
    pub caller_timeout: Option<Duration>,
    /// The affinity key: requests with the same one should reach the same upstreams.
    pub object: Option<Bytes>,
    /// The API key.
    pub key: Option<Bytes>,
}

/// Headers that are added to a request for an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamHead<'a> {
    /// Time left until the deadline.
    pub time_left: Duration,
    /// The intended upstream; any other one must not run the request.
    pub upstream: &'a UpstreamId,
    /// The organisation of the caller's key.
    pub organisation: Option<&'a OrganisationName>,
}

/// The load that an upstream reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that the upstream is running.
    pub running: u32,
    /// Requests that wait at the upstream.
    pub waiting: u32,
    /// The pace of the upstream's machine, if it reports one. Messages between hosts leave it out
    /// otherwise, so that hosts of an older release can read them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<PaceReport>,
}

impl LoadReport {
    /// Returns the number of requests that run or wait at the upstream.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// The relevant headers of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The id of the answered request.
    pub id: Option<Bytes>,
    /// Whether the upstream confirms that it did not run the request.
    pub not_run: bool,
    /// Whether the request reached another upstream than the intended one.
    pub misdirected: bool,
    /// Whether the answer carries the header that identifies an upstream's own answer.
    pub has_server_stamp: bool,
    /// The upstream's load, if it reports one.
    pub load: Option<LoadReport>,
    /// How long the upstream keeps this connection open when idle.
    pub keep_alive: Option<Duration>,
    /// Whether the upstream closes the connection after this answer.
    pub closes_connection: bool,
    /// Whether the upstream is about to stop and accepts no new requests.
    pub leaving: bool,
    /// How long the upstream wants no requests from this host. Only refusals have it.
    pub pause: Option<Duration>,
}

/// A caller's look-up of the hosts that it should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupQuery {
    /// The caller's zone, if it names a valid one.
    pub zone: Option<ZoneName>,
}

/// Reads and writes the platform's headers, and answers its look-ups.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a caller's headers. Removes the key and other headers that callers must not
    /// pass to an upstream.
    fn extract_caller_head(&self, parts: &mut request::Parts) -> CallerHead;

    /// Adds the headers for the upstream.
    fn set_upstream_head(&self, headers: &mut HeaderMap, head: &UpstreamHead<'_>);

    /// Reads the headers of an upstream's answer.
    fn answer_head(&self, parts: &response::Parts) -> AnswerHead;

    /// Sets the header that says after which time a caller should retry.
    fn set_retry_after(&self, headers: &mut HeaderMap, after: Duration);

    /// Parses a look-up; `None` for any other path.
    fn lookup(&self, uri: &Uri) -> Option<LookupQuery>;

    /// Returns the content type and body of the answer to a look-up.
    fn lookup_answer(&self, hosts: &[SocketAddr], ttl: Duration) -> (&'static str, Bytes);

    /// Returns whether a URI is that of the readiness probe.
    fn is_readiness(&self, uri: &Uri) -> bool;
}
