//! Errors of the store and of the settings.
//!
//! Where it can, a message states the offending value and how to correct it.

use thiserror::Error;

use crate::util::id::Version;

/// A failure of a call to the platform's object store.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// A conditional write expected a version other than the current one.
    #[error("object {key:?} is not at the expected version (now {current:?}); read it again")]
    Conflict {
        /// Key of the object.
        key: String,
        /// Current version of the object, if the store reported it.
        current: Option<Version>,
    },
    /// The call timed out or the connection failed. A write may have taken effect.
    #[error("the store at {address} did not answer ({cause}); the call may have taken effect")]
    Unanswered {
        /// Address of the store.
        address: String,
        /// Timeout or transport error.
        cause: String,
    },
    /// The store rejected the call without running it.
    #[error("the store refused the call on {key:?} with status {status}; try again later")]
    Refused {
        /// Key of the object.
        key: String,
        /// HTTP status of the response.
        status: u16,
    },
    /// The store's response could not be parsed.
    #[error("the store's answer about {key:?} could not be read: {cause}")]
    Malformed {
        /// Key of the object.
        key: String,
        /// Parse error.
        cause: String,
    },
}

/// A missing or invalid setting of the entry host daemon.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OptionError {
    /// A mandatory setting is given neither as a flag nor in the environment.
    #[error("{flag} is missing; give it or set {variable}")]
    Missing {
        /// Flag of the setting, with its dashes.
        flag: &'static str,
        /// Environment variable of the setting.
        variable: String,
    },
    /// A value cannot be parsed or is not allowed.
    #[error("{flag} (or {variable}) is {value:?}: {cause}; {remedy}")]
    Malformed {
        /// Flag of the setting, with its dashes.
        flag: &'static str,
        /// Environment variable of the setting.
        variable: String,
        /// Value as it was given.
        value: String,
        /// Why the value is not accepted.
        cause: String,
        /// Hint with an example of a valid value.
        remedy: &'static str,
    },
    /// The fleet secret is too short. The message does not contain it.
    #[error("--fleet-secret has {bytes} bytes; use at least {min_bytes}")]
    SecretTooShort {
        /// Length of the secret.
        bytes: usize,
        /// Minimum length, in bytes.
        min_bytes: usize,
    },
    /// The fleet secret is not a valid header value. The message does not contain it.
    #[error("--fleet-secret holds spaces, control or non-ASCII characters; use printable ASCII")]
    SecretNotPrintable,
    /// Two settings have the same address.
    #[error("{flag} and {other} are both {address}; give each its own port")]
    SharedAddress {
        /// Flag of the setting that is checked.
        flag: &'static str,
        /// Flag of the listener with the same address.
        other: &'static str,
        /// Address that both settings have.
        address: std::net::SocketAddr,
    },
}

/// All invalid settings; never empty.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct OptionErrors(pub Vec<OptionError>);

impl std::fmt::Display for OptionErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "invalid settings:")?;
        for e in &self.0 {
            write!(f, "\n  {e}")?;
        }
        Ok(())
    }
}
