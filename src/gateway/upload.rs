//! Request bodies. Small ones are buffered, so that they can be sent again.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::body::{
    Body,
    Incoming, //
};
use tokio::time::{
    Instant,
    timeout, //
};
use xtra::Address;

use crate::{
    body::{
        Cutoff,
        Pacer,
        Progress,
        ProxyBody,
        RelayedBody,
        full, //
    },
    host::{
        Host,
        message::DebitLink, //
    },
    util::id::RegionName,
};

/// The longest body that is buffered to be sent again, in bytes.
pub const BUFFERED_BODY_MAX_BYTES: u64 = 64 * 1024;

/// How long the rest of a refused body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// The most bytes of a refused body that are read and discarded.
const DISCARD_MAX_BYTES: usize = 16 << 20;

/// The destination region of the billed link that a body is charged to; empty without one.
pub type CurrentLink = Arc<ArcSwapOption<RegionName>>;

/// A request's body, in one of the states between its receipt and its last attempt.
#[derive(Debug)]
pub enum Upload {
    /// Buffered as a whole; it can be sent any number of times.
    Buffered(Bytes),
    /// Not read yet; it can be sent once.
    Stream(Incoming),
    /// Returned by a failed attempt that sent nothing; it can be sent once more.
    Unsent(Mutex<ProxyBody>),
    /// Consumed by an earlier attempt.
    Consumed,
}

impl Upload {
    /// Buffers a body of known length up to [`BUFFERED_BODY_MAX_BYTES`]; other bodies are streamed.
    ///
    /// # Errors
    ///
    /// Fails when the caller's connection fails.
    pub async fn new(mut body: Incoming) -> Result<Self, hyper::Error> {
        let exact = body.size_hint().exact();
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        if exact.is_none_or(|n| n > BUFFERED_BODY_MAX_BYTES) {
            return Ok(Self::Stream(body));
        }
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                buf.extend_from_slice(&data);
            }
        }
        Ok(Self::Buffered(buf.freeze()))
    }

    /// Returns the buffered bytes, or an empty slice if the body is not buffered.
    pub fn buffered(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Stream(_) | Self::Unsent(_) | Self::Consumed => &[],
        }
    }

    /// Returns the body's length in bytes, if known.
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes) => Some(bytes.len() as u64),
            Self::Stream(body) => body.size_hint().exact(),
            Self::Unsent(body) => body.lock().ok().and_then(|b| b.size_hint().exact()),
            Self::Consumed => None,
        }
    }

    /// Returns whether the body is available for another attempt.
    pub fn can_be_sent(&self) -> bool {
        !matches!(self, Self::Consumed)
    }

    /// Returns the body for one attempt; `cutoff` applies to streamed bodies only.
    pub fn body_for_try(&mut self, transfer: &Transfer, cutoff: Option<Cutoff>) -> ProxyBody {
        match std::mem::replace(self, Self::Consumed) {
            Self::Buffered(bytes) => {
                *self = Self::Buffered(bytes.clone());
                let body = RelayedBody::new(full(bytes)).with_pacer(Some(transfer.pacer()));
                body.boxed_unsync()
            }
            Self::Stream(body) => {
                let body = RelayedBody::new(body)
                    .without_trailers()
                    .with_pacer(Some(transfer.pacer()))
                    .with_progress(transfer.progress.clone())
                    .with_cutoff(cutoff);
                body.boxed_unsync()
            }
            Self::Unsent(body) => body
                .into_inner()
                .unwrap_or_else(|poisoned| poisoned.into_inner()),
            Self::Consumed => full(Bytes::new()),
        }
    }

    /// Reads and discards the rest of a streamed body, up to a limit of time and bytes.
    ///
    /// A caller that is still sending can then read the refusal before the connection closes.
    pub fn discard(self) {
        if let Self::Stream(body) = self {
            tokio::spawn(timeout(DISCARD_TIMEOUT, discard(body)));
        }
    }

    /// Restores the body of an attempt that sent nothing.
    pub fn restore(&mut self, body: ProxyBody) {
        if matches!(self, Self::Consumed) {
            *self = Self::Unsent(Mutex::new(body));
        }
    }
}

/// The transfer of a body: its progress, and the billed link that it is charged to.
#[derive(Clone, Debug)]
pub struct Transfer {
    host: Address<Host>,
    /// The billed link that the current attempt uses.
    pub link: CurrentLink,
    /// The bytes sent so far and the time of the last progress.
    pub progress: Progress,
}

impl Transfer {
    /// Creates the state of a transfer that starts now and uses no billed link.
    pub fn new(host: Address<Host>, now: Instant) -> Self {
        Self {
            host,
            link: CurrentLink::default(),
            progress: Progress::new(now),
        }
    }

    /// Returns a pacer that charges the billed link that is current when bytes are sent.
    pub fn pacer(&self) -> Pacer {
        let host = self.host.clone();
        let link = self.link.clone();
        Box::new(move |bytes| {
            let to = link.load_full()?;
            Some(Box::pin(charge_link(
                host.clone(),
                RegionName::clone(&to),
                bytes,
            )))
        })
    }
}

async fn discard(mut body: Incoming) {
    let mut bytes_read = 0;
    while let Some(Ok(frame)) = body.frame().await {
        bytes_read += frame.data_ref().map_or(0, Bytes::len);
        if bytes_read > DISCARD_MAX_BYTES {
            return;
        }
    }
}

/// Charges bytes to the billed link to a region, waiting until its cap allows them.
///
/// Returns at once if no link to the region is configured or the host actor has stopped.
pub async fn charge_link(host: Address<Host>, to: RegionName, bytes: usize) {
    let bytes = bytes as u64;
    let mut first_asked_at = None;
    loop {
        let msg = DebitLink {
            to: to.clone(),
            bytes,
            first_asked_at,
        };
        first_asked_at = first_asked_at.or(Some(Instant::now()));
        match host.send(msg).await {
            Ok(Some(until)) => tokio::time::sleep_until(until).await,
            Ok(None) | Err(_) => return,
        }
    }
}
