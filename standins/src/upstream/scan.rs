//! Searches all bytes received on a connection for given strings.

use std::{
    io,
    pin::Pin, //
    sync::{
        Arc,
        PoisonError,
        RwLock, //
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
};

use memchr::memmem;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// The strings to search for and the number of matches, shared by all connections.
#[derive(Clone, Debug, Default)]
pub(super) struct Needles {
    strings: Arc<RwLock<Vec<String>>>,
    hits: Arc<AtomicU64>,
}

impl Needles {
    pub(super) fn new() -> Self {
        Self::default()
    }

    pub(super) fn set(&self, mut strings: Vec<String>) {
        strings.retain(|s| !s.is_empty());
        let mut current = self.strings.write().unwrap_or_else(PoisonError::into_inner);
        *current = strings;
    }

    pub(super) fn hits(&self) -> u64 {
        self.hits.load(Ordering::Relaxed)
    }

    /// Counts the matches in `buf` that end after its first `searched` bytes,
    /// which an earlier search has covered.
    fn search(&self, buf: &[u8], searched: usize) {
        let strings = self.strings.read().unwrap_or_else(PoisonError::into_inner);
        for needle in strings.iter() {
            let start = (searched + 1).saturating_sub(needle.len());
            let found = memmem::find_iter(&buf[start.min(buf.len())..], needle).count();
            self.hits.fetch_add(found as u64, Ordering::Relaxed);
        }
    }

    /// Returns how many bytes before the next read a match may begin.
    fn overlap(&self) -> usize {
        let strings = self.strings.read().unwrap_or_else(PoisonError::into_inner);
        let longest = strings.iter().map(String::len).max();
        longest.unwrap_or_default().saturating_sub(1)
    }
}

/// A TCP stream whose received bytes are searched.
#[derive(Debug)]
pub(super) struct ScannedStream {
    stream: TcpStream,
    needles: Needles,
    /// The last received bytes, in which a match that ends in the next read may begin.
    tail: Vec<u8>,
}

impl ScannedStream {
    pub(super) fn new(stream: TcpStream, needles: Needles) -> Self {
        Self {
            stream,
            needles,
            tail: Vec::new(),
        }
    }

    fn scan(&mut self, received: &[u8]) {
        let overlap = self.needles.overlap();
        if overlap == 0 {
            self.tail.clear();
            self.needles.search(received, 0);
            return;
        }
        let searched = self.tail.len();
        self.tail.extend_from_slice(received);
        self.needles.search(&self.tail, searched);
        let keep = self.tail.len().saturating_sub(overlap);
        self.tail.drain(..keep);
    }
}

impl AsyncRead for ScannedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.scan(&buf.filled()[before..]);
        }
        polled
    }
}

impl AsyncWrite for ScannedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
