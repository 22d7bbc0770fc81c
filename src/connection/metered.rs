//! A bound on what an upstream may send before its answer's head is complete.
//!
//! A broken upstream may send bytes that are no answer without end, or one interim answer
//! after the other. Reading them would cost as much as the link carries.

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

/// Bytes that may come from the start of a request to the end of its answer's head.
pub(super) const HEAD_MAX: usize = 64 * 1024;

/// The bytes that may still come.
#[derive(Clone, Debug)]
pub(super) struct Allowance(Arc<AtomicU64>);

impl Allowance {
    pub(super) fn new() -> Self {
        Self(Arc::new(AtomicU64::new(HEAD_MAX as u64)))
    }

    /// Allows an answer's head.
    pub(super) fn for_head(&self) {
        self.0.store(HEAD_MAX as u64, Ordering::Relaxed);
    }

    /// Allows an answer's body, which is read only as fast as it is used.
    pub(super) fn for_body(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }

    /// Returns whether so many bytes are allowed.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        let Some(left) = left.checked_sub(bytes as u64) else {
            return false;
        };
        self.0.store(left, Ordering::Relaxed);
        true
    }
}

/// A stream that fails once more came than is allowed.
#[derive(Debug)]
pub(super) struct Metered {
    stream: TcpStream,
    allowance: Allowance,
}

impl Metered {
    pub(super) fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let came = buf.filled().len() - before;
        if self.allowance.take(came) {
            return read;
        }
        let cause = format!("more than {HEAD_MAX} bytes came before an answer");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)))
    }
}

impl AsyncWrite for Metered {
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
