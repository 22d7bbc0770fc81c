//! Counts the bytes of answers until they have been written to their clients.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll,
        ready, //
    },
};

use bytes::Bytes;
use hyper::{
    Response,
    body::{
        Body,
        Frame,
        SizeHint, //
    },
};

use super::disconnect::ReadAheadStream;
use crate::{
    body::{
        BodyError,
        ProxyBody, //
    },
    held_bytes::HeldBytes,
};

/// Bodies of at most this many bytes are in memory as a whole before they are sent; longer ones
/// are streamed.
const WHOLE_BODY_MAX_BYTES: u64 = 512 * 1024;

/// Counters of the answer bytes of one connection, and of all bytes held for clients.
#[derive(Clone, Debug)]
pub(super) struct HeldCounters {
    pub(super) connection: Arc<AtomicU64>,
    pub(super) process: HeldBytes,
}

impl HeldCounters {
    fn add(&self, bytes: u64) {
        self.connection.fetch_add(bytes, Ordering::Relaxed);
        self.process.add(bytes);
    }
}

/// Bytes of an answer that count as held until this is dropped.
#[derive(Debug)]
struct Held {
    counters: HeldCounters,
    bytes: u64,
}

impl Held {
    fn new(counters: HeldCounters, bytes: u64) -> Self {
        counters.add(bytes);
        Self { counters, bytes }
    }

    /// Splits `bytes` off; those that are not counted yet are added.
    fn split_off(&mut self, bytes: u64) -> Self {
        let counted = bytes.min(self.bytes);
        self.bytes -= counted;
        self.counters.add(bytes - counted);
        Self {
            counters: self.counters.clone(),
            bytes,
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.counters
            .connection
            .fetch_sub(self.bytes, Ordering::Relaxed);
        self.counters.process.subtract(self.bytes);
    }
}

/// Data of an answer that the HTTP server keeps until it is written.
struct HeldData {
    data: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for HeldData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Marks a request as not completed until this is dropped.
#[derive(Debug)]
pub(super) struct Exchange {
    stream: ReadAheadStream,
    is_answered: bool,
}

impl Exchange {
    /// Starts an exchange with the complete head of a request.
    pub(super) fn new(stream: ReadAheadStream, has_body: bool, is_http2: bool) -> Self {
        stream.request_began(has_body, is_http2);
        Self {
            stream,
            is_answered: false,
        }
    }

    /// Starts to send the answer.
    pub(super) fn answer(mut self, answer: Response<ProxyBody>) -> Response<AnswerBody> {
        self.stream.answer_ready();
        self.is_answered = true;
        answer.map(|inner| {
            let exact = inner.size_hint().exact();
            let bytes = exact.filter(|bytes| *bytes <= WHOLE_BODY_MAX_BYTES);
            AnswerBody {
                inner,
                held: Held::new(self.stream.held_counters(), bytes.unwrap_or_default()),
                _exchange: self,
            }
        })
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.stream.request_ended(self.is_answered);
    }
}

/// The body of an answer, whose bytes count as held until they are written.
pub(super) struct AnswerBody {
    inner: ProxyBody,
    held: Held,
    _exchange: Exchange,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
            Some(Ok(frame)) => frame,
            ended => return Poll::Ready(ended),
        };
        let frame = frame.map_data(|data| {
            let held = self.held.split_off(data.len() as u64);
            Bytes::from_owner(HeldData { data, _held: held })
        });
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
