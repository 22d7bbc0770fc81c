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

/// A setting that cannot be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OptionError {
    /// The setting is not there.
    #[error("{flag} is missing; give it or set {variable}")]
    Missing {
        /// The flag.
        flag: &'static str,
        /// The environment variable.
        variable: String,
    },
    /// The setting's value cannot be read.
    #[error("{flag} (or {variable}) is {value:?}: {cause}; {remedy}")]
    Malformed {
        /// The flag.
        flag: &'static str,
        /// The environment variable.
        variable: String,
        /// The value.
        value: String,
        /// What is wrong with it.
        cause: String,
        /// What to write.
        remedy: &'static str,
    },
    /// The fleet secret is too short. It is not repeated.
    #[error("--fleet-secret has {bytes} bytes; use at least {least}")]
    SecretTooShort {
        /// Its length.
        bytes: usize,
        /// The least length.
        least: usize,
    },
    /// The fleet secret cannot stand in a header. It is not repeated.
    #[error("--fleet-secret holds spaces, control or non-ASCII characters; use printable ASCII")]
    SecretNotPrintable,
    /// Two settings name the same address.
    #[error("{flag} and {other} are both {address}; give each its own port")]
    Shared {
        /// One flag.
        flag: &'static str,
        /// The other flag.
        other: &'static str,
        /// The address.
        address: std::net::SocketAddr,
    },
}

/// All settings that cannot be used, never none.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct OptionErrors(pub Vec<OptionError>);

impl std::fmt::Display for OptionErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the settings cannot be used:")?;
        for e in &self.0 {
            write!(f, "\n  {e}")?;
        }
        Ok(())
    }
}
