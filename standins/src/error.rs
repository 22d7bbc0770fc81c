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
        /// The address to bind.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// A file, socket or signal operation failed.
    #[error("{what} failed: {cause}; check that the path exists and is readable")]
    Io {
        /// The operation that failed.
        what: String,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// A call over HTTP failed before its answer was complete.
    #[error("the call to {target} failed: {cause}; check that the process there runs")]
    Call {
        /// The method, address and path of the call, as far as known.
        target: String,
        /// The text of the error.
        cause: String,
    },
    /// A call over HTTP was answered with an unexpected status.
    #[error("{target} answered {status}: {body}")]
    Status {
        /// The method, address and path of the call, as far as known.
        target: String,
        /// The HTTP status of the answer.
        status: u16,
        /// The body of the answer.
        body: String,
    },
    /// A text could not be parsed as the expected JSON.
    #[error("{source_name} is not the expected JSON: {cause}")]
    Json {
        /// The source of the text, such as the call that it answers.
        source_name: String,
        /// The error of the parser.
        cause: serde_json::Error,
    },
    /// A program is missing from the directory of the running one.
    #[error("{name} is not at {path:?}; build all programs first, with cargo build --workspace")]
    NotBuilt {
        /// The name of the program.
        name: String,
        /// The path at which it is expected.
        path: PathBuf,
    },
    /// A process ended before it was ready.
    #[error("{name} ended before it was ready: {said}")]
    Ended {
        /// The name of the process.
        name: String,
        /// The log of the process.
        said: String,
    },
    /// A program ended with a failing exit status.
    #[error("{what} ended with {status}: {said}")]
    Failed {
        /// The program or command that was run.
        what: String,
        /// The exit status.
        status: ExitStatus,
        /// The standard error of the program, or another error text.
        said: String,
    },
    /// A wait timed out.
    #[error("timed out waiting for {what}; see the logs of the processes")]
    TimedOut {
        /// The event that was awaited.
        what: String,
    },
    /// A name does not exist in the fleet.
    #[error("no {what} {name:?} exists; use one that the fleet has")]
    Unknown {
        /// The kind of thing that was looked up, such as a host.
        what: &'static str,
        /// The name that does not exist.
        name: String,
    },
    /// A check of the demonstration failed.
    #[error("not observed: {what}; found instead: {found}")]
    NotSeen {
        /// The expected observation.
        what: String,
        /// The actual observation.
        found: String,
    },
    /// A configuration set could not be read or written.
    #[error("the configuration set is not usable: {0}")]
    Set(String),
}

/// Why a stand-in ends a connection without a complete answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DropReason {
    /// The call took effect, but its answer is withheld.
    #[error("the answer is dropped deliberately")]
    AnswerLost,
    /// The call is dropped before it runs.
    #[error("the call is dropped deliberately")]
    Cut,
    /// The body is aborted before its end.
    #[error("the body is aborted deliberately")]
    BodyBroken,
}
