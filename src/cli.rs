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

/// Entry host of a fleet that steers traffic.
///
/// Answers look-ups, checks keys, holds organisations to their rates and links
/// to their caps, and forwards requests. It prints `ready` with its addresses
/// when it can be used. SIGTERM stops it without cutting a request.
#[derive(Clone, Debug, Default, Parser)]
#[command(name = "cardamomroad-entry", version)]
pub struct EntryArguments {
    /// Host name, unique in the fleet.
    #[arg(long, env = "CARDAMOMROAD_NAME")]
    pub name: Option<String>,
    /// Availability zone of this host.
    #[arg(long, env = "CARDAMOMROAD_ZONE")]
    pub zone: Option<String>,
    /// Address for callers; port 0 picks one.
    #[arg(long, env = "CARDAMOMROAD_CALLERS", value_name = "IP:PORT")]
    pub callers: Option<String>,
    /// Address for other entry hosts.
    #[arg(long, env = "CARDAMOMROAD_PEERS", value_name = "IP:PORT")]
    pub peers: Option<String>,
    /// Address for metrics, status and explain.
    #[arg(long, env = "CARDAMOMROAD_OPERATORS", value_name = "IP:PORT")]
    pub operators: Option<String>,
    /// Address of the platform's object API.
    #[arg(long, env = "CARDAMOMROAD_STORE", value_name = "IP:PORT")]
    pub store: Option<String>,
    /// Secret that entry hosts show one another, at least 16 bytes; better
    /// given by the environment.
    #[arg(
        long,
        env = "CARDAMOMROAD_FLEET_SECRET",
        hide_env_values = true,
        value_name = "TEXT"
    )]
    pub fleet_secret: Option<String>,
    /// Peer addresses to ask when the store does not answer, comma separated.
    #[arg(long, env = "CARDAMOMROAD_SEEDS", value_name = "IP:PORT,..")]
    pub seeds: Option<String>,
    /// Address of an OTLP collector that spans are sent to; none by default.
    #[arg(long, env = "CARDAMOMROAD_COLLECTOR", value_name = "URL")]
    pub collector: Option<String>,
}

/// Steers traffic of services that run in several regions: checks, publishes
/// and shows the configuration, and explains what the entry hosts decided.
///
/// Exit codes: 0 done, 1 the check or the call failed, 2 wrong arguments,
/// 3 conflict with another operator, 4 outcome unknown.
#[derive(Clone, Debug, Parser)]
#[command(name = "cardamomroad", version, after_help = EXAMPLES)]
pub struct Arguments {
    /// Form of what is printed.
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
    /// What to do.
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
    /// Text for people.
    #[default]
    Text,
    /// JSON for programs.
    Json,
}

/// The subcommands of `cardamomroad`.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Checks a configuration set as a whole and reports all faults at once.
    ///
    /// Example: cardamomroad check examples/skyglass
    Check(CheckArguments),
    /// Shows what changes from the set in force, or from another set of files.
    ///
    /// Example: cardamomroad diff new/ --from old/
    Diff(DiffArguments),
    /// Checks a set and publishes it as the next generation.
    ///
    /// Example: cardamomroad apply examples/skyglass --expect 7
    Apply(ApplyArguments),
    /// Prints the set in force, or an earlier one, as TOML.
    ///
    /// Example: cardamomroad get --generation 6 > before.toml
    Get(GetArguments),
    /// Plans and ends drains, as a change of the set in force.
    #[command(subcommand)]
    Drain(DrainCommand),
    /// Makes and withdraws keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Shows the generation in force and the hosts, or the state of one host.
    ///
    /// Example: cardamomroad status --host 127.0.0.1:8003
    Status(StatusArguments),
    /// Tells what a host decided, from which measurement, how old it was and by
    /// which generation.
    ///
    /// Examples: cardamomroad explain --host 127.0.0.1:8003 --refusals
    /// and cardamomroad explain --logs logs/ b18e4396a5db0d80
    Explain(ExplainArguments),
    /// Prints the completion script of a shell.
    ///
    /// Example: cardamomroad completions bash > cardamomroad.bash
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// The arguments of `check`.
#[derive(Clone, Debug, Args)]
pub struct CheckArguments {
    /// TOML file, or folder of them.
    pub path: PathBuf,
    /// Also demands that the platform lists an entry host in every zone.
    #[arg(long)]
    pub hosts: bool,
}

/// The arguments of `diff`.
#[derive(Clone, Debug, Args)]
pub struct DiffArguments {
    /// TOML file, or folder of them, with the new set.
    pub path: PathBuf,
    /// TOML file, or folder of them, to compare with in place of the set in force.
    #[arg(long, value_name = "PATH")]
    pub from: Option<PathBuf>,
}

