//! At most once: the ids that this incarnation has begun.
//!
//! Only the incarnation named in an id may run it. An id is recorded before its
//! first byte leaves and refused once its stamp is older than the window. All
//! times are this process's own.

use std::time::Duration;

use tokio::time::Instant;

use crate::util::id::{
    HostName,
    Incarnation,
    RequestId,
    Stamp, //
};

/// How long after its stamp an id may begin.
pub const ONCE_WINDOW: Duration = Duration::from_secs(120);
/// The ids that are remembered at most.
pub const ONCE_ENTRIES: usize = 100_000;

/// Tells the same id with different requests apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(pub u128);

/// The right to send one request to an upstream. It cannot be copied.
#[derive(Debug)]
pub struct Permit {
    key: u128,
    stamp: Stamp,
}

/// A kept answer, as the gateway names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AnswerHandle(pub u64);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream answered.
    Ran {
        /// The status of the answer.
        status: u16,
        /// Where the answer is kept, if it is.
        answer: Option<AnswerHandle>,
    },
    /// It provably did not start; the id may begin again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What to do with an id.
#[derive(Debug)]
pub enum Begin {
    /// Run it; the permit is spent on [`Once::finish`].
    Run(Permit),
    /// Its first copy has not finished.
    InProgress,
    /// It ended this way before.
    Ended(Outcome),
    /// The id was used for another request.
    OtherRequest,
    /// Its stamp is older than the window. It may have run.
    Expired,
    /// Its stamp lies ahead of this host's clock, so this host never gave it.
    Ahead,
    /// Another host or incarnation must run it.
    WrongIncarnation {
        /// The host.
        host: HostName,
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// No room to remember it. It did not run.
    Full,
}

/// The ids that this incarnation has begun.
#[derive(Debug)]
pub struct Once {
    host: HostName,
    incarnation: Incarnation,
    started: Instant,
}

impl Once {
    /// Creates an empty table; `started` is the instant that stamps count from.
    pub fn new(host: HostName, incarnation: Incarnation, started: Instant) -> Self {
        Self {
            host,
            incarnation,
            started,
        }
    }

    /// Decides on an id and, with [`Begin::Run`], records it.
    pub fn begin(&mut self, now: Instant, id: &RequestId, f: RequestFingerprint) -> Begin {
        let _ = (now, id, f, &self.host, self.incarnation, self.started);
        todo!("begin")
    }

    /// Records how a request ended.
    pub fn finish(&mut self, now: Instant, permit: Permit, outcome: Outcome) {
        let _ = (now, permit.key, permit.stamp, outcome);
        todo!("finish")
    }
}

/// How an attempt to send a request to an upstream or another gateway ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The connection was refused; nothing left this host.
    ConnectRefused,
    /// No connection came up in time; nothing left this host.
    ConnectTimeout,
    /// The other side said explicitly that it did not start the request.
    NotStarted,
    /// An answer came.
    Answered,
    /// The connection broke after the first byte may have left.
    Broken,
    /// No answer came in time.
    Timeout,
}

/// Tells whether a request may be sent again after an attempt.
pub fn may_send_again(end: AttemptEnd, idempotent: bool) -> bool {
    match end {
        AttemptEnd::ConnectRefused | AttemptEnd::ConnectTimeout | AttemptEnd::NotStarted => true,
        AttemptEnd::Broken | AttemptEnd::Timeout => idempotent,
        AttemptEnd::Answered => false,
    }
}
