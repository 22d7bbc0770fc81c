//! Checks whether upstreams' answers may be forwarded, and reads their bodies.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::{
    Bytes,
    BytesMut, //
};
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
    quarantine::Suspect,
};

/// The longest answer that is buffered whole before it is forwarded, in bytes. Longer ones
/// are streamed.
pub(super) const BUFFERED_ANSWER_MAX_BYTES: usize = 256 * 1024;
/// How long a connection may stay idle if the upstream sends no keep-alive time.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(5);
/// A connection is no longer reused this long before the upstream's keep-alive time ends.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1500);

/// How much of an answer's body was read.
pub(super) enum Collected {
    /// The whole body.
    Whole(Bytes),
    /// The bytes read until the buffer limit was exceeded, and the rest of the body.
    Partial(Bytes, Incoming),
    /// The body broke off or took too long.
    Broken,
}

/// Reads a body until it ends or exceeds the buffer limit.
pub(super) async fn collect(mut body: Incoming, until: Instant) -> Collected {
    let mut read = BytesMut::new();
    loop {
        let frame = match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Collected::Whole(read.freeze()),
            Ok(Some(Err(_))) | Err(_) => return Collected::Broken,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        read.extend_from_slice(&data);
        if read.len() > BUFFERED_ANSWER_MAX_BYTES {
            return Collected::Partial(read.freeze(), body);
        }
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
    read: Bytes,
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
    read: Bytes,
    rest: Incoming,
}

impl Body for PartlyRead {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if !self.read.is_empty() {
            let read = std::mem::take(&mut self.read);
            return Poll::Ready(Some(Ok(Frame::data(read))));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.read.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (read, rest) = (self.read.len() as u64, self.rest.size_hint());
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + read);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read);
        }
        hint
    }
}
