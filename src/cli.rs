//! Command-line arguments of the programs, before validation.
//!
//! Doc comments on these items are the help texts.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

use clap::{
    Args,
    Parser,
    Subcommand,
    ValueEnum, //
};
use clap_complete::Shell;

use crate::{
    publish::head::WriteId,
    util::id::{
        Generation,
        HostName,
        KeyDigest,
        ObjectName,
        OrganisationName,
        RequestId,
        ZoneName, //
    },
};

/// Run an entry host, which routes callers' requests to upstreams.
///
/// Answers look-ups, checks API keys, enforces the organisations' rate limits
/// and the links' bandwidth caps, and forwards requests. Prints `ready` with its
/// addresses once it listens. On SIGTERM or SIGINT, finishes running requests
/// and exits.
#[derive(Clone, Debug, Default, Parser)]
#[command(name = "cardamomroad-entry", version)]
pub struct EntryArguments {
    /// Host name, unique in the fleet.
    #[arg(long, env = "CARDAMOMROAD_NAME")]
    pub name: Option<String>,
    /// Availability zone of this host.
    #[arg(long, env = "CARDAMOMROAD_ZONE")]
    pub zone: Option<String>,
    /// Listening address for callers; port 0 picks a free port.
    #[arg(long, env = "CARDAMOMROAD_CALLERS", value_name = "IP:PORT")]
    pub callers: Option<String>,
    /// Listening address for other entry hosts; port 0 picks a free port.
    #[arg(long, env = "CARDAMOMROAD_PEERS", value_name = "IP:PORT")]
    pub peers: Option<String>,
    /// Listening address for operators (metrics, readiness, status, explain);
    /// port 0 picks a free port.
    #[arg(long, env = "CARDAMOMROAD_OPERATORS", value_name = "IP:PORT")]
    pub operators: Option<String>,
    /// Address of the platform's object API.
    #[arg(long, env = "CARDAMOMROAD_STORE", value_name = "IP:PORT")]
    pub store: Option<String>,
    /// Shared secret of the fleet's entry hosts, at least 16 bytes; prefer the
    /// environment variable to the flag.
    #[arg(
        long,
        env = "CARDAMOMROAD_FLEET_SECRET",
        hide_env_values = true,
        value_name = "TEXT"
    )]
    pub fleet_secret: Option<String>,
    /// Comma-separated peer addresses to contact at startup, so that the host
    /// can join while the store is unavailable.
    #[arg(long, env = "CARDAMOMROAD_SEEDS", value_name = "IP:PORT,..")]
    pub seeds: Option<String>,
    /// HTTP URL of the OTLP collector to export spans to; not exported if absent.
    #[arg(long, env = "CARDAMOMROAD_COLLECTOR", value_name = "URL")]
    pub collector: Option<String>,
}

/// Manage the configuration of a fleet of entry hosts and explain their
/// decisions.
///
/// Exit codes: 0 success, 1 failed check or call, 2 invalid arguments,
/// 3 conflict with another change, 4 unknown outcome of a write.
#[derive(Clone, Debug, Parser)]
#[command(name = "cardamomroad", version, after_help = EXAMPLES)]
pub struct Arguments {
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output: Output,
    /// Address of the platform's object API.
    #[arg(
        long,
        global = true,
        env = "CARDAMOMROAD_STORE",
        value_name = "IP:PORT"
    )]
    pub store: Option<SocketAddr>,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

const EXAMPLES: &str = "\
Examples:
  cardamomroad check examples/skyglass
  cardamomroad diff examples/skyglass
  cardamomroad apply examples/skyglass --expect 7
  cardamomroad drain add bac-a-works --zone bac-a --within 10m
  cardamomroad key new hue-stations-2 hue-stations
  cardamomroad explain --host 127.0.0.1:8003 --request bac-a-1/1718/42/9f3c";

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Human-readable text.
    #[default]
    Text,
    /// Machine-readable JSON.
    Json,
}

