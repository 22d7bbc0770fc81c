//! Detects that a client with pipelined requests has disconnected.
//!
//! The HTTP server reads the next request of a connection only after it has answered the
//! current one. If the client sends several requests and disconnects, the end of the stream
//! stays behind unread data, and the server would finish the current request for nobody.
//! While a request is in flight, received data is therefore read ahead, up to a limit.

use std::{
    ffi::c_int,
    future::{
        Future,
        poll_fn, //
    },
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
    time::Duration,
};

use bytes::{
    Buf,
    BytesMut, //
};
use rustix::ioctl::{
    Getter,
    Opcode,
    ioctl, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    time::{
        Instant,
        timeout, //
    },
};

use super::{
    activity::{
        CloseCause,
        Tracking, //
    },
    answer::HeldCounters,
    eviction::Snapshot,
    limits::Limits,
    table::ConnectionTable,
};
use crate::held_bytes::HeldBytes;

/// The most bytes that are read ahead on one connection.
const READ_AHEAD_MAX_BYTES: usize = 16 * 1024;
/// Buffer size of a single read, in bytes.
const READ_CHUNK_BYTES: usize = 2048;
/// How often it is checked whether an answer has been delivered.
const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Request of `ioctl` for the number of bytes that were sent and not acknowledged.
const TIOCOUTQ: Opcode = 0x5411;
/// The end of the stream counts as one byte until it is acknowledged.
const END_OF_STREAM_BYTES: c_int = 1;
/// The most reads of discarded data before other tasks run.
const READS_PER_TURN_MAX: usize = 16;

/// A client's TCP stream and the data read ahead from it.
#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    read_ahead: BytesMut,
    /// Whether the server has a pending read, and so will detect a disconnect itself.
    has_pending_read: bool,
    tracking: Tracking,
    /// Whether data was read in this turn of the connection's task.
    has_read: bool,
    /// Whether a request was begun in this turn of the connection's task.
    has_begun_request: bool,
    limits: Limits,
    held: HeldCounters,
    /// The bytes that are counted in `held` for this connection, other than its answers'.
    counted: u64,
    /// The limit that the client has exceeded, until it is reported.
    violation: Option<CloseCause>,
}

impl Inner {
    /// Updates the count of the bytes that are held for this connection.
    fn recount(&mut self) {
        let bytes = self.tracking.bytes() + self.read_ahead.len() as u64;
        match bytes.checked_sub(self.counted) {
            Some(0) => {}
            Some(more) => self.held.process.add(more),
            None => self.held.process.subtract(self.counted - bytes),
        }
        self.counted = bytes;
    }

    /// Records data that is handed to the HTTP server. Fails if a limit is exceeded.
    fn record_received(&mut self, data: &[u8]) -> io::Result<()> {
        if data.is_empty() {
            return Ok(());
        }
        self.has_read = true;
        let now = Instant::now();
        self.violation = self.tracking.received(data, &self.limits, now);
        self.recount();
        match self.violation {
            None => Ok(()),
            Some(cause) => {
                let cause = format!("the client exceeded a limit: {}", cause.as_str());
                Err(io::Error::new(io::ErrorKind::InvalidData, cause))
            }
        }
    }

    /// Records the result of a write. When a blocked client reads again, reading goes on too.
    fn record_write(&mut self, written: &Poll<io::Result<usize>>, cx: &Context<'_>) {
        match written {
            Poll::Pending => self.tracking.write_blocked(),
            Poll::Ready(Ok(_)) if self.tracking.wrote(Instant::now()) => cx.waker().wake_by_ref(),
            Poll::Ready(_) => {}
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.held.process.subtract(self.counted);
    }
}

/// A client's TCP stream, shared by the HTTP server and the detection of disconnects.
#[derive(Clone, Debug)]
pub(super) struct ReadAheadStream(Arc<Mutex<Inner>>);

impl ReadAheadStream {
    /// Wraps a stream; `held` counts all bytes that the process holds for clients.
    pub(super) fn new(stream: TcpStream, limits: &Limits, held: HeldBytes) -> Self {
        let mut inner = Inner {
            stream,
            read_ahead: BytesMut::new(),
            has_pending_read: false,
            tracking: Tracking::new(Instant::now()),
            has_read: false,
            has_begun_request: false,
            limits: *limits,
            held: HeldCounters {
                connection: Arc::default(),
                process: held,
            },
            counted: 0,
            violation: None,
        };
        inner.recount();
        Self(Arc::new(Mutex::new(inner)))
    }

    /// Records that a request's head is complete.
    pub(super) fn request_began(&self, has_body: bool, is_http2: bool) {
        let mut inner = self.lock();
        inner.tracking.request_began(has_body, is_http2);
        inner.recount();
    }

    /// Records that an answer is ready to be sent.
    pub(super) fn answer_ready(&self) {
        self.lock().tracking.answer_ready(Instant::now());
    }

    /// Records that an answer was handed over to the HTTP server, or given up.
    pub(super) fn request_ended(&self, was_ready: bool) {
        let mut inner = self.lock();
        inner.tracking.request_ended(was_ready, Instant::now());
        inner.recount();
    }

    /// Starts a turn of the connection's task.
    fn begin_turn(&self) {
        let mut inner = self.lock();
        inner.has_read = false;
        inner.has_begun_request = false;
    }

