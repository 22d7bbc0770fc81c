//! Limits the bytes that an upstream may send before the head of its answer is complete.
//!
//! A faulty upstream may send an endless stream of invalid data or of interim responses.
//! Without a limit, reading it would use the whole bandwidth of the link.

use std::{
    io,
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
        Poll, //
    },
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// The most bytes that may be received from the start of a request to the end of its answer's head.
pub(super) const HEAD_MAX_BYTES: usize = 64 * 1024;

/// How often a read may find the limit used up before the connection fails. The sender lifts the
/// limit when it is next scheduled after the head was read.
const EXHAUSTED_READS_MAX: u32 = 64;

/// The number of bytes that may still be received, shared with the connection's sender.
#[derive(Clone, Debug)]
pub(super) struct ReadLimit(Arc<AtomicU64>);

impl ReadLimit {
    pub(super) fn new() -> Self {
        Self(Arc::new(AtomicU64::new(HEAD_MAX_BYTES as u64)))
    }

    /// Sets the limit for the head of the next answer.
    pub(super) fn limit_head(&self) {
        self.0.store(HEAD_MAX_BYTES as u64, Ordering::Relaxed);
    }

    /// Lifts the limit for an answer's body, which is read only as fast as it is consumed.
    pub(super) fn lift_limit(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }

    /// Returns the number of bytes that may still be received.
    fn remaining(&self) -> usize {
        usize::try_from(self.0.load(Ordering::Relaxed)).unwrap_or(usize::MAX)
    }

    /// Deducts received bytes, unless the limit was lifted meanwhile.
    fn consume(&self, bytes: usize) {
        let remaining = self.0.load(Ordering::Relaxed);
        if remaining != u64::MAX {
            let remaining = remaining.saturating_sub(bytes as u64);
            self.0.store(remaining, Ordering::Relaxed);
        }
    }
}

/// A TCP stream whose reads fail once the limit is exceeded.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    read_limit: ReadLimit,
    /// Reads in a row that found the limit used up.
    exhausted_reads: u32,
}

impl LimitedStream {
    pub(super) fn new(stream: TcpStream, read_limit: ReadLimit) -> Self {
        Self {
            stream,
            read_limit,
            exhausted_reads: 0,
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let remaining = self.read_limit.remaining();
        if remaining == 0 {
            self.exhausted_reads += 1;
            if self.exhausted_reads > EXHAUSTED_READS_MAX {
                let cause = format!(
                    "received more than {HEAD_MAX_BYTES} bytes before the end of the answer's head"
                );
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
            }
            // The head may be complete, and the limit be lifted as soon as the sender runs.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.exhausted_reads = 0;
        // The head and a part of the body may arrive together, so that a longer read does not mean
        // that the head is too large.
        let mut limited = buf.take(remaining);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut limited);
        let (initialized, received) = (limited.initialized().len(), limited.filled().len());
        // SAFETY: `limited` is a view of the unfilled part of `buf`, and has initialized these bytes.
        unsafe { buf.assume_init(initialized) };
        buf.advance(received);
        self.read_limit.consume(received);
        read
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
