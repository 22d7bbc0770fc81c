//! Buffers request bodies in memory so that they can be sent again.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::body::{
    Body,
    Incoming, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    BUSY_RETRY,
    Gateway, //
};
use crate::edge::{
    answer::Ending,
    message::Why, //
};

/// Memory reserved for a body without a declared length, in bytes.
const BODY_UNDECLARED: u64 = 256 * 1024;

/// Counts the bytes of a body as buffered until it is dropped.
pub(super) struct KeptBytes {
    all: Arc<AtomicU64>,
    own: u64,
}

impl KeptBytes {
    fn new(all: &Arc<AtomicU64>, own: u64) -> Self {
        all.fetch_add(own, Ordering::Relaxed);
        Self {
            all: all.clone(),
            own,
        }
    }
}

impl Drop for KeptBytes {
    fn drop(&mut self) {
        self.all.fetch_sub(self.own, Ordering::Relaxed);
    }
}

impl<D> Gateway<D> {
    /// Reads a request's body into memory. Fails if the body is too long, the buffers of
    /// the host are full, or the body is not complete by the deadline.
    pub(super) async fn read_body(
        &self,
        body: Incoming,
        most: u64,
        deadline: Instant,
    ) -> Result<(Bytes, KeptBytes), Ending> {
        let declared = body.size_hint().exact();
        if declared.is_some_and(|n| n > most) {
            return Err(Ending::TooLong);
        }
        let kept = KeptBytes::new(&self.kept_bytes, declared.unwrap_or(BODY_UNDECLARED));
        if self.kept_bytes.load(Ordering::Relaxed) > self.kept_bytes_max {
            return Err(Ending::NotRun(Why::Memory, BUSY_RETRY));
        }
        if body.is_end_stream() {
            return Ok((Bytes::new(), kept));
        }
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        match timeout_at(deadline, Limited::new(body, most).collect()).await {
            Ok(Ok(whole)) => Ok((whole.to_bytes(), kept)),
            Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Ending::TooLong),
            Ok(Err(_)) => Err(Ending::BadHead),
            Err(_) => Err(Ending::NotRun(Why::Busy, BUSY_RETRY)),
        }
    }
}
