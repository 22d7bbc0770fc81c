//! The body of an answer: a receipt, then filler, in pieces.

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
    service::Run, //
};
use crate::{
    error::Dropped,
    receipt::{
        Filler,
        Receipt, //
    },
};

/// The pause before a body breaks off, in which what came before is flushed.
const BREAK_PAUSE: Duration = Duration::from_millis(1);

/// A body that ends its run when its last piece is taken or it is dropped.
pub(super) struct AnswerBody {
    line: Bytes,
    filler: Filler,
    length: u64,
    sent: u64,
    behaviour: Behaviour,
    pause: Option<Pin<Box<Sleep>>>,
    run: Run,
}

impl AnswerBody {
    pub(super) fn new(receipt: &Receipt, behaviour: Behaviour, run: Run) -> Self {
        let line = receipt.line();
        Self {
            filler: Filler::new(&receipt.token),
            length: line.len() as u64 + receipt.filler,
            line,
            sent: 0,
            behaviour,
            pause: None,
            run,
        }
    }

    /// Returns the next piece.
    fn piece(&mut self) -> Bytes {
        let line = self.line.len() as u64;
        let piece = if self.sent < line {
            self.line.clone()
        } else {
            let start = self.sent - line;
            let end = (start + self.behaviour.chunk_bytes.max(1)).min(self.length - line);
            self.filler.bytes(start, end)
        };
        let left = self.behaviour.break_after.map(|b| b - self.sent);
        match left.and_then(|l| usize::try_from(l).ok()) {
            Some(left) if left < piece.len() => piece.slice(..left),
            _ => piece,
        }
    }

    /// Returns how long to wait before the next piece.
    fn next_pause(&self) -> Option<Duration> {
        let pause = Duration::from_millis(self.behaviour.pause_ms);
        if self.breaks() {
            return Some(pause.max(BREAK_PAUSE));
        }
        Some(pause).filter(|p| !p.is_zero())
    }

    /// Returns whether the body breaks off here.
    fn breaks(&self) -> bool {
        self.behaviour.break_after.is_some_and(|b| self.sent >= b)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Dropped;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Dropped>>> {
        if let Some(pause) = &mut self.pause {
            if pause.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.pause = None;
        }
        if self.sent >= self.length {
            return Poll::Ready(None);
        }
        if self.breaks() {
            self.run.end(Ending::Broken);
            return Poll::Ready(Some(Err(Dropped::BodyBroken)));
        }
        let piece = self.piece();
        self.sent += piece.len() as u64;
        if self.sent >= self.length {
            self.run.end(Ending::Answered);
        } else {
            self.pause = self.next_pause().map(|p| Box::pin(sleep(p)));
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent >= self.length
    }

    fn size_hint(&self) -> SizeHint {
        if self.behaviour.chunked {
            return SizeHint::default();
        }
        SizeHint::with_exact(self.length - self.sent)
    }
}
