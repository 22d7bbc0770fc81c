//! The errors of the library. Each message names the offending value and the remedy.

use thiserror::Error;

use crate::util::id::Version;

/// A failure of a call to the platform's object store.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The conditional write named a version that is not the current one.
    #[error("object {key:?} is not at the expected version (now {current:?}); read it again")]
    Conflict {
        /// The object's key.
        key: String,
        /// Its current version, where the store told it.
        current: Option<Version>,
    },
    /// No answer came, or the connection failed. A write may have taken effect.
    #[error("the store at {address} did not answer ({cause}); the call may have taken effect")]
    Unanswered {
        /// The store's address.
        address: String,
        /// What failed.
        cause: String,
    },
    /// The store answered that it did not run the call.
    #[error("the store refused the call on {key:?} with status {status}; try again later")]
    Refused {
        /// The object's key.
        key: String,
        /// The HTTP status.
        status: u16,
    },
    /// The answer could not be read.
    #[error("the store's answer about {key:?} could not be read: {cause}")]
    Malformed {
        /// The object's key.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
}
