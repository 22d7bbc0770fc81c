//! Bodies of requests and answers that a gateway relays.

use std::{
    fmt,
    future::Future,
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
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{
    BodyExt, //
    Full,
    combinators::UnsyncBoxBody,
};
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use thiserror::Error;
use tokio::time::Instant;

/// Why a body ended before it was complete.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection that the body arrives on failed.
    #[error("the body is incomplete: {0}")]
    Broken(#[from] hyper::Error),
    /// The caller's API key was withdrawn during the transfer.
    #[error("the key was withdrawn while the body was being transferred")]
    KeyWithdrawn,
    /// The body was not complete at its deadline.
    #[error("the body was not complete before the deadline")]
    DeadlineExceeded,
    /// The host stopped without waiting for the transfer.
    #[error("the host stopped before the end of the body")]
    Stopped,
}

/// The boxed body type of all requests and answers that are relayed or generated.
pub type ProxyBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body with the given content.
pub fn full(bytes: impl Into<Bytes>) -> ProxyBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body without content.
pub fn empty() -> ProxyBody {
    full(Bytes::new())
}

/// Resolves when the bytes that a [`Pacer`] was called for may be sent.
pub type PacerDelay = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Called with a number of bytes before they are sent; returns `None` if they may be sent at once.
pub type Pacer = Box<dyn FnMut(usize) -> Option<PacerDelay> + Send>;

/// Resolves with the error to end a body with when its transfer has to be cut off.
pub type Cutoff = Pin<Box<dyn Future<Output = BodyError> + Send>>;

/// Called once at the end of a body; the argument is whether the body was complete.
pub type AtEnd = Box<dyn FnOnce(bool) + Send>;

/// The progress of a body's transfer, shared with the task that enforces its deadline.
#[derive(Clone, Debug)]
pub struct Progress {
    start: Instant,
    last_activity_ms: Arc<AtomicU64>,
    bytes_transferred: Arc<AtomicU64>,
}

impl Progress {
    /// Creates the progress of a body whose transfer starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            last_activity_ms: Arc::default(),
            bytes_transferred: Arc::default(),
        }
    }

    /// Returns when bytes were last transferred, or when the body ended.
    pub fn last_activity(&self) -> Instant {
        let ms = self.last_activity_ms.load(Ordering::Relaxed);
        self.start + Duration::from_millis(ms)
    }

    /// Returns the number of bytes transferred so far.
    pub fn bytes_transferred(&self) -> u64 {
        self.bytes_transferred.load(Ordering::Relaxed)
    }

    fn record(&self, bytes: usize) {
        let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_activity_ms.store(ms, Ordering::Relaxed);
        self.bytes_transferred
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A relayed body, optionally with pacing, a cutoff, progress and a callback at its end.
pub struct RelayedBody<B: Body> {
    inner: B,
    pacer: Option<Pacer>,
    cutoff: Option<Cutoff>,
    at_end: Option<AtEnd>,
    progress: Option<Progress>,
    keeps_trailers: bool,
    delayed_frame: Option<(PacerDelay, Frame<Bytes>)>,
}

impl<B: Body> RelayedBody<B> {
    /// Wraps a body that is relayed unchanged.
    pub fn new(inner: B) -> Self {
        Self {
            inner,
            pacer: None,
            cutoff: None,
            at_end: None,
            progress: None,
            keeps_trailers: true,
            delayed_frame: None,
        }
    }

    /// Delays each frame until `pacer` allows its bytes.
    pub fn with_pacer(mut self, pacer: Option<Pacer>) -> Self {
        self.pacer = pacer;
        self
    }

    /// Ends the body with an error when `cutoff` resolves.
    pub fn with_cutoff(mut self, cutoff: Option<Cutoff>) -> Self {
        self.cutoff = cutoff;
        self
    }

    /// Calls `at_end` when the body ends or is dropped, whichever is first.
    pub fn with_at_end(mut self, at_end: AtEnd) -> Self {
        self.at_end = Some(at_end);
        self
    }

    /// Records the transfer in `progress`.
    pub fn with_progress(mut self, progress: Progress) -> Self {
        self.progress = Some(progress);
        self
    }

    /// Drops the trailers, which could carry fields that are removed from the head.
    pub fn without_trailers(mut self) -> Self {
        self.keeps_trailers = false;
        self
    }

    fn finish(&mut self, whole: bool) {
        if let Some(progress) = &self.progress {
            progress.record(0);
        }
        if let Some(at_end) = self.at_end.take() {
            at_end(whole);
        }
    }

    fn record_frame(&mut self, frame: Frame<Bytes>) -> Frame<Bytes> {
        if let (Some(progress), Some(data)) = (&self.progress, frame.data_ref()) {
            progress.record(data.len());
        }
        frame
    }
}

impl<B: Body> Drop for RelayedBody<B> {
    fn drop(&mut self) {
        // A body of known length may be dropped after its last byte, without a poll for its end.
        let whole = self.delayed_frame.is_none() && self.inner.is_end_stream();
        self.finish(whole);
    }
}

impl<B: Body> fmt::Debug for RelayedBody<B> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayedBody").finish_non_exhaustive()
    }
}

impl<B> Body for RelayedBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    BodyError: From<B::Error>,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        if let Some(cutoff) = &mut this.cutoff
            && let Poll::Ready(e) = cutoff.as_mut().poll(cx)
        {
            this.cutoff = None;
            this.finish(false);
            return Poll::Ready(Some(Err(e)));
        }
        if let Some((delay, _)) = &mut this.delayed_frame {
            if delay.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            let frame = this
                .delayed_frame
                .take()
                .map(|(_, frame)| this.record_frame(frame));
            return Poll::Ready(frame.map(Ok));
        }
        let frame = match Pin::new(&mut this.inner).poll_frame(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) => {
                this.finish(true);
                return Poll::Ready(None);
            }
            Poll::Ready(Some(Err(e))) => {
                this.finish(false);
                return Poll::Ready(Some(Err(e.into())));
            }
            Poll::Ready(Some(Ok(frame))) if frame.is_trailers() && !this.keeps_trailers => {
                this.finish(true);
                return Poll::Ready(None);
            }
            Poll::Ready(Some(Ok(frame))) => frame,
        };
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        let delay = this.pacer.as_mut().and_then(|pacer| pacer(bytes));
        let Some(mut delay) = delay else {
            let frame = this.record_frame(frame);
            return Poll::Ready(Some(Ok(frame)));
        };
        if delay.as_mut().poll(cx).is_pending() {
            this.delayed_frame = Some((delay, frame));
            return Poll::Pending;
        }
        let frame = this.record_frame(frame);
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.delayed_frame.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
