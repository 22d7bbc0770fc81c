//! Chooses the connections that are closed when descriptors or memory run short.

use std::time::Duration;

use super::activity::{
    Activity,
    CloseCause, //
};

/// A connection that has been in one state for a shorter time is not closed, or as the last if it
/// is idle, so that a client has the time to send its request and to read the answer.
const GRACE: Duration = Duration::from_millis(250);
/// A client that takes something of an answer in this time is not closed. Over a slow link the
/// socket takes more only after the client has read a large part of its buffer.
const UNREAD_GRACE: Duration = Duration::from_secs(2);
/// A connection that takes more than this many bytes has no such grace while it sends a head. It
/// has sent more than 8 KiB then, which few clients do.
const GRACE_BYTES_MAX: u64 = 32 * 1024;

/// State of a connection when connections are chosen.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot {
    /// Identifies the connection.
    pub id: u64,
    /// What the connection is doing.
    pub activity: Activity,
    /// For how long it has been doing so.
    pub duration: Duration,
    /// Bytes held for the connection, with its unread answers.
    pub bytes: u64,
}

/// What closing connections has to free.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Number of connections.
    pub connections: usize,
    /// Number of bytes.
    pub bytes: u64,
}

/// A connection to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Identifies the connection.
    pub id: u64,
    /// Why it is closed.
    pub cause: CloseCause,
    /// Bytes that are freed.
    pub bytes: u64,
}

/// Returns the rank in which connections are closed and the cause; `None` if one is to stay open.
fn rank(connection: &Snapshot) -> Option<(u8, CloseCause)> {
    let has_grace = connection.duration < GRACE;
    match connection.activity {
        Activity::Serving => None,
        Activity::Idle if !has_grace => Some((0, CloseCause::Idle)),
        // A client that sends requests without a pause is never idle for longer.
        Activity::Idle => Some((3, CloseCause::Idle)),
        Activity::ReadingHead if !has_grace || connection.bytes > GRACE_BYTES_MAX => {
            Some((1, CloseCause::SlowHead))
        }
        Activity::Unread if connection.duration >= UNREAD_GRACE => Some((2, CloseCause::Unread)),
        Activity::ReadingHead | Activity::Unread => None,
    }
}

/// Chooses connections to close: idle ones first, then slow heads, then unread answers, then those
/// that have just become idle, and within each group those that have been in their state for the longest time.
pub fn choose(connections: &[Snapshot], need: Need) -> Vec<Choice> {
    let ranked = connections.iter().filter_map(|c| Some((rank(c)?, c)));
    let mut ranked: Vec<((u8, CloseCause), &Snapshot)> = ranked.collect();
    ranked.sort_unstable_by_key(|((rank, _), c)| (*rank, std::cmp::Reverse(c.duration), c.id));
    let (mut freed, mut chosen) = (Need::default(), Vec::new());
    for ((_, cause), connection) in ranked {
        if freed.connections >= need.connections && freed.bytes >= need.bytes {
            break;
        }
        freed.connections += 1;
        freed.bytes += connection.bytes;
        chosen.push(Choice {
            id: connection.id,
            cause,
            bytes: connection.bytes,
        });
    }
    chosen
}
