//! Limits the bytes that an upstream may send before the head of its answer is complete, counts
//! those that the HTTP client buffers, and limits the time for which sent bytes stay unacknowledged.
//!
//! A faulty upstream may send an endless stream of invalid data or of interim responses.
//! Without a limit, reading it would use the whole bandwidth of the link.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
};

use rustix::net::sockopt;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

use crate::held_bytes::HeldBytes;

/// The most bytes that may be received from the start of a request to the end of its answer's head.
pub(super) const HEAD_MAX_BYTES: usize = 64 * 1024;

/// The most bytes that are read at once. The HTTP client's buffer grows to twice this size.
const READ_MAX_BYTES: usize = 16 * 1024;
/// The most bytes that a connection buffers while an answer's body is read.
const BODY_BUFFER_BYTES: u64 = 2 * READ_MAX_BYTES as u64;

/// How often a read may find the limit used up before the connection fails. The sender lifts the
/// limit when it is next scheduled after the head was read.
const EXHAUSTED_READS_MAX: u32 = 64;

/// The number of bytes that may still be received, and the bytes that count as held for the
/// connection. Shared with the connection's sender.
#[derive(Clone, Debug)]
pub(super) struct ReadLimit(Arc<LimitState>);

#[derive(Debug)]
struct LimitState {
    remaining: AtomicU64,
    counted: AtomicU64,
    held: HeldBytes,
}

impl Drop for LimitState {
    fn drop(&mut self) {
        self.held.subtract(*self.counted.get_mut());
    }
}

impl ReadLimit {
    pub(super) fn new(held: HeldBytes) -> Self {
        Self(Arc::new(LimitState {
            remaining: AtomicU64::new(HEAD_MAX_BYTES as u64),
            counted: AtomicU64::new(0),
            held,
        }))
    }

    /// Sets the limit for the head of the next answer.
    pub(super) fn limit_head(&self) {
        self.set_remaining(HEAD_MAX_BYTES as u64);
    }

    /// Lifts the limit for an answer's body, which is read only as fast as it is consumed.
    pub(super) fn lift_limit(&self) {
        self.set_remaining(u64::MAX);
        let counted = self.0.counted.load(Ordering::Relaxed);
        self.count(counted.min(BODY_BUFFER_BYTES));
    }

    /// Records that the answer has ended, so that nothing is buffered.
    pub(super) fn end_answer(&self) {
        self.count(0);
    }

    fn set_remaining(&self, bytes: u64) {
        self.0.remaining.store(bytes, Ordering::Relaxed);
    }

    /// Changes the number of bytes that count as held for the connection.
    fn count(&self, bytes: u64) {
        self.0.held.add(bytes);
        let before = self.0.counted.swap(bytes, Ordering::Relaxed);
        self.0.held.subtract(before);
    }

    /// Returns the most bytes that the next read may take.
    fn next_read(&self) -> usize {
        match self.0.remaining.load(Ordering::Relaxed) {
            u64::MAX => READ_MAX_BYTES,
            remaining => {
                usize::try_from(remaining).map_or(READ_MAX_BYTES, |n| n.min(READ_MAX_BYTES))
            }
        }
    }

    /// Deducts received bytes, unless the limit was lifted meanwhile, and counts them. Returns
    /// whether the process may hold them.
    fn consume(&self, bytes: usize) -> bool {
        if bytes == 0 {
            return true;
        }
        let remaining = self.0.remaining.load(Ordering::Relaxed);
        let counted = self.0.counted.load(Ordering::Relaxed) + bytes as u64;
        if remaining == u64::MAX {
            self.count(counted.min(BODY_BUFFER_BYTES));
            return true;
        }
        self.set_remaining(remaining.saturating_sub(bytes as u64));
        self.count(counted);
        // The first read of an answer may hold a part of the body.
        counted <= READ_MAX_BYTES as u64 || !self.0.held.is_full()
    }
}

/// How long sent bytes may stay unacknowledged before the connection fails, in milliseconds
/// (`TCP_USER_TIMEOUT`); 0 for the default of the system. Shared with the connection's sender, and
/// applied by the next write.
#[derive(Clone, Debug, Default)]
pub(super) struct UnacknowledgedLimit(Arc<AtomicU32>);

impl UnacknowledgedLimit {
    /// Sets the limit for the next request.
    pub(super) fn set(&self, ms: u32) {
        self.0.store(ms, Ordering::Relaxed);
    }
}

/// A TCP stream whose reads fail once the limit is exceeded.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    read_limit: ReadLimit,
    unacknowledged: UnacknowledgedLimit,
    /// The limit that the socket has, in milliseconds.
    applied_ms: u32,
    /// Reads in a row that found the limit used up.
    exhausted_reads: u32,
}

impl LimitedStream {
    pub(super) fn new(
        stream: TcpStream,
        read_limit: ReadLimit,
        unacknowledged: UnacknowledgedLimit,
    ) -> Self {
        Self {
            stream,
            read_limit,
            unacknowledged,
            applied_ms: 0,
            exhausted_reads: 0,
        }
    }

    /// Applies the limit of unacknowledged bytes to the socket if it has changed.
    fn apply_unacknowledged(&mut self) -> io::Result<()> {
        let ms = self.unacknowledged.0.load(Ordering::Relaxed);
        if ms != self.applied_ms {
            sockopt::set_tcp_user_timeout(&self.stream, ms)?;
            self.applied_ms = ms;
        }
        Ok(())
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let next_read = self.read_limit.next_read();
        if next_read == 0 {
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
        let mut limited = buf.take(next_read);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut limited);
        let (initialized, received) = (limited.initialized().len(), limited.filled().len());
        // SAFETY: `limited` is a view of the unfilled part of `buf`, and has initialized these bytes.
        unsafe { buf.assume_init(initialized) };
        buf.advance(received);
        if !self.read_limit.consume(received) {
            let cause = "the process holds as many bytes as it may, and the answer's head is long";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::OutOfMemory, cause)));
        }
        read
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_unacknowledged()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_unacknowledged()?;
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
