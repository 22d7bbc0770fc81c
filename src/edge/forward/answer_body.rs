//! Answers of upstreams: whether they may be handed on, and their bodies.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    StatusCode,
    body::Incoming,
    http::response, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use crate::{
    body::{
        PassingBody,
        ProxyBody, //
    },
    connection::ConnectionLease,
    edge::{
        dialect::AnswerHead,
        message::Placed,
        upstreams::TryEnd, //
    },
};

/// The longest answer that is read whole before it is handed on, in bytes.
pub(super) const WHOLE_ANSWER_MAX: usize = 256 * 1024;
/// How long a connection to an upstream that names no time may stay idle.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(5);
/// How much earlier than the upstream a connection is given up.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1500);
/// Reads a body to its end; `None` where it breaks off, is too long or takes too long.
pub(super) async fn collect(body: Incoming, until: Instant) -> Option<Bytes> {
    let whole = timeout_at(until, Limited::new(body, WHOLE_ANSWER_MAX).collect()).await;
    whole.ok()?.ok().map(|b| b.to_bytes())
}

/// Returns whether an answer may be handed on as it is.
///
/// A status that says "not run" without the upstream's word for it would promise too much.
pub(super) fn is_usable(parts: &response::Parts, head: &AnswerHead) -> bool {
    let promises = matches!(
        parts.status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    !promises && (head.marked || !parts.status.is_success())
}

pub(super) fn give_back(lease: ConnectionLease, head: &AnswerHead) {
    if head.closing {
        return;
    }
    let idle = head.keep_alive.unwrap_or(KEEP_ALIVE_DEFAULT);
    lease.give_back_for(idle.saturating_sub(KEEP_ALIVE_MARGIN));
}

/// Returns the body of a long answer, which is handed on as it comes.
pub(super) fn passing(
    body: Incoming,
    mut placed: Placed,
    lease: ConnectionLease,
    head: AnswerHead,
) -> ProxyBody {
    let at_end = move |whole: bool| {
        placed.ended(match whole {
            true => TryEnd::Whole,
            false => TryEnd::Lost,
        });
        if whole {
            give_back(lease, &head);
        }
    };
    PassingBody::new(body)
        .with_at_end(Box::new(at_end))
        .boxed_unsync()
}
