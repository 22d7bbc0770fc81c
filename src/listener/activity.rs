//! What a client's connection is doing, and the bytes that it takes.

use std::time::Duration;

use tokio::time::Instant;

use super::limits::Limits;

/// Estimated memory of a connection without any received byte, in bytes.
const CONNECTION_BYTES: u64 = 4096;
/// Estimated memory of the HTTP server's state once it has received data, in bytes.
const SERVER_BYTES: u64 = 12 * 1024;
/// Size of the HTTP server's read buffer after its second read, in bytes.
const BUFFER_BYTES: u64 = 16 * 1024;
/// Estimated memory of an HTTP/2 connection: its frame buffers and header tables, in bytes.
const HTTP2_BYTES: u64 = 32 * 1024;
/// The first bytes of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI";

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// It has no request and no part of one.
    Idle,
    /// A part of a head has been received.
    ReadingHead,
    /// A request is being served.
    Serving,
    /// An answer is ready, and the client does not read it.
    Unread,
}

/// Why a connection is closed before its client ends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseCause {
    /// It was idle for too long, or idle under pressure.
    Idle,
    /// A head did not end in time, or was incomplete under pressure.
    SlowHead,
    /// An answer was not read.
    Unread,
    /// Too many empty lines were sent before a request.
    EmptyLines,
    /// Too many HTTP/2 control frames were sent without a request.
    ControlFrames,
    /// A head was larger than the limit.
    LargeHead,
    /// There was no room for a new connection.
    Refused,
    /// A request was answered 503 for lack of memory.
    Shed,
}

impl CloseCause {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::SlowHead => "slow-head",
            Self::Unread => "unread",
            Self::EmptyLines => "empty-lines",
            Self::ControlFrames => "control-frames",
            Self::LargeHead => "large-head",
            Self::Refused => "refused",
            Self::Shed => "shed",
        }
    }
}

/// Record of what one connection has received and sent.
///
/// A connection's own answers are counted by the `answer` module.
#[derive(Debug)]
pub struct Tracking {
    /// When the connection was opened, a head was begun or the last exchange ended.
    since: Instant,
    /// When bytes were last written, or an answer became ready.
    last_progress: Instant,
    /// Upper bound of the bytes that the HTTP server has buffered and not consumed.
    buffered: usize,
    /// Bytes of empty lines since the last exchange, if nothing else was received.
    empty_line_bytes: Option<usize>,
    /// The last bytes received, to detect whether anything follows a head.
    tail: [u8; 4],
    /// Bytes received on an HTTP/2 connection since it last had a request.
    control_bytes: usize,
    has_received: bool,
    reads_head: bool,
    is_http2: bool,
    /// Requests whose answers are not complete yet.
    exchanges: u32,
    /// Those of them whose answers are ready.
    answering: u32,
    /// Whether the bytes buffered at the end of the last request may belong to another one.
    keeps_buffered: bool,
    is_write_blocked: bool,
}

impl Tracking {
    /// Starts the record of a connection opened at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            last_progress: now,
            buffered: 0,
            empty_line_bytes: Some(0),
            tail: [0; 4],
            control_bytes: 0,
            has_received: false,
            reads_head: false,
            is_http2: false,
            exchanges: 0,
            answering: 0,
            keeps_buffered: false,
            is_write_blocked: false,
        }
    }

    /// Records bytes handed to the HTTP server; returns why the connection is to be closed.
    pub fn received(&mut self, data: &[u8], limits: &Limits, now: Instant) -> Option<CloseCause> {
        if !self.has_received {
            self.has_received = true;
            self.is_http2 = data.starts_with(HTTP2_PREFACE);
        }
        self.buffered = (self.buffered + data.len()).min(limits.head_bytes_max);
        for &byte in &data[data.len().saturating_sub(self.tail.len())..] {
            self.tail.rotate_left(1);
            self.tail[self.tail.len() - 1] = byte;
        }
        if self.exchanges > 0 {
            return None;
        }
        if self.is_http2 {
            self.control_bytes += data.len();
            let is_flood = self.control_bytes > limits.control_bytes_max;
            return is_flood.then_some(CloseCause::ControlFrames);
        }
        if !self.reads_head {
            self.reads_head = true;
            self.since = now;
        }
        let is_empty_line = |byte: &u8| matches!(byte, b'\r' | b'\n');
        self.empty_line_bytes = match self.empty_line_bytes {
            Some(before) if data.iter().all(is_empty_line) => Some(before + data.len()),
            _ => None,
        };
        let is_flood = self
            .empty_line_bytes
            .is_some_and(|bytes| bytes > limits.empty_line_bytes_max);
        is_flood.then_some(CloseCause::EmptyLines)
    }

    /// Records that a request's head is complete.
    pub fn request_began(&mut self, has_body: bool, is_http2: bool) {
        self.exchanges += 1;
        self.is_http2 = is_http2;
        self.reads_head = false;
        self.control_bytes = 0;
        // Without a body the buffer is empty if the last bytes received end a head.
        self.keeps_buffered = has_body || !self.tail.ends_with(b"\n\r\n");
    }

    /// Records that an answer is ready to be sent.
    pub fn answer_ready(&mut self, now: Instant) {
        self.last_progress = now;
        self.answering += 1;
    }

    /// Records that an answer has been handed over completely, or was given up before it was
    /// ready.
    pub fn request_ended(&mut self, was_ready: bool, now: Instant) {
        self.answering = self.answering.saturating_sub(u32::from(was_ready));
        self.exchanges = self.exchanges.saturating_sub(1);
        if self.exchanges > 0 {
            return;
        }
        self.since = now;
        self.empty_line_bytes = Some(0);
        if !self.keeps_buffered || self.is_http2 {
            self.buffered = 0;
        }
    }

    /// Records that bytes were written; returns whether writing was blocked before.
    pub fn wrote(&mut self, now: Instant) -> bool {
        self.last_progress = now;
        std::mem::take(&mut self.is_write_blocked)
    }

    /// Records that the client does not take what is to be written.
    pub fn write_blocked(&mut self) {
        self.is_write_blocked = true;
    }

    /// Returns whether the client does not take what is to be written.
    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked
    }

    /// Returns whether an HTTP/2 client has no request, so that it can only send control frames.
    pub fn has_control_frames_only(&self) -> bool {
        self.is_http2 && self.exchanges == 0
    }

    /// Returns what the connection is doing and for how long. `has_answer_bytes` tells whether
    /// bytes of its answers are still to be written.
    pub fn activity(&self, has_answer_bytes: bool, now: Instant) -> (Activity, Duration) {
        let is_unread = self.is_write_blocked || has_answer_bytes;
        let (activity, since) = if self.is_http2 && self.exchanges > self.answering {
            (Activity::Serving, self.since)
        } else if is_unread {
            (Activity::Unread, self.last_progress)
        } else if self.exchanges > 0 {
            (Activity::Serving, self.since)
        } else if self.reads_head {
            (Activity::ReadingHead, self.since)
        } else {
            (Activity::Idle, self.since)
        };
        (activity, now.saturating_duration_since(since))
    }

    /// Returns the estimated memory of the connection, in bytes.
    ///
    /// The HTTP server doubles its buffer when it is full.
    pub fn bytes(&self) -> u64 {
        if !self.has_received {
            return CONNECTION_BYTES;
        }
        let buffers = SERVER_BYTES + BUFFER_BYTES.max(2 * self.buffered as u64);
        match self.is_http2 {
            true => CONNECTION_BYTES + buffers + HTTP2_BYTES,
            false => CONNECTION_BYTES + buffers,
        }
    }
}
