//! The content of an upstream stand-in's answers, tied to the request.
//!
//! A body is a receipt as one line of JSON, followed by filler bytes that are a
//! function of the request's token. A caller that checks a body finds an answer
//! to another request, a body that was cut short, and changed bytes.

use bytes::{
    BufMut,
    Bytes,
    BytesMut, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;
use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_64,
    xxh3_64_with_seed, //
};

/// The bytes of filler that one hash gives.
const WORD_BYTES: u64 = 8;

/// What an upstream says about the request that it answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The upstream's name.
    pub upstream: String,
    /// The caller's own token in `x-standin-token`, or empty.
    pub token: String,
    /// The request id that arrived, or empty.
    pub id: String,
    /// The organisation that arrived, or empty.
    pub organisation: String,
    /// The method that arrived.
    pub method: String,
    /// The path and query that arrived.
    pub path: String,
    /// The number of body bytes that arrived.
    pub received: u64,
    /// The digest of the body bytes that arrived.
    pub received_digest: u64,
    /// The number of filler bytes after the receipt's line.
    pub filler: u64,
}

/// Why a body is not the whole answer to a request.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReceiptError {
    /// The body does not begin with a receipt.
    #[error("the body of {0} bytes does not begin with a receipt; it is cut short or foreign")]
    NoReceipt(usize),
    /// The receipt is for another request.
    #[error("the answer is for token {found:?}, not for {expected:?}; answers were crossed")]
    Crossed {
        /// The token of the request.
        expected: String,
        /// The token in the answer.
        found: String,
    },
    /// The receipt is for another method or path.
    #[error("the answer is for {found:?}, not for {expected:?}; the request was changed")]
    Changed {
        /// What was asked for.
        expected: String,
        /// What the upstream saw.
        found: String,
    },
    /// The upstream received other body bytes than were sent.
    #[error("the upstream received {found} bytes, not the {expected} sent, or other ones")]
    Upload {
        /// The bytes sent.
        expected: u64,
        /// The bytes received.
        found: u64,
    },
    /// The filler is shorter or longer than the receipt says.
    #[error("the answer has {found} filler bytes of {expected}; it is not whole")]
    Length {
        /// The bytes that the receipt promises.
        expected: u64,
        /// The bytes that came.
        found: u64,
    },
    /// The filler holds other bytes.
    #[error("the answer's filler differs from what token {0:?} gives")]
    Content(String),
}

/// What a caller sent, to check a receipt against.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// The token in `x-standin-token`.
    pub token: String,
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The number of body bytes.
    pub length: u64,
    /// The digest of the body bytes.
    pub digest: u64,
}

impl Receipt {
    /// Returns the receipt as the first line of a body.
    pub fn line(&self) -> Bytes {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line.into()
    }

    /// Checks that a whole body answers what was sent, and returns its receipt.
    pub fn check(body: &[u8], sent: &Sent) -> Result<Self, ReceiptError> {
        let no_receipt = || ReceiptError::NoReceipt(body.len());
        let end = memchr::memchr(b'\n', body).ok_or_else(no_receipt)?;
        let receipt: Self = serde_json::from_slice(&body[..end]).map_err(|_| no_receipt())?;
        receipt.check_request(sent)?;
        receipt.check_filler(&body[end + 1..])?;
        Ok(receipt)
    }

    fn check_request(&self, sent: &Sent) -> Result<(), ReceiptError> {
        if self.token != sent.token {
            return Err(ReceiptError::Crossed {
                expected: sent.token.clone(),
                found: self.token.clone(),
            });
        }
        if (&self.method, &self.path) != (&sent.method, &sent.path) {
            return Err(ReceiptError::Changed {
                expected: format!("{} {}", sent.method, sent.path),
                found: format!("{} {}", self.method, self.path),
            });
        }
        if (self.received, self.received_digest) != (sent.length, sent.digest) {
            return Err(ReceiptError::Upload {
                expected: sent.length,
                found: self.received,
            });
        }
        Ok(())
    }

    fn check_filler(&self, found: &[u8]) -> Result<(), ReceiptError> {
        if found.len() as u64 != self.filler {
            return Err(ReceiptError::Length {
                expected: self.filler,
                found: found.len() as u64,
            });
        }
        let filler = Filler::new(&self.token).bytes(0, self.filler);
        if filler != found {
            return Err(ReceiptError::Content(self.token.clone()));
        }
        Ok(())
    }
}

/// Bytes of any length that are a function of a token.
#[derive(Clone, Copy, Debug)]
pub struct Filler {
    seed: u64,
}

impl Filler {
    /// Returns the filler of a token.
    pub fn new(token: &str) -> Self {
        Self {
            seed: xxh3_64(token.as_bytes()),
        }
    }

    /// Returns the bytes from `start` up to, not including, `end`.
    pub fn bytes(self, start: u64, end: u64) -> Bytes {
        let length = usize::try_from(end.saturating_sub(start)).unwrap_or_default();
        let mut buf = BytesMut::with_capacity(length + 2 * WORD_BYTES as usize);
        let first = start / WORD_BYTES;
        for word in first..end.div_ceil(WORD_BYTES) {
            buf.put_u64(xxh3_64_with_seed(&word.to_le_bytes(), self.seed));
        }
        let skipped = usize::try_from(start % WORD_BYTES).unwrap_or_default();
        buf.freeze().slice(skipped..skipped + length)
    }
}

/// A running count and digest of body bytes.
#[derive(Clone, Default)]
pub struct Meter {
    hash: Xxh3,
    length: u64,
}

impl Meter {
    /// Returns a meter that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        self.hash.update(bytes);
        self.length += bytes.len() as u64;
    }

    /// Returns the number of bytes seen.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the digest of the bytes seen.
    pub fn digest(&self) -> u64 {
        self.hash.digest()
    }
}