/// The subcommands of `cardamomroad`.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Validate a configuration set and report all faults at once.
    ///
    /// Example: cardamomroad check examples/skyglass
    Check(CheckArguments),
    /// Show the changes from the set in force, or from another set, to a new set.
    ///
    /// Example: cardamomroad diff new/ --from old/
    Diff(DiffArguments),
    /// Validate a set and publish it as the next generation.
    ///
    /// Example: cardamomroad apply examples/skyglass --expect 7
    Apply(ApplyArguments),
    /// Print the set in force, or an earlier generation, as TOML.
    ///
    /// Example: cardamomroad get --generation 6 > before.toml
    Get(GetArguments),
    /// Add, remove or list drains in the set in force.
    #[command(subcommand)]
    Drain(DrainCommand),
    /// Create or withdraw API keys, or list withdrawn ones.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Show the generation in force and the listed hosts, or the status of one host.
    ///
    /// Example: cardamomroad status --host 127.0.0.1:8003
    Status(StatusArguments),
    /// Show the decisions of hosts, with the measurements, their age and the
    /// generation that each was based on.
    ///
    /// Examples: cardamomroad explain --host 127.0.0.1:8003 --refusals
    /// and cardamomroad explain --logs logs/ b18e4396a5db0d80
    Explain(ExplainArguments),
    /// Ask a running host what it would do with a request now, and why. Nothing is
    /// sent to an upstream, and nothing is reserved or counted.
    ///
    /// Example: cardamomroad explain-ahead 10.0.0.8:7560 --host desk.example
    /// --path /book/1 --object 7
    ExplainAhead(ExplainAheadArguments),
    /// Print a shell completion script.
    ///
    /// Example: cardamomroad completions bash > cardamomroad.bash
    Completions {
        /// Shell to generate the script for.
        shell: Shell,
    },
}

/// The arguments of `check`.
#[derive(Clone, Debug, Args)]
pub struct CheckArguments {
    /// TOML file, or folder of TOML files, with the set.
    pub path: PathBuf,
    /// Also check that the platform lists a live entry host in every zone.
    #[arg(long)]
    pub hosts: bool,
}

/// The arguments of `diff`.
#[derive(Clone, Debug, Args)]
pub struct DiffArguments {
    /// TOML file, or folder of TOML files, with the new set.
    pub path: PathBuf,
    /// TOML file, or folder of TOML files, to compare with instead of the set in force.
    #[arg(long, value_name = "PATH")]
    pub from: Option<PathBuf>,
}

/// The arguments of `apply`.
#[derive(Clone, Debug, Args)]
pub struct ApplyArguments {
    /// TOML file, or folder of TOML files, with the set.
    pub path: PathBuf,
    /// Publish only if this generation is in force.
    #[arg(long, value_name = "GENERATION")]
    pub expect: Option<Generation>,
    /// Id of an earlier write with unknown outcome, to retry it; it is published
    /// at most once.
    #[arg(long, value_name = "ID")]
    pub write_id: Option<WriteId>,
}

/// The arguments of `get`.
#[derive(Clone, Debug, Args)]
pub struct GetArguments {
    /// Generation to print, one of the last 64; the one in force if absent.
    #[arg(long)]
    pub generation: Option<Generation>,
}

/// The subcommands of `drain`.
#[derive(Clone, Debug, Subcommand)]
pub enum DrainCommand {
    /// Add a drain and publish the set.
    ///
    /// Example: cardamomroad drain add bac-a-works --zone bac-a --within 10m
    Add(DrainAddArguments),
    /// Remove a drain and publish the set.
    ///
    /// Example: cardamomroad drain remove bac-a-works
    Remove {
        /// Name of the drain.
        name: ObjectName,
    },
    /// List the drains in force.
    List,
}

/// The arguments of `drain add`.
#[derive(Clone, Debug, Args)]
pub struct DrainAddArguments {
    /// Name of the drain, unique in the set.
    pub name: ObjectName,
    /// Target of the drain.
    #[command(flatten)]
    pub target: DrainTargetArguments,
    /// Time until the target must be empty, counted from when the drain takes
    /// effect, for example 10m.
    #[arg(long, value_parser = humantime::parse_duration, value_name = "DURATION")]
    pub within: Duration,
}

/// Target of a drain; exactly one is given.
#[derive(Clone, Debug, Args)]
#[group(required = true, multiple = false)]
pub struct DrainTargetArguments {
    /// Drain all upstreams and entry hosts of this zone.
    #[arg(long)]
    pub zone: Option<ZoneName>,
    /// Drain this pool.
    #[arg(long)]
    pub pool: Option<ObjectName>,
    /// Drain the upstream at this address.
    #[arg(long, value_name = "IP:PORT")]
    pub upstream: Option<SocketAddr>,
    /// Drain this entry host.
    #[arg(long)]
    pub host: Option<HostName>,
}

