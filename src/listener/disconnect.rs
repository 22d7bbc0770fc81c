//! Detects that a client with pipelined requests has disconnected.
//!
//! The HTTP server reads the next request of a connection only after it has answered the
//! current one. If the client sends several requests and disconnects, the end of the stream
//! stays behind unread data, and the server would finish the current request for nobody.
//! While a request is in flight, received data is therefore read ahead, up to a limit.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll,
        ready, //
    },
};

use bytes::{
    Buf,
    BytesMut, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// The most bytes that are read ahead on one connection.
const READ_AHEAD_MAX_BYTES: usize = 16 * 1024;
/// Buffer size of a single read, in bytes.
const READ_CHUNK_BYTES: usize = 2048;

/// A client's TCP stream and the data read ahead from it.
#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    read_ahead: BytesMut,
    /// Whether the server has a pending read, and so will detect a disconnect itself.
    has_pending_read: bool,
}

/// A client's TCP stream, shared by the HTTP server and the detection of disconnects.
#[derive(Clone, Debug)]
pub(super) struct ReadAheadStream(Arc<Mutex<Inner>>);

impl ReadAheadStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            stream,
            read_ahead: BytesMut::new(),
            has_pending_read: false,
        })))
    }

    /// Makes the connection end with a reset instead of the end of the stream, which completes an
    /// answer without a length for a client that uses HTTP/1.0.
    pub(super) fn reset_when_dropped(&self) {
        if let Err(e) = self.lock().stream.set_zero_linger() {
            log::debug!(event = "reset-failed", cause:% = e; "");
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads ahead unless the server has a pending read; ready once the client has disconnected.
    fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.lock();
        let inner = &mut *inner;
        if inner.has_pending_read {
            return Poll::Pending;
        }
        while inner.read_ahead.len() < READ_AHEAD_MAX_BYTES {
            let mut chunk = [0; READ_CHUNK_BYTES];
            let mut buf = ReadBuf::new(&mut chunk);
            let read = ready!(Pin::new(&mut inner.stream).poll_read(cx, &mut buf));
            if read.is_err() || buf.filled().is_empty() {
                return Poll::Ready(());
            }
            inner.read_ahead.extend_from_slice(buf.filled());
        }
        Poll::Pending
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut inner = self.lock();
        if !inner.read_ahead.is_empty() {
            let len = inner.read_ahead.len().min(buf.remaining());
            buf.put_slice(&inner.read_ahead[..len]);
            inner.read_ahead.advance(len);
            inner.has_pending_read = false;
            return Poll::Ready(Ok(()));
        }
        let read = Pin::new(&mut inner.stream).poll_read(cx, buf);
        inner.has_pending_read = read.is_pending();
        read
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_shutdown(cx)
    }
}

/// The number of requests in flight on one connection.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlightCounter(Arc<AtomicUsize>);

impl InFlightCounter {
    /// Counts a request as in flight until the returned guard is dropped.
    pub(super) fn guard_request(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.0.clone())
    }

    fn is_busy(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }
}

/// Guard of a request in flight.
#[derive(Debug)]
pub(super) struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection future that completes when its client disconnects.
///
/// Dropping the connection cancels the requests in flight on it.
pub(super) struct CancelOnDisconnect<C> {
    connection: Pin<Box<C>>,
    stream: ReadAheadStream,
    in_flight: InFlightCounter,
}

impl<C> CancelOnDisconnect<C> {
    pub(super) fn new(connection: C, stream: ReadAheadStream, in_flight: InFlightCounter) -> Self {
        Self {
            connection: Box::pin(connection),
            stream,
            in_flight,
        }
    }
}

impl<C, E> Future for CancelOnDisconnect<C>
where
    C: Future<Output = Result<(), E>>,
{
    type Output = Result<(), E>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        if let Poll::Ready(ended) = self.connection.as_mut().poll(cx) {
            return Poll::Ready(ended);
        }
        if self.in_flight.is_busy() && self.stream.poll_disconnected(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }
}
