//! The arguments of the programs, as they are typed.

use clap::Parser;

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