/// The subcommands of `key`.
#[derive(Clone, Debug, Subcommand)]
pub enum KeyCommand {
    /// Create a key and print it once, with the object to add to the set.
    ///
    /// Example: cardamomroad key new hue-stations-2 hue-stations
    New {
        /// Name of the key.
        name: ObjectName,
        /// Organisation that the key belongs to.
        organisation: OrganisationName,
    },
    /// Withdraw a key permanently; takes effect within seconds, without a new
    /// generation.
    ///
    /// Example: cardamomroad key withdraw --name hue-stations-1
    Withdraw(WithdrawArguments),
    /// List the digests of withdrawn keys.
    Withdrawn,
}

/// The arguments of `key withdraw`.
#[derive(Clone, Debug, Args)]
#[group(required = true, multiple = false)]
pub struct WithdrawArguments {
    /// Name of the key in the set in force.
    #[arg(long)]
    pub name: Option<ObjectName>,
    /// SHA-256 digest of the key.
    #[arg(long)]
    pub digest: Option<KeyDigest>,
}

/// The arguments of `status`.
#[derive(Clone, Debug, Args)]
pub struct StatusArguments {
    /// Operators' address of an entry host.
    #[arg(long, value_name = "IP:PORT")]
    pub host: Option<SocketAddr>,
}

/// The arguments of `explain`.
#[derive(Clone, Debug, Args)]
pub struct ExplainArguments {
    /// Source of the records.
    #[command(flatten)]
    pub source: ExplainSource,
    /// Records to print.
    #[command(flatten)]
    pub question: Question,
}

/// The arguments of `explain-ahead`, which describe a request.
#[derive(Clone, Args)]
pub struct ExplainAheadArguments {
    /// Peer address of the running host.
    #[arg(value_name = "IP:PORT")]
    pub address: SocketAddr,
    /// Host name of the request.
    #[arg(long)]
    pub host: String,
    /// Path of the request.
    #[arg(long)]
    pub path: String,
    /// Method of the request.
    #[arg(long, default_value = "GET")]
    pub method: String,
    /// API key of the caller; prefer the environment variable to the flag.
    #[arg(long, env = "CARDAMOMROAD_KEY", hide_env_values = true)]
    pub key: Option<String>,
    /// Object of the request (affinity key).
    #[arg(long)]
    pub object: Option<String>,
    /// Region to which the request is restricted.
    #[arg(long)]
    pub region: Option<String>,
    /// Id of the request, which selects the upstream if it has no object.
    #[arg(long)]
    pub id: Option<String>,
    /// Length of the body.
    #[arg(long, default_value_t)]
    pub bytes: u64,
}

impl std::fmt::Debug for ExplainAheadArguments {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ExplainAheadArguments")
            .field("address", &self.address)
            .field("host", &self.host)
            .field("path", &self.path)
            .finish_non_exhaustive()
    }
}

/// Source of the records; exactly one is given.
#[derive(Clone, Debug, Args)]
#[group(required = true, multiple = false)]
pub struct ExplainSource {
    /// Operators' address of an entry host.
    #[arg(long, value_name = "IP:PORT")]
    pub host: Option<SocketAddr>,
    /// Folder of logs, with one file per host, named after the host.
    #[arg(long, value_name = "DIR")]
    pub logs: Option<PathBuf>,
}

/// Selection of the records; exactly one is given.
#[derive(Clone, Debug, Args)]
#[group(required = true, multiple = false)]
pub struct Question {
    /// Show the recorded decisions on this request (with --host).
    #[arg(long, value_name = "ID", requires = "host")]
    pub request: Option<RequestId>,
    /// Show the latest refusals and their count by reason (with --host).
    #[arg(long, requires = "host")]
    pub refusals: bool,
    /// Show the planner's latest decisions (with --host).
    #[arg(long, requires = "host")]
    pub plan: bool,
    /// Id of the request whose log lines and related state changes to show (with
    /// --logs).
    #[arg(value_name = "ID", requires = "logs")]
    pub id: Option<String>,
    /// Show all logged state changes of the hosts (with --logs).
    #[arg(long, requires = "logs")]
    pub beliefs: bool,
}