/// The arguments of `apply`.
#[derive(Clone, Debug, Args)]
pub struct ApplyArguments {
    /// TOML file, or folder of them.
    pub path: PathBuf,
    /// Publishes only on top of this generation.
    #[arg(long, value_name = "GENERATION")]
    pub expect: Option<Generation>,
    /// Repeats a write whose outcome was unknown; it is published at most once.
    #[arg(long, value_name = "ID")]
    pub write_id: Option<WriteId>,
}

/// The arguments of `get`.
#[derive(Clone, Debug, Args)]
pub struct GetArguments {
    /// An earlier generation, of the last 64.
    #[arg(long)]
    pub generation: Option<Generation>,
}

/// The subcommands of `drain`.
#[derive(Clone, Debug, Subcommand)]
pub enum DrainCommand {
    /// Plans a drain.
    ///
    /// Example: cardamomroad drain add bac-a-works --zone bac-a --within 10m
    Add(DrainAddArguments),
    /// Ends a drain.
    ///
    /// Example: cardamomroad drain remove bac-a-works
    Remove {
        /// The drain's name.
        name: ObjectName,
    },
    /// Prints the drains in force.
    List,
}

/// The arguments of `drain add`.
#[derive(Clone, Debug, Args)]
pub struct DrainAddArguments {
    /// The drain's name.
    pub name: ObjectName,
    /// Target of the drain.
    #[command(flatten)]
    pub target: DrainTargetArguments,
    /// How long after it is in force the target has to be empty.
    #[arg(long, value_parser = humantime::parse_duration, value_name = "DURATION")]
    pub within: Duration,
}

/// Target of a drain; exactly one is given.
#[derive(Clone, Debug, Args)]
#[group(required = true, multiple = false)]
pub struct DrainTargetArguments {
    /// All upstreams and entry hosts of a zone.
    #[arg(long)]
    pub zone: Option<ZoneName>,
    /// One pool.
    #[arg(long)]
    pub pool: Option<ObjectName>,
    /// One upstream.
    #[arg(long, value_name = "IP:PORT")]
    pub upstream: Option<SocketAddr>,
    /// One entry host.
    #[arg(long)]
    pub host: Option<HostName>,
}

/// The subcommands of `key`.
#[derive(Clone, Debug, Subcommand)]
pub enum KeyCommand {
    /// Makes a key and prints it once, with the object to add to the set.
    ///
    /// Example: cardamomroad key new hue-stations-2 hue-stations
    New {
        /// The key's name.
        name: ObjectName,
        /// The organisation that it is for.
        organisation: OrganisationName,
    },
    /// Withdraws a key for good, within seconds and ahead of any generation.
    ///
    /// Example: cardamomroad key withdraw --name hue-stations-1
    Withdraw(WithdrawArguments),
    /// Prints the digests of withdrawn keys.
    Withdrawn,
}

/// The arguments of `key withdraw`.
#[derive(Clone, Debug, Args)]
#[group(required = true, multiple = false)]
pub struct WithdrawArguments {
    /// The key's name in the set in force.
    #[arg(long)]
    pub name: Option<ObjectName>,
    /// The key's SHA-256 digest.
    #[arg(long)]
    pub digest: Option<KeyDigest>,
}

/// The arguments of `status`.
#[derive(Clone, Debug, Args)]
pub struct StatusArguments {
    /// An entry host's operators' address.
    #[arg(long, value_name = "IP:PORT")]
    pub host: Option<SocketAddr>,
}

/// The arguments of `explain`.
#[derive(Clone, Debug, Args)]
pub struct ExplainArguments {
    /// Where the records come from.
    #[command(flatten)]
    pub source: ExplainSource,
    /// Which records to print.
    #[command(flatten)]
    pub question: Question,
}

/// Source of the records; exactly one is given.
#[derive(Clone, Debug, Args)]
#[group(required = true, multiple = false)]
pub struct ExplainSource {
    /// An entry host's operators' address.
    #[arg(long, value_name = "IP:PORT")]
    pub host: Option<SocketAddr>,
    /// A folder with the hosts' logs, one file a host, named as the host.
    #[arg(long, value_name = "DIR")]
    pub logs: Option<PathBuf>,
}

/// Selection of the records; exactly one is given.
#[derive(Clone, Debug, Args)]
#[group(required = true, multiple = false)]
pub struct Question {
    /// Where a request went, and why; of a host.
    #[arg(long, value_name = "ID", requires = "host")]
    pub request: Option<RequestId>,
    /// The latest refusals, and how many there were for each reason; of a host.
    #[arg(long, requires = "host")]
    pub refusals: bool,
    /// The latest steps of the planner; of a host.
    #[arg(long, requires = "host")]
    pub plan: bool,
    /// A request's id: its lines and what its host believed then; of logs.
    #[arg(value_name = "ID", requires = "logs")]
    pub id: Option<String>,
    /// All that changed in what the hosts believe; of logs.
    #[arg(long, requires = "logs")]
    pub beliefs: bool,
}
