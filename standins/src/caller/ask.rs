//! The description of a request, and the body that a caller uploads with it.

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
    error::DropReason,
    receipt::{
        BodyDigest,
        Filler,
        SentRequest, //
    },
};

/// A request to send; all its attempts share this description.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Additional headers, as pairs of name and value.
    pub headers: Vec<(String, String)>,
    /// The body to upload.
    pub upload: Upload,
    /// The time limit for the start of the answer, sent to the host in `x-cardamomroad-deadline-ms`.
    pub deadline: Option<Duration>,
    /// The token that identifies the request in the answer's receipt; generated if empty.
    pub token: String,
}

/// A body of filler bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Upload {
    /// The length of the body in bytes.
    pub length: u64,
    /// The size of one chunk in bytes.
    pub chunk_bytes: u64,
    /// The pause between two chunks.
    pub pause: Duration,
    /// Aborts the body after at least this many bytes; `None` sends it whole.
    pub break_after: Option<u64>,
}

/// The default size of one chunk in bytes.
const DEFAULT_CHUNK_BYTES: u64 = 64 * 1024;

impl Upload {
    /// Returns an upload of `length` bytes without pauses.
    pub fn new(length: u64) -> Self {
        Self {
            length,
            chunk_bytes: DEFAULT_CHUNK_BYTES,
            ..Self::default()
        }
    }

    /// Sets the size of a chunk and the pause after it.
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

    /// Returns a request without body or additional headers.
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

    /// Sets the body to upload.
    pub fn with_upload(mut self, upload: Upload) -> Self {
        self.upload = upload;
        self
    }

    /// Sets the time limit for the start of the answer.
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

    /// Returns the request as the receipt of its answer must describe it.
    pub(super) fn sent(&self) -> SentRequest {
        let mut body_digest = BodyDigest::new();
        let filler = Filler::new(&self.token);
        let mut start = 0;
        while start < self.upload.length {
            let end = (start + DEFAULT_CHUNK_BYTES).min(self.upload.length);
            body_digest.add(&filler.bytes(start, end));
            start = end;
        }
        SentRequest {
            token: self.token.clone(),
            method: self.method.to_string(),
            path: self.path.clone(),
            length: body_digest.length(),
            digest: body_digest.digest(),
        }
    }
}

/// The streamed body of an upload, generated chunk by chunk.
#[derive(Debug)]
pub(super) struct UploadBody {
    upload: Upload,
    filler: Filler,
    /// The number of bytes sent so far.
    sent: u64,
    pause: Option<Pin<Box<Sleep>>>,
}

impl Body for UploadBody {
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
        if self.sent >= self.upload.length {
            return Poll::Ready(None);
        }
        if self.upload.break_after.is_some_and(|b| self.sent >= b) {
            return Poll::Ready(Some(Err(DropReason::BodyBroken)));
        }
        let end = (self.sent + self.upload.chunk_bytes.max(1)).min(self.upload.length);
        let chunk = self.filler.bytes(self.sent, end);
        self.sent = end;
        if !self.upload.pause.is_zero() {
            self.pause = Some(Box::pin(sleep(self.upload.pause)));
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent >= self.upload.length
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.upload.length - self.sent)
    }
}
