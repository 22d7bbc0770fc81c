//! Bodies that pass through a gateway.

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

/// Why a body broke off.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection that it came on failed.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The caller's key was withdrawn while it ran.
    #[error("the key was withdrawn while the body was running")]
    KeyWithdrawn,
    /// It did not end before the caller stopped waiting.
    #[error("the body did not end in time")]
    Late,
    /// The host was told to end at once.
    #[error("the host stopped before the body's end")]
    Stopped,
}

/// A body of any origin.
pub type ProxyBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that holds these bytes.
pub fn full(bytes: impl Into<Bytes>) -> ProxyBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an empty body.
pub fn empty() -> ProxyBody {
    full(Bytes::new())
}

/// Waits until this many bytes may pass.
pub type Pace = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Asks for the right to pass bytes; `None` lets them pass at once.
pub type Pacer = Box<dyn FnMut(usize) -> Option<Pace> + Send>;

/// Resolves when a body must break off.
pub type Cutoff = Pin<Box<dyn Future<Output = BodyError> + Send>>;

/// Runs once at the body's end; the argument tells whether it was whole.
pub type AtEnd = Box<dyn FnOnce(bool) + Send>;

/// When a body last moved, shared with the task that watches its deadline.
#[derive(Clone, Debug)]
pub struct Progress {
    start: Instant,
    last_ms: Arc<AtomicU64>,
    passed: Arc<AtomicU64>,
}

impl Progress {
    /// Returns the progress of a body that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            last_ms: Arc::default(),
            passed: Arc::default(),
        }
    }

    /// Returns the last instant at which the body moved or ended.
    pub fn last(&self) -> Instant {
        let ms = self.last_ms.load(Ordering::Relaxed);
        self.start + Duration::from_millis(ms)
    }

    /// Returns the bytes that passed.
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    fn moved(&self, bytes: usize) {
        let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_ms.store(ms, Ordering::Relaxed);
        self.passed.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A body that is paced, watched and can be cut off.
pub struct PassingBody<B: Body> {
    inner: B,
    pacer: Option<Pacer>,
    cutoff: Option<Cutoff>,
    at_end: Option<AtEnd>,
    progress: Option<Progress>,
    keeps_trailers: bool,
    waiting: Option<(Pace, Frame<Bytes>)>,
}

impl<B: Body> PassingBody<B> {
    /// Returns a body that passes unchanged.
    pub fn new(inner: B) -> Self {
        Self {
            inner,
            pacer: None,
            cutoff: None,
            at_end: None,
            progress: None,
            keeps_trailers: true,
            waiting: None,
        }
    }

    /// Paces the body.
    pub fn with_pacer(mut self, pacer: Option<Pacer>) -> Self {
        self.pacer = pacer;
        self
    }

    /// Breaks the body off when `cutoff` resolves.
    pub fn with_cutoff(mut self, cutoff: Option<Cutoff>) -> Self {
        self.cutoff = cutoff;
        self
    }

    /// Runs `at_end` at the body's end or when it is dropped.
    pub fn with_at_end(mut self, at_end: AtEnd) -> Self {
        self.at_end = Some(at_end);
        self
    }

    /// Records the body's progress.
    pub fn with_progress(mut self, progress: Progress) -> Self {
        self.progress = Some(progress);
        self
    }

    /// Drops the trailers, which could carry what the head must not.
    pub fn without_trailers(mut self) -> Self {
        self.keeps_trailers = false;
        self
    }

    fn finish(&mut self, whole: bool) {
        if let Some(progress) = &self.progress {
            progress.moved(0);
        }
        if let Some(at_end) = self.at_end.take() {
            at_end(whole);
        }
    }

    fn pass(&mut self, frame: Frame<Bytes>) -> Frame<Bytes> {
        if let (Some(progress), Some(data)) = (&self.progress, frame.data_ref()) {
            progress.moved(data.len());
        }
        frame
    }
}

impl<B: Body> Drop for PassingBody<B> {
    fn drop(&mut self) {
        // A body of known length may be dropped after its last byte, before its end is polled.
        let whole = self.waiting.is_none() && self.inner.is_end_stream();
        self.finish(whole);
    }
}

impl<B: Body> fmt::Debug for PassingBody<B> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PassingBody").finish_non_exhaustive()
    }
}

impl<B> Body for PassingBody<B>
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
        if let Some((pace, _)) = &mut this.waiting {
            if pace.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            let frame = this.waiting.take().map(|(_, frame)| this.pass(frame));
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
        let pace = this.pacer.as_mut().and_then(|pacer| pacer(bytes));
        let Some(mut pace) = pace else {
            let frame = this.pass(frame);
            return Poll::Ready(Some(Ok(frame)));
        };
        if pace.as_mut().poll(cx).is_pending() {
            this.waiting = Some((pace, frame));
            return Poll::Pending;
        }
        let frame = this.pass(frame);
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.waiting.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
