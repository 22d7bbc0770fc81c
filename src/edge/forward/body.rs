//! Buffers request bodies in memory so that they can be sent again.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

use bytes::Bytes;
use http_body_util::BodyExt;
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
    Gateway,
    STOPPING_RETRY_AFTER, //
};
use crate::edge::{
    dialect::Dialect,
    message::RefusalReason,
    request_error::RequestError, //
};

/// Size of the blocks in which a body is buffered while it is read, in bytes.
const BLOCK_BYTES: usize = 256 * 1024;

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

    /// Counts more bytes, up to `own` in all; returns whether there are more.
    fn grow_to(&mut self, own: u64) -> bool {
        let more = own.saturating_sub(self.own);
        self.total.fetch_add(more, Ordering::Relaxed);
        self.own += more;
        more > 0
    }
}

/// The bytes of a body while it is read. Unlike a buffer that doubles when it is full, it takes no
/// more memory than is counted.
#[derive(Default)]
struct Blocks {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    len: usize,
}

impl Blocks {
    fn push(&mut self, mut data: &[u8]) {
        self.len += data.len();
        while !data.is_empty() {
            if self.last.len() == BLOCK_BYTES {
                let block = Vec::with_capacity(BLOCK_BYTES);
                self.full.push(std::mem::replace(&mut self.last, block));
            }
            let room = BLOCK_BYTES - self.last.len();
            let (now, later) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(now);
            data = later;
        }
    }

    fn into_bytes(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.into();
        }
        let mut whole = Vec::with_capacity(self.len);
        for block in self.full {
            whole.extend_from_slice(&block);
        }
        whole.extend_from_slice(&self.last);
        whole.into()
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.total.fetch_sub(self.own, Ordering::Relaxed);
    }
}

impl<D: Dialect> Gateway<D> {
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
        let mut buffered =
            BufferedBytes::new(&self.buffered_bytes, declared.unwrap_or(BLOCK_BYTES as u64));
        self.check_memory()?;
        if body.is_end_stream() {
            return Ok((Bytes::new(), buffered));
        }
        let whole = tokio::select! {
            whole = timeout_at(deadline, self.collect_body(body, max_bytes, &mut buffered)) => whole,
            () = self.last_answers_due() => {
                return Err(RequestError::NotRun(
                    RefusalReason::Stopping,
                    STOPPING_RETRY_AFTER,
                ));
            }
        };
        match whole {
            Ok(Ok(whole)) => Ok((whole, buffered)),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(RequestError::NotRun(RefusalReason::Busy, BUSY_RETRY_AFTER)),
        }
    }

    /// Reads a body to its end, and counts it as buffered while it grows.
    async fn collect_body(
        &self,
        mut body: Incoming,
        max_bytes: u64,
        buffered: &mut BufferedBytes,
    ) -> Result<Bytes, RequestError> {
        let mut blocks = Blocks::default();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| RequestError::BadHead)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let len = blocks.len + data.len();
            if len as u64 > max_bytes {
                return Err(RequestError::TooLong);
            }
            if buffered.grow_to(len.next_multiple_of(BLOCK_BYTES) as u64) {
                self.check_memory()?;
            }
            blocks.push(&data);
        }
        Ok(blocks.into_bytes())
    }

    /// Refuses a request if the buffers of the host are full.
    fn check_memory(&self) -> Result<(), RequestError> {
        // A body's copy on the way to the upstream takes its size again, so that bytes held for
        // clients take room for half as many bytes of bodies.
        let held = self.held_bytes.total() / 2;
        let buffered = self.buffered_bytes.load(Ordering::Relaxed);
        match buffered.saturating_add(held) > self.buffered_bytes_max {
            true => Err(RequestError::NotRun(
                RefusalReason::Memory,
                BUSY_RETRY_AFTER,
            )),
            false => Ok(()),
        }
    }
}
