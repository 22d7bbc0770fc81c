//! The commands of the operators' command line, `cardamomroad`.

mod configuration;
mod drain;
mod explain_ahead;
mod host_client;
mod host_state;
mod key;
mod logs;
mod print;

use std::{
    io::{
        self,
        Write, //
    },
    net::SocketAddr,
    path::PathBuf,
};

use clap::CommandFactory;
use thiserror::Error;

use crate::{
    cli::{
        Arguments,
        Command,
        ExplainArguments,
        Output, //
    },
    command::print::Printer,
    config::{
        fault::Faults,
        parse::ReadError, //
    },
    error::StoreError,
    publish::PublishError,
    store::http::HttpStore,
    util::id::{
        Generation,
        ObjectName,
        ZoneName, //
    },
};

/// Caller name sent with each call to the platform's object API, which counts calls by it.
const PLATFORM_CALLER: &str = "cardamomroad";

/// A failure of a command; it sets the exit code and the text on standard error.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The configuration set is invalid; all faults are listed.
    #[error(transparent)]
    Faults(#[from] Faults),
    /// The configuration files cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// Publishing to the store or reading from it failed.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// The command needs the store, and neither `--store` nor its variable is set.
    #[error("the store address is missing; give --store IP:PORT or set CARDAMOMROAD_STORE")]
    NoStore,
    /// `explain` needs `--host` or `--logs`, and neither is given.
    #[error("the source is missing; give --host IP:PORT or --logs DIR")]
    NoSource,
    /// The store at this address holds no published generation yet.
    #[error("the store at {0} holds no configuration; publish a set with `cardamomroad apply`")]
    NothingPublished(SocketAddr),
    /// The store's head lists only the last 64 generations, and this one is older or unknown.
    #[error("generation {0} is not among the last 64 and cannot be read; use a later one")]
    GenerationNotListed(Generation),
    /// The set in force already has a drain with this name.
    #[error("a drain named {0} is in force already; remove it or use another name")]
    DrainExists(ObjectName),
    /// The set in force has no object of this kind with this name.
    #[error("no {kind} named {name} is in force; see `cardamomroad get`")]
    NoSuchObject {
        /// Kind of object: `drain` or `key`.
        kind: &'static str,
        /// Name from the command line.
        name: ObjectName,
    },
    /// The platform lists no live entry host in these zones of the set.
    #[error("the platform lists no live entry host in {}; start one in each or remove the zone", ZoneList(.0))]
    ZonesWithoutHosts(Vec<ZoneName>),
    /// A request to an entry host failed, or its response could not be read.
    #[error(
        "the request to the entry host at {host} failed ({cause}); check the address and the host"
    )]
    Host {
        /// The host's operators' address.
        host: SocketAddr,
        /// Transport, status or parse error.
        cause: String,
    },
    /// The folder of logs or a file in it cannot be read.
    #[error("the logs in {} cannot be read ({cause}); give a folder with one file per host", folder.display())]
    Logs {
        /// Folder given with `--logs`.
        folder: PathBuf,
        /// I/O error of the folder or file.
        cause: io::Error,
    },
    /// No log has a line about the request.
    #[error("no log in {} has a line with id={id}; collect the logs of all hosts, and look for event=lines-dropped", folder.display())]
    NoLines {
        /// Request id from the command line.
        id: String,
        /// Folder given with `--logs`.
        folder: PathBuf,
    },
    /// The set could not be serialised as TOML.
    #[error("the set cannot be written as TOML ({0}); use --output json")]
    Toml(#[from] toml::ser::Error),
    /// A result could not be serialised as JSON.
    #[error("the result cannot be written as JSON ({0}); use --output text")]
    Json(#[from] serde_json::Error),
    /// Writing to standard output failed.
    #[error("cannot write to standard output: {0}")]
    Output(#[from] io::Error),
}

impl CommandError {
    /// Returns the exit code: 2 wrong arguments, 3 conflict, 4 outcome unknown, otherwise 1.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::NoStore | Self::NoSource => 2,
            Self::Publish(
                PublishError::Conflict { .. } | PublishError::Store(StoreError::Conflict { .. }),
            ) => 3,
            Self::Publish(PublishError::OutcomeUnknown { .. }) => 4,
            _ => 1,
        }
    }

    /// Returns the error as JSON, with its exit code and, by kind, its faults, its conflict or
    /// its write id.
    pub fn to_json(&self) -> serde_json::Value {
        let mut json = serde_json::json!({
            "error": self.to_string(),
            "exit_code": self.exit_code(),
        });
        match self {
            Self::Faults(faults) | Self::Publish(PublishError::Invalid(faults)) => {
                json["faults"] = serde_json::to_value(faults).unwrap_or_default();
            }
            Self::Publish(PublishError::Conflict {
                expected,
                current,
                changes,
            }) => {
                json["expected"] = expected.0.into();
                json["now"] = current.0.into();
                json["changes"] = serde_json::to_value(changes).unwrap_or_default();
            }
            Self::Publish(PublishError::OutcomeUnknown { id, .. }) => {
                json["write_id"] = id.to_string().into();
            }
            _ => (),
        }
        json
    }
}

/// Formats zone names as a comma-separated list.
struct ZoneList<'a>(&'a [ZoneName]);

impl std::fmt::Display for ZoneList<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, name) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { ", " };
            write!(f, "{separator}{name}")?;
        }
        Ok(())
    }
}

/// Output and store settings shared by all commands.
struct Context<'a> {
    output: Output,
    store: Option<SocketAddr>,
    printer: Printer<'a>,
}

impl Context<'_> {
    /// Returns a client of the store and the store's address.
    fn store(&self) -> Result<(HttpStore, SocketAddr), CommandError> {
        let address = self.store.ok_or(CommandError::NoStore)?;
        Ok((HttpStore::new(address, PLATFORM_CALLER), address))
    }
}

/// Runs one command and prints its result.
pub async fn run(args: Arguments, out: &mut dyn Write) -> Result<(), CommandError> {
    let mut cx = Context {
        output: args.output,
        store: args.store,
        printer: Printer::new(args.output, out),
    };
    match args.command {
        Command::Check(args) => configuration::check(&mut cx, &args).await,
        Command::Diff(args) => configuration::diff(&mut cx, &args).await,
        Command::Apply(args) => configuration::apply(&mut cx, &args).await,
        Command::Get(args) => configuration::get(&mut cx, &args).await,
        Command::Drain(command) => drain::run(&mut cx, command).await,
        Command::Key(command) => key::run(&mut cx, command).await,
        Command::Status(args) => host_state::status(&mut cx, &args).await,
        Command::Explain(ExplainArguments { source, question }) => {
            match (source.host, source.logs) {
                (Some(host), _) => host_state::explain(&mut cx, host, &question).await,
                (None, Some(folder)) => logs::explain(&mut cx, &folder, &question),
                (None, None) => Err(CommandError::NoSource),
            }
        }
        Command::ExplainAhead(args) => explain_ahead::run(&mut cx, &args).await,
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut command, "cardamomroad", &mut script);
            cx.printer.raw(&script)
        }
    }
}
