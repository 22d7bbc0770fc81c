//! What the operators' program does.

mod ask;
mod configuration;
mod drain;
mod key;
mod logs;
mod print;
mod state;

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

/// The name that the platform counts this program's calls under.
const PLATFORM_CALLER: &str = "cardamomroad";

/// A failure of the operators' program.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The set has faults.
    #[error(transparent)]
    Faults(#[from] Faults),
    /// The files cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The set could not be published or read.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// No store is named.
    #[error("no store is named; give --store IP:PORT or set CARDAMOMROAD_STORE")]
    NoStore,
    /// Neither a host nor logs are named.
    #[error("neither a host nor logs are named; give --host IP:PORT or --logs DIR")]
    NoSource,
    /// Nothing was published yet.
    #[error("nothing is published in the store at {0}; publish a set with `cardamomroad apply`")]
    Nothing(SocketAddr),
    /// The head does not remember a generation.
    #[error("generation {0} is none of the last 64 and cannot be read; name a later one")]
    Forgotten(Generation),
    /// The name is taken.
    #[error("a drain named {0} is in force already; remove it or use another name")]
    DrainExists(ObjectName),
    /// Nothing has the name.
    #[error("no {kind} named {name} is in force; see `cardamomroad get`")]
    NoSuchObject {
        /// The kind.
        kind: &'static str,
        /// The name.
        name: ObjectName,
    },
    /// The platform lists no entry host in some zones.
    #[error("the platform lists no live entry host in {}; start one in each or remove the zone", Names(.0))]
    ZonesWithoutHosts(Vec<ZoneName>),
    /// An entry host did not answer as it should.
    #[error("the entry host at {host} did not answer ({cause}); check the address and the host")]
    Host {
        /// Its operators' address.
        host: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The logs cannot be read.
    #[error("the logs in {} cannot be read ({cause}); name a folder with a file for each host", folder.display())]
    Logs {
        /// The folder.
        folder: PathBuf,
        /// What went wrong.
        cause: io::Error,
    },
    /// No log has the request.
    #[error("no log in {} has a line with id={id}; collect the logs of all hosts, and see lines-dropped", folder.display())]
    NoLines {
        /// The request.
        id: String,
        /// The folder.
        folder: PathBuf,
    },
    /// A set cannot be written as TOML.
    #[error("the set cannot be written as TOML ({0}); use --output json")]
    Toml(#[from] toml::ser::Error),
    /// A value cannot be written as JSON.
    #[error("the answer cannot be written as JSON ({0}); use --output text")]
    Json(#[from] serde_json::Error),
    /// Standard output is closed.
    #[error("standard output cannot be written to: {0}")]
    Output(#[from] io::Error),
}

impl CommandError {
    /// Returns the exit code of the program.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::NoStore | Self::NoSource => 2,
            Self::Publish(
                PublishError::Conflict { .. } | PublishError::Store(StoreError::Conflict { .. }),
            ) => 3,
            Self::Publish(PublishError::Unknown { .. }) => 4,
            _ => 1,
        }
    }

    /// Returns the error as JSON for programs.
    pub fn to_json(&self) -> serde_json::Value {
        let mut json = serde_json::json!({
            "error": self.to_string(),
            "exit_code": self.exit_code(),
        });
        match self {
            Self::Faults(faults) | Self::Publish(PublishError::Faulty(faults)) => {
                json["faults"] = serde_json::to_value(faults).unwrap_or_default();
            }
            Self::Publish(PublishError::Conflict {
                expected,
                now,
                changes,
            }) => {
                json["expected"] = expected.0.into();
                json["now"] = now.0.into();
                json["changes"] = serde_json::to_value(changes).unwrap_or_default();
            }
            Self::Publish(PublishError::Unknown { id, .. }) => {
                json["write_id"] = id.to_string().into();
            }
            _ => (),
        }
        json
    }
}

struct Names<'a>(&'a [ZoneName]);

impl std::fmt::Display for Names<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, name) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { ", " };
            write!(f, "{separator}{name}")?;
        }
        Ok(())
    }
}

/// What all commands use.
struct Context<'a> {
    output: Output,
    store: Option<SocketAddr>,
    printer: Printer<'a>,
}

impl Context<'_> {
    /// Returns a client of the store and its address.
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
        Command::Status(args) => state::status(&mut cx, &args).await,
        Command::Explain(ExplainArguments { source, question }) => {
            match (source.host, source.logs) {
                (Some(host), _) => state::explain(&mut cx, host, &question).await,
                (None, Some(folder)) => logs::explain(&mut cx, &folder, &question),
                (None, None) => Err(CommandError::NoSource),
            }
        }
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut command, "cardamomroad", &mut script);
            cx.printer.raw(&script)
        }
    }
}
