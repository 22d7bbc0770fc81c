//! Request bodies: small ones are held, so that they can be sent again.

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
        PassingBody,
        Progress,
        ProxyBody,
        full, //
    },
    host::{
        Host,
        message::Pay, //
    },
    util::id::RegionName,
};

/// The longest body that is held to be sent again, in bytes.
pub const HELD_BODY_MAX_BYTES: u64 = 64 * 1024;

/// How long a refused body is read on.
const DISCARD_TIME: Duration = Duration::from_secs(5);
/// The bytes of a refused body that are read at most.
const DISCARD_MAX_BYTES: usize = 16 << 20;

/// The region that the billed link in use leads to.
pub type LinkInUse = Arc<ArcSwapOption<RegionName>>;

/// A request's body.
#[derive(Debug)]
pub enum Upload {
    /// Held whole; it can be sent any number of times.
    Held(Bytes),
    /// Not read yet; it can be sent once.
    Stream(Incoming),
    /// Came back from a connection on which nothing left.
    Returned(Mutex<ProxyBody>),
    /// Gone with an earlier try.
    Spent,
}

impl Upload {
    /// Reads a body that is known to be short, and leaves others to be streamed.
    ///
    /// # Errors
    ///
    /// Fails when the caller's connection fails.
    pub async fn new(mut body: Incoming) -> Result<Self, hyper::Error> {
        let exact = body.size_hint().exact();
        if body.is_end_stream() {
            return Ok(Self::Held(Bytes::new()));
        }
        if exact.is_none_or(|n| n > HELD_BODY_MAX_BYTES) {
            return Ok(Self::Stream(body));
        }
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                buf.extend_from_slice(&data);
            }
        }
        Ok(Self::Held(buf.freeze()))
    }

    /// Returns the held bytes; none where the body is streamed.
    pub fn held(&self) -> &[u8] {
        match self {
            Self::Held(bytes) => bytes,
            Self::Stream(_) | Self::Returned(_) | Self::Spent => &[],
        }
    }

    /// Returns the body's length where it is known.
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Held(bytes) => Some(bytes.len() as u64),
            Self::Stream(body) => body.size_hint().exact(),
            Self::Returned(body) => body.lock().ok().and_then(|b| b.size_hint().exact()),
            Self::Spent => None,
        }
    }

    /// Returns whether another try can be made with this body.
    pub fn can_be_sent(&self) -> bool {
        !matches!(self, Self::Spent)
    }

    /// Takes the body for one try.
    pub fn take(&mut self, passage: &Passage, cutoff: Option<Cutoff>) -> ProxyBody {
        match std::mem::replace(self, Self::Spent) {
            Self::Held(bytes) => {
                *self = Self::Held(bytes.clone());
                let body = PassingBody::new(full(bytes)).with_pacer(Some(passage.pacer()));
                body.boxed_unsync()
            }
            Self::Stream(body) => {
                let body = PassingBody::new(body)
                    .without_trailers()
                    .with_pacer(Some(passage.pacer()))
                    .with_progress(passage.progress.clone())
                    .with_cutoff(cutoff);
                body.boxed_unsync()
            }
            Self::Returned(body) => body
                .into_inner()
                .unwrap_or_else(|poisoned| poisoned.into_inner()),
            Self::Spent => full(Bytes::new()),
        }
    }

    /// Reads on for a while and throws away what comes, so that a caller that is
    /// still sending gets to read its refusal before the connection closes.
    pub fn discard(self) {
        if let Self::Stream(body) = self {
            tokio::spawn(timeout(DISCARD_TIME, discard(body)));
        }
    }

    /// Takes back a body of which nothing left.
    pub fn give_back(&mut self, body: ProxyBody) {
        if matches!(self, Self::Spent) {
            *self = Self::Returned(Mutex::new(body));
        }
    }
}

/// What the body's passage needs: the link that it is paid on, and its progress.
#[derive(Clone, Debug)]
pub struct Passage {
    host: Address<Host>,
    /// The link in use, if any.
    pub link: LinkInUse,
    /// The body's progress.
    pub progress: Progress,
}

impl Passage {
    /// Returns the passage of a body that starts now on no link.
    pub fn new(host: Address<Host>, now: Instant) -> Self {
        Self {
            host,
            link: LinkInUse::default(),
            progress: Progress::new(now),
        }
    }

    /// Returns the pacer that pays for the link in use.
    pub fn pacer(&self) -> Pacer {
        let host = self.host.clone();
        let link = self.link.clone();
        Box::new(move |bytes| {
            let to = link.load_full()?;
            Some(Box::pin(pay(host.clone(), RegionName::clone(&to), bytes)))
        })
    }
}

async fn discard(mut body: Incoming) {
    let mut read = 0;
    while let Some(Ok(frame)) = body.frame().await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > DISCARD_MAX_BYTES {
            return;
        }
    }
}

/// Waits until the link to a region may carry these bytes, and pays for them.
pub async fn pay(host: Address<Host>, to: RegionName, bytes: usize) {
    let bytes = bytes as u64;
    let mut first_try = None;
    loop {
        let msg = Pay {
            to: to.clone(),
            bytes,
            first_try,
        };
        first_try = first_try.or(Some(Instant::now()));
        match host.send(msg).await {
            Ok(Some(until)) => tokio::time::sleep_until(until).await,
            Ok(None) | Err(_) => return,
        }
    }
}
