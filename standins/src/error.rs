//! The errors of the stand-ins. Each message names the offending value and the remedy.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    process::ExitStatus, //
};

use thiserror::Error;

/// A failure inside a stand-in or of a call to one.
#[derive(Debug, Error)]
pub enum StandinError {
    /// An address could not be bound.
    #[error("address {address} could not be bound ({cause}); use another address or port 0")]
    Bind {
        /// The address asked for.
        address: SocketAddr,
        /// What the system answered.
        cause: io::Error,
    },
    /// The program could not read or write.
    #[error("{what} failed: {cause}; check that the path exists and is readable")]
    Io {
        /// What was tried.
        what: String,
        /// What the system answered.
        cause: io::Error,
    },
    /// A call over HTTP failed before its answer was complete.
    #[error("the call to {target} failed: {cause}; check that the process there runs")]
    Call {
        /// What was called.
        target: String,
        /// What went wrong.
        cause: String,
    },
    /// A call over HTTP was answered with an unexpected status.
    #[error("{target} answered {status}: {body}")]
    Status {
        /// What was called.
        target: String,
        /// The HTTP status.
        status: u16,
        /// The answer's body.
        body: String,
    },
    /// Text that should be JSON could not be read.
    #[error("{what} is not the expected JSON: {cause}")]
    Json {
        /// What was read.
        what: String,
        /// What is wrong with it.
        cause: serde_json::Error,
    },
    /// A program was not built beside the running one.
    #[error("{name} is not at {path:?}; build all programs first, with cargo build --workspace")]
    NotBuilt {
        /// The program's name.
        name: String,
        /// Where it should be.
        path: PathBuf,
    },
    /// A process ended before it was ready.
    #[error("{name} ended before it was ready: {said}")]
    Ended {
        /// The process's name.
        name: String,
        /// Its log.
        said: String,
    },
    /// A program ended with a failure.
    #[error("{what} ended with {status}: {said}")]
    Failed {
        /// What was run.
        what: String,
        /// How it ended.
        status: ExitStatus,
        /// Its standard error.
        said: String,
    },
    /// Something did not happen in time.
    #[error("{what} did not come in time; see the logs of the processes")]
    TimedOut {
        /// What was waited for.
        what: String,
    },
    /// A name stands for nothing.
    #[error("no {what} {name:?}; use one that the fleet has")]
    Unknown {
        /// What was looked for.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// The demonstration did not show something.
    #[error("not seen: {what}; found instead: {found}")]
    NotSeen {
        /// What should have been seen.
        what: String,
        /// What was seen.
        found: String,
    },
    /// A configuration set could not be read or written.
    #[error("the configuration set is not usable: {0}")]
    Set(String),
}

/// The way a stand-in ends a connection on purpose, without an answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Dropped {
    /// The answer is lost although the call took effect.
    #[error("the answer is lost on purpose")]
    AnswerLost,
    /// The caller is cut off.
    #[error("the caller is cut off on purpose")]
    Cut,
    /// The body breaks off.
    #[error("the body breaks off on purpose")]
    BodyBroken,
}
