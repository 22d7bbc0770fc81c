//! What a caller asks for, and the body that it uploads.

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
use hyper::Method;
use tokio::time::{
    Sleep,
    sleep, //
};

use crate::{
    error::Dropped,
    receipt::{
        Filler,
        Meter,
        Sent, //
    },
};

/// One request, as often as it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// The body to upload.
    pub upload: Upload,
    /// How long the caller waits for the answer to start, as told to the host.
    pub deadline: Option<Duration>,
    /// The token that ties the answer to the request; chosen where it is empty.
    pub token: String,
}

/// A body of filler bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Upload {
    /// Its length in bytes.
    pub length: u64,
    /// The bytes of one piece.
    pub chunk_bytes: u64,
    /// The time between two pieces.
    pub pause: Duration,
    /// The body breaks off after so many bytes.
    pub break_after: Option<u64>,
}

/// The bytes of one piece, where nothing else is asked for.
const DEFAULT_CHUNK_BYTES: u64 = 64 * 1024;

impl Upload {
    /// Returns an upload of so many bytes without pauses.
    pub fn new(length: u64) -> Self {
        Self {
            length,
            chunk_bytes: DEFAULT_CHUNK_BYTES,
            ..Self::default()
        }
    }

    /// Sets the size of a piece and the pause after it.
    pub fn with_pace(mut self, chunk_bytes: u64, pause: Duration) -> Self {
        self.chunk_bytes = chunk_bytes;
        self.pause = pause;
        self
    }
}

impl Ask {
    /// Returns an idempotent GET.
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path, true)
    }

    /// Returns a POST that must not run twice.
    pub fn post(path: &str) -> Self {
        Self::new(Method::POST, path, false)
    }

    /// Returns a request without body.
    pub fn new(method: Method, path: &str, idempotent: bool) -> Self {
        Self {
            method,
            path: path.to_owned(),
            idempotent,
            headers: Vec::new(),
            upload: Upload::default(),
            deadline: None,
            token: String::new(),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    /// Sets the body.
    pub fn with_upload(mut self, upload: Upload) -> Self {
        self.upload = upload;
        self
    }

    /// Sets the deadline.
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    pub(super) fn body(&self) -> UploadBody {
        UploadBody {
            upload: self.upload,
            filler: Filler::new(&self.token),
            sent: 0,
            pause: None,
        }
    }

    /// Returns what a receipt has to say.
    pub(super) fn sent(&self) -> Sent {
        let mut meter = Meter::new();
        let filler = Filler::new(&self.token);
        let mut start = 0;
        while start < self.upload.length {
            let end = (start + DEFAULT_CHUNK_BYTES).min(self.upload.length);
            meter.add(&filler.bytes(start, end));
            start = end;
        }
        Sent {
            token: self.token.clone(),
            method: self.method.to_string(),
            path: self.path.clone(),
            length: meter.length(),
            digest: meter.digest(),
        }
    }
}

/// The body of an upload, made piece by piece.
#[derive(Debug)]
pub(super) struct UploadBody {
    upload: Upload,
    filler: Filler,
    sent: u64,
    pause: Option<Pin<Box<Sleep>>>,
}

impl Body for UploadBody {
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
        if self.sent >= self.upload.length {
            return Poll::Ready(None);
        }
        if self.upload.break_after.is_some_and(|b| self.sent >= b) {
            return Poll::Ready(Some(Err(Dropped::BodyBroken)));
        }
        let end = (self.sent + self.upload.chunk_bytes.max(1)).min(self.upload.length);
        let piece = self.filler.bytes(self.sent, end);
        self.sent = end;
        if !self.upload.pause.is_zero() {
            self.pause = Some(Box::pin(sleep(self.upload.pause)));
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent >= self.upload.length
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.upload.length - self.sent)
    }
}
