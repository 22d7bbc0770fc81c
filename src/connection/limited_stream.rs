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

    /// Deducts received bytes; returns false if they exceed the limit.
    fn consume(&self, bytes: usize) -> bool {
        let remaining = self.0.load(Ordering::Relaxed);
        let Some(remaining) = remaining.checked_sub(bytes as u64) else {
            return false;
        };
        self.0.store(remaining, Ordering::Relaxed);
        true
    }
}

/// A TCP stream whose reads fail once the limit is exceeded.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    read_limit: ReadLimit,
}

impl LimitedStream {
    pub(super) fn new(stream: TcpStream, read_limit: ReadLimit) -> Self {
        Self { stream, read_limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if self.read_limit.consume(received) {
            return read;
        }
        let cause = format!(
            "received more than {HEAD_MAX_BYTES} bytes before the end of the answer's head"
        );
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)))
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