    /// Returns whether a request on an HTTP/1 connection may begin: its client reads the answers to
    /// earlier ones, and no other request began in this turn of the connection's task, so that
    /// pipelined requests do not keep other tasks waiting.
    pub(super) fn poll_begin(&self, cx: &Context<'_>) -> Poll<()> {
        let mut inner = self.lock();
        if inner.tracking.is_write_blocked() {
            // The task is woken after the next write.
            return Poll::Pending;
        }
        if inner.has_begun_request {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        inner.has_begun_request = true;
        Poll::Ready(())
    }

    /// Returns the counters for the bytes of answers.
    pub(super) fn held_counters(&self) -> HeldCounters {
        self.lock().held.clone()
    }

    /// Returns the state of the connection.
    pub(super) fn snapshot(&self, id: u64, now: Instant) -> Snapshot {
        let inner = self.lock();
        let answer_bytes = inner.held.connection.load(Ordering::Relaxed);
        let (activity, duration) = inner.tracking.activity(answer_bytes > 0, now);
        Snapshot {
            id,
            activity,
            duration,
            bytes: inner.counted + answer_bytes,
        }
    }

    /// Returns the limit that the client has exceeded, once.
    pub(super) fn take_violation(&self) -> Option<CloseCause> {
        self.lock().violation.take()
    }

    /// Makes the connection end with a reset instead of the end of the stream, which completes an
    /// answer without a length for a client that uses HTTP/1.0.
    pub(super) fn reset_when_dropped(&self) {
        if let Err(e) = self.lock().stream.set_zero_linger() {
            log::debug!(event = "reset-failed", cause:% = e; "");
        }
    }

    /// Discards what the client still sends until everything has been delivered to it or it has
    /// closed the connection, for at most `max`.
    ///
    /// Closing a socket with unread data resets the connection, and data that is not delivered yet is
    /// lost, for example the end of an answer. The HTTP server has closed its sending side before.
    pub(super) async fn discard_until_delivered(&self, max: Duration) {
        let end = Instant::now() + max;
        while Instant::now() < end && self.has_undelivered() {
            if timeout(DELIVERY_CHECK_INTERVAL, self.discard_until_closed())
                .await
                .is_ok()
            {
                return;
            }
        }
    }

    /// Returns whether sent bytes are not acknowledged; true if the system does not tell.
    fn has_undelivered(&self) -> bool {
        let inner = self.lock();
        // SAFETY: `TIOCOUTQ` writes one C `int`, whatever the type of the socket.
        let unacknowledged = unsafe { ioctl(&inner.stream, Getter::<TIOCOUTQ, c_int>::new()) };
        unacknowledged.map_or(true, |bytes| bytes > END_OF_STREAM_BYTES)
    }

    async fn discard_until_closed(&self) {
        poll_fn(|cx| {
            let mut inner = self.lock();
            let mut chunk = [0; READ_CHUNK_BYTES];
            for _ in 0..READS_PER_TURN_MAX {
                let mut buf = ReadBuf::new(&mut chunk);
                let read = ready!(Pin::new(&mut inner.stream).poll_read(cx, &mut buf));
                if read.is_err() || buf.filled().is_empty() {
                    return Poll::Ready(());
                }
            }
            cx.waker().wake_by_ref();
            Poll::Pending
        })
        .await;
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
            inner.recount();
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
        let inner = &mut *inner;
        if inner.tracking.is_write_blocked() {
            // Nothing is read from a client that does not read: its next requests would add
            // answers. The next successful write wakes this task.
            inner.has_pending_read = false;
            return Poll::Pending;
        }
        if inner.has_read && inner.tracking.has_control_frames_only() {
            // The HTTP server answers control frames, such as pings, until no more are there, and
            // other tasks would wait.
            inner.has_pending_read = false;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        if !inner.read_ahead.is_empty() {
            let len = inner.read_ahead.len().min(buf.remaining());
            buf.put_slice(&inner.read_ahead[..len]);
            inner.read_ahead.advance(len);
            if inner.read_ahead.is_empty() {
                inner.read_ahead = BytesMut::new();
            }
            inner.has_pending_read = false;
            return Poll::Ready(inner.record_received(&buf.filled()[before..]));
        }
        let read = Pin::new(&mut inner.stream).poll_read(cx, buf);
        inner.has_pending_read = read.is_pending();
        ready!(read)?;
        Poll::Ready(inner.record_received(&buf.filled()[before..]))
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.lock();
        let written = Pin::new(&mut inner.stream).poll_write(cx, buf);
        inner.record_write(&written, cx);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.lock();
        let written = Pin::new(&mut inner.stream).poll_write_vectored(cx, bufs);
        inner.record_write(&written, cx);
        written
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
    table: Arc<ConnectionTable>,
}

impl<C> CancelOnDisconnect<C> {
    pub(super) fn new(
        connection: C,
        stream: ReadAheadStream,
        in_flight: InFlightCounter,
        table: Arc<ConnectionTable>,
    ) -> Self {
        Self {
            connection: Box::pin(connection),
            stream,
            in_flight,
            table,
        }
    }
}

impl<C, E> Future for CancelOnDisconnect<C>
where
    C: Future<Output = Result<(), E>>,
{
    type Output = Result<(), E>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        self.stream.begin_turn();
        if let Poll::Ready(ended) = self.connection.as_mut().poll(cx) {
            return Poll::Ready(ended);
        }
        // What this client has sent may have used up the bytes; then others or this one are closed.
        self.table.has_bytes_left();
        if self.in_flight.is_busy() && self.stream.poll_disconnected(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }
}
