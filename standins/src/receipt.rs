//! The content of an upstream stand-in's answers, which depends on the request.
//!
//! A body is a receipt as one line of JSON, followed by filler bytes that are
//! derived from the request's token. By checking a body, a caller detects an
//! answer to another request, a truncated body, and changed bytes.

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

/// The number of filler bytes derived from one hash value.
const WORD_BYTES: u64 = 8;

/// An upstream's description of the request that it answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The name of the upstream that answered.
    pub upstream: String,
    /// The caller's token from `x-standin-token`; empty if none was sent.
    pub token: String,
    /// The received request id; empty if there was none.
    pub id: String,
    /// The received organisation; empty if there was none.
    pub organisation: String,
    /// The received HTTP method.
    pub method: String,
    /// The received path and query.
    pub path: String,
    /// The number of body bytes received.
    pub received: u64,
    /// The XXH3 digest of the body bytes received.
    pub received_digest: u64,
    /// The number of filler bytes after the receipt's line.
    pub filler: u64,
}

/// Why a body is not the complete answer to a request.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReceiptError {
    /// The body does not begin with a receipt.
    #[error(
        "the body of {0} bytes does not begin with a receipt; it is truncated or from another server"
    )]
    NoReceipt(usize),
    /// The receipt carries the token of another request.
    #[error("the answer is for token {found:?}, not for {expected:?}; answers were crossed")]
    Crossed {
        /// The token of the request.
        expected: String,
        /// The token in the answer.
        found: String,
    },
    /// The receipt names another method or path.
    #[error("the answer is for {found:?}, not for {expected:?}; the request was changed")]
    Changed {
        /// The method and path of the request.
        expected: String,
        /// The method and path that the upstream received.
        found: String,
    },
    /// The body that the upstream received differs from the one sent.
    #[error(
        "the upstream received {found} body bytes for {expected} sent; their length or digest differs"
    )]
    Upload {
        /// The number of bytes sent.
        expected: u64,
        /// The number of bytes received.
        found: u64,
    },
    /// The filler is shorter or longer than the receipt states.
    #[error("the answer has {found} filler bytes, but its receipt states {expected}")]
    Length {
        /// The number of filler bytes that the receipt states.
        expected: u64,
        /// The number of filler bytes received.
        found: u64,
    },
    /// The filler bytes are not those derived from the token.
    #[error("the answer's filler does not match token {0:?}")]
    Content(String),
}

/// The request that a caller sent, against which a receipt is checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SentRequest {
    /// The token sent in `x-standin-token`.
    pub token: String,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The number of body bytes sent.
    pub length: u64,
    /// The XXH3 digest of the body bytes sent.
    pub digest: u64,
}

impl Receipt {
    /// Returns the receipt as one line of JSON, the first line of a body.
    pub fn line(&self) -> Bytes {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line.into()
    }

    /// Checks that a body is the complete answer to the request sent, and returns its receipt.
    pub fn check(body: &[u8], sent: &SentRequest) -> Result<Self, ReceiptError> {
        let no_receipt = || ReceiptError::NoReceipt(body.len());
        let end = memchr::memchr(b'\n', body).ok_or_else(no_receipt)?;
        let receipt: Self = serde_json::from_slice(&body[..end]).map_err(|_| no_receipt())?;
        receipt.check_request(sent)?;
        receipt.check_filler(&body[end + 1..])?;
        Ok(receipt)
    }

    fn check_request(&self, sent: &SentRequest) -> Result<(), ReceiptError> {
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

/// A reproducible byte sequence of any length, derived from a token.
#[derive(Clone, Copy, Debug)]
pub struct Filler {
    seed: u64,
}

impl Filler {
    /// Returns the filler derived from a token.
    pub fn new(token: &str) -> Self {
        Self {
            seed: xxh3_64(token.as_bytes()),
        }
    }

    /// Returns the bytes from `start` (inclusive) to `end` (exclusive).
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

/// An incremental count and XXH3 digest of body bytes.
#[derive(Clone, Default)]
pub struct BodyDigest {
    hash: Xxh3,
    length: u64,
}

impl BodyDigest {
    /// Returns the count and digest of no bytes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the next bytes of the body.
    pub fn add(&mut self, bytes: &[u8]) {
        self.hash.update(bytes);
        self.length += bytes.len() as u64;
    }

    /// Returns the number of bytes added.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the digest of the bytes added.
    pub fn digest(&self) -> u64 {
        self.hash.digest()
    }
}
