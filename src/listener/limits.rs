//! Limits of the connections that a process accepts.

use std::time::Duration;

use super::activity::{
    Activity,
    CloseCause, //
};

/// The most bytes of empty lines before a request.
const EMPTY_LINE_BYTES_MAX: usize = 1024;
/// The most bytes that an HTTP/2 client may send without a request. More than the windows of an
/// HTTP/2 listener without limits, so that the rest of a refused upload fits.
const CONTROL_BYTES_DEFAULT: usize = 4 * 1024 * 1024;
/// The size of a head up to which the HTTP library accepts it by default, in bytes.
const HEAD_BYTES_DEFAULT: usize = 408 * 1024;

/// Limits of a process's connections, which all its listeners share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes_max: usize,
    /// Maximum number of fields in a head; `None` for the default of the HTTP library.
    pub head_fields_max: Option<usize>,
    /// Maximum time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Maximum size of the empty lines before a head, in bytes.
    pub empty_line_bytes_max: usize,
    /// Maximum number of bytes that an HTTP/2 client may send without a request.
    pub control_bytes_max: usize,
    /// How long a connection may have no request.
    pub idle_time: Duration,
    /// How long a client may take nothing of an answer that is ready.
    pub unread_time: Duration,
    /// Maximum number of connections.
    pub connections_max: usize,
    /// Maximum number of bytes held for clients: heads, data read ahead and unread answers.
    pub held_bytes_max: u64,
    /// Whether HTTP/2 connections have the lower limits of untrusted clients.
    pub limits_http2: bool,
}

impl Default for Limits {
    /// The limits of the HTTP library only.
    fn default() -> Self {
        Self {
            head_bytes_max: HEAD_BYTES_DEFAULT,
            head_fields_max: None,
            head_time: Duration::MAX,
            empty_line_bytes_max: EMPTY_LINE_BYTES_MAX,
            control_bytes_max: CONTROL_BYTES_DEFAULT,
            idle_time: Duration::MAX,
            unread_time: Duration::MAX,
            connections_max: usize::MAX,
            held_bytes_max: u64::MAX,
            limits_http2: false,
        }
    }
}

impl Limits {
    /// Returns why a connection that has been in `activity` for `duration` is to be closed.
    pub fn overdue(&self, activity: Activity, duration: Duration) -> Option<CloseCause> {
        let (max, cause) = match activity {
            Activity::Serving => return None,
            Activity::Idle => (self.idle_time, CloseCause::Idle),
            Activity::ReadingHead => (self.head_time, CloseCause::SlowHead),
            Activity::Unread => (self.unread_time, CloseCause::Unread),
        };
        (duration > max).then_some(cause)
    }
}
