//! The streamed body of an answer: a receipt, then filler, in chunks.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use tokio::time::{
    Sleep,
    sleep, //
};

use super::{
    behaviour::Behaviour,
    log::Ending,
    service::RequestRun, //
};
use crate::{
    error::DropReason,
    receipt::{
        Filler,
        Receipt, //
    },
};

/// The pause before a body is aborted, so that the bytes before it are flushed.
const FLUSH_PAUSE: Duration = Duration::from_millis(1);

/// A response body that ends its request's run with the last chunk, or when it is dropped.
pub(super) struct AnswerBody {
    line: Bytes,
    filler: Filler,
    length: u64,
    bytes_sent: u64,
    behaviour: Behaviour,
    pause: Option<Pin<Box<Sleep>>>,
    run: RequestRun,
}

impl AnswerBody {
    pub(super) fn new(receipt: &Receipt, behaviour: Behaviour, run: RequestRun) -> Self {
        let line = receipt.line();
        Self {
            filler: Filler::new(&receipt.token),
            length: line.len() as u64 + receipt.filler,
            line,
            bytes_sent: 0,
            behaviour,
            pause: None,
            run,
        }
    }

    /// Returns the next chunk, cut at the point where the body is to be aborted.
    fn chunk(&mut self) -> Bytes {
        let line = self.line.len() as u64;
        let chunk = if self.bytes_sent < line {
            self.line.clone()
        } else {
            let start = self.bytes_sent - line;
            let end = (start + self.behaviour.chunk_bytes.max(1)).min(self.length - line);
            self.filler.bytes(start, end)
        };
        let remaining = self.behaviour.break_after.map(|b| b - self.bytes_sent);
        match remaining.and_then(|r| usize::try_from(r).ok()) {
            Some(remaining) if remaining < chunk.len() => chunk.slice(..remaining),
            _ => chunk,
        }
    }

    /// Returns how long to wait before the next chunk.
    fn next_pause(&self) -> Option<Duration> {
        let pause = Duration::from_millis(self.behaviour.pause_ms);
        if self.is_aborted() {
            return Some(pause.max(FLUSH_PAUSE));
        }
        Some(pause).filter(|p| !p.is_zero())
    }

    /// Returns whether the body is to be aborted at the present position.
    fn is_aborted(&self) -> bool {
        self.behaviour
            .break_after
            .is_some_and(|b| self.bytes_sent >= b)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = DropReason;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, DropReason>>> {
        if let Some(pause) = &mut self.pause {
            if pause.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.pause = None;
        }
        if self.bytes_sent >= self.length {
            return Poll::Ready(None);
        }
        if self.is_aborted() {
            self.run.end(Ending::Broken);
            return Poll::Ready(Some(Err(DropReason::BodyBroken)));
        }
        let chunk = self.chunk();
        self.bytes_sent += chunk.len() as u64;
        if self.bytes_sent >= self.length {
            self.run.end(Ending::Answered);
        } else {
            self.pause = self.next_pause().map(|p| Box::pin(sleep(p)));
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes_sent >= self.length
    }

    fn size_hint(&self) -> SizeHint {
        if self.behaviour.chunked {
            return SizeHint::default();
        }
        SizeHint::with_exact(self.length - self.bytes_sent)
    }
}
