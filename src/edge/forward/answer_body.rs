//! Checks whether upstreams' answers may be forwarded, and reads their bodies.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    StatusCode,
    body::{
        Body,
        Frame,
        Incoming,
        SizeHint, //
    },
    http::response, //
};
use tokio::time::{
    Instant,
    sleep_until,
    timeout_at, //
};

use crate::{
    body::{
        BodyError,
        Progress,
        ProxyBody, //
        RelayedBody,
    },
    connection::ConnectionLease,
    edge::{
        dialect::AnswerHead,
        message::ReservedSlot,
        upstreams::TryEnd, //
    },
    held_bytes::{
        HeldBytes,
        Holder, //
    },
    quarantine::Suspect,
};

/// The longest answer that is buffered whole before it is forwarded, in bytes. Longer ones
/// are streamed.
pub(super) const BUFFERED_ANSWER_MAX_BYTES: usize = 256 * 1024;
/// The smallest buffer for an answer of unknown length, in bytes.
const BUFFER_BYTES_MIN: usize = 8 * 1024;
/// How long a connection may stay idle if the upstream sends no keep-alive time.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(5);
/// A connection is no longer reused this long before the upstream's keep-alive time ends.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1500);

/// How much of an answer's body was read.
pub(super) enum Collected {
    /// The whole body.
    Whole(Bytes),
    /// The bytes read until the buffer limit was exceeded or memory ran short, and the rest of the
    /// body.
    Partial(ReadPart, Incoming),
    /// The body broke off or took too long.
    Broken,
}

/// The first bytes of a body, which count as held until they are handed on.
pub(super) struct ReadPart {
    buffered: Vec<u8>,
    /// Bytes for which the buffer was not enlarged.
    last: Bytes,
    held: Holder,
}

impl ReadPart {
    fn new(held: Holder) -> Self {
        Self {
            buffered: Vec::new(),
            last: Bytes::new(),
            held,
        }
    }

    /// Makes room for `more` bytes of a body of `declared` bytes, and counts the room as held.
    /// Returns whether that is within the limits; otherwise nothing has changed.
    fn make_room(&mut self, more: usize, declared: Option<u64>) -> bool {
        let (len, capacity) = (self.buffered.len(), self.buffered.capacity());
        let needed = len.saturating_add(more);
        if needed > BUFFERED_ANSWER_MAX_BYTES {
            return false;
        }
        if needed <= capacity {
            return true;
        }
        let declared = declared.and_then(|bytes| usize::try_from(bytes).ok());
        let enlarged = match declared {
            Some(declared) => declared.max(needed),
            None => needed.max(capacity * 2).max(BUFFER_BYTES_MIN),
        };
        let enlarged = enlarged.min(BUFFERED_ANSWER_MAX_BYTES);
        if !self.held.set(enlarged as u64) {
            self.held.set(capacity as u64);
            return false;
        }
        self.buffered.reserve_exact(enlarged - len);
        true
    }

    /// Returns the body that was read as a whole.
    fn into_bytes(mut self) -> Bytes {
        if self.buffered.capacity() / 2 > self.buffered.len() {
            self.buffered.shrink_to_fit();
        }
        self.buffered.into()
    }
}

/// Reads a body until it ends or exceeds the buffer limit, or until `held` is full.
pub(super) async fn collect(mut body: Incoming, until: Instant, held: &HeldBytes) -> Collected {
    let declared = body.size_hint().exact();
    let mut read = ReadPart::new(held.holder());
    loop {
        let frame = match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Collected::Whole(read.into_bytes()),
            Ok(Some(Err(_))) | Err(_) => return Collected::Broken,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if !read.make_room(data.len(), declared) {
            read.last = data;
            return Collected::Partial(read, body);
        }
        read.buffered.extend_from_slice(&data);
    }
}

/// Returns whether an answer may be forwarded unchanged.
///
/// Some statuses mean to the caller that the request did not run. They are not forwarded,
/// since the upstream has not confirmed this. A successful answer must carry the header
/// that identifies an upstream's own answer.
pub(super) fn is_usable(parts: &response::Parts, head: &AnswerHead) -> bool {
    let claims_not_run = matches!(
        parts.status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    !claims_not_run && (head.has_server_stamp || !parts.status.is_success())
}

/// Returns a connection to the pool, unless the upstream is about to close it.
pub(super) fn return_connection(lease: ConnectionLease, head: &AnswerHead) {
    if head.closes_connection || head.leaving {
        return;
    }
    let idle = head.keep_alive.unwrap_or(KEEP_ALIVE_DEFAULT);
    lease.give_back_for(idle.saturating_sub(KEEP_ALIVE_MARGIN));
}

/// Returns a body that streams a long answer: the bytes already read, then the rest. It
/// fails at `until`, since an upstream may never end it.
pub(super) fn streamed_body(
    read: ReadPart,
    rest: Incoming,
    until: Instant,
    mut placed: ReservedSlot,
    suspect: Suspect,
    lease: ConnectionLease,
    head: AnswerHead,
) -> ProxyBody {
    let progress = Progress::new(Instant::now());
    let transferred = progress.clone();
    let at_end = move |whole: bool| {
        placed.ended(match whole {
            true => TryEnd::Whole,
            false => TryEnd::Lost,
        });
        if whole {
            placed.received(transferred.bytes_transferred());
            if head.has_server_stamp {
                placed.answered(suspect);
            }
            return_connection(lease, &head);
        }
    };
    let cutoff = async move {
        sleep_until(until).await;
        BodyError::DeadlineExceeded
    };
    RelayedBody::new(PartlyRead { read, rest })
        .with_cutoff(Some(Box::pin(cutoff)))
        .with_progress(progress)
        .with_at_end(Box::new(at_end))
        .boxed_unsync()
}

/// A body whose first bytes have been read.
struct PartlyRead {
    read: ReadPart,
    rest: Incoming,
}

impl PartlyRead {
    /// Takes the next bytes that were read before.
    fn take_read(&mut self) -> Option<Bytes> {
        if !self.read.buffered.is_empty() {
            // The receiver of a frame counts its bytes.
            self.read.held.set(0);
            return Some(std::mem::take(&mut self.read.buffered).into());
        }
        let last = std::mem::take(&mut self.read.last);
        (!last.is_empty()).then_some(last)
    }

    fn unread_len(&self) -> usize {
        self.read.buffered.len() + self.read.last.len()
    }
}

impl Body for PartlyRead {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(read) = self.take_read() {
            return Poll::Ready(Some(Ok(Frame::data(read))));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.unread_len() == 0 && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (read, rest) = (self.unread_len() as u64, self.rest.size_hint());
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + read);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read);
        }
        hint
    }
}
