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
    BUSY_RETRY_AFTER,
    Gateway, //
};
use crate::edge::{
    message::RefusalReason,
    request_error::RequestError, //
};

/// Memory reserved for a body without a declared length, in bytes.
const UNDECLARED_BODY_BYTES: u64 = 256 * 1024;

/// Counts the bytes of a body as buffered until it is dropped.
pub(super) struct BufferedBytes {
    total: Arc<AtomicU64>,
    own: u64,
}

impl BufferedBytes {
    fn new(total: &Arc<AtomicU64>, own: u64) -> Self {
        total.fetch_add(own, Ordering::Relaxed);
        Self {
            total: total.clone(),
            own,
        }
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.total.fetch_sub(self.own, Ordering::Relaxed);
    }
}

impl<D> Gateway<D> {
    /// Reads a request's body into memory. Fails if the body is too long, the buffers of
    /// the host are full, or the body is not complete by the deadline.
    pub(super) async fn read_body(
        &self,
        body: Incoming,
        max_bytes: u64,
        deadline: Instant,
    ) -> Result<(Bytes, BufferedBytes), RequestError> {
        let declared = body.size_hint().exact();
        if declared.is_some_and(|n| n > max_bytes) {
            return Err(RequestError::TooLong);
        }
        let buffered = BufferedBytes::new(
            &self.buffered_bytes,
            declared.unwrap_or(UNDECLARED_BODY_BYTES),
        );
        if self.buffered_bytes.load(Ordering::Relaxed) > self.buffered_bytes_max {
            return Err(RequestError::NotRun(
                RefusalReason::Memory,
                BUSY_RETRY_AFTER,
            ));
        }
        if body.is_end_stream() {
            return Ok((Bytes::new(), buffered));
        }
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        match timeout_at(deadline, Limited::new(body, max_bytes).collect()).await {
            Ok(Ok(whole)) => Ok((whole.to_bytes(), buffered)),
            Ok(Err(e)) if e.is::<LengthLimitError>() => Err(RequestError::TooLong),
            Ok(Err(_)) => Err(RequestError::BadHead),
            Err(_) => Err(RequestError::NotRun(RefusalReason::Busy, BUSY_RETRY_AFTER)),
        }
    }
}
