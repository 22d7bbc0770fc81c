//! The program of the upstream stand-in.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::Arc, //
};

use cardamomroad_standins::{
    error::StandinError,
    process,
    upstream::{
        Options,
        Upstream,
        serve,
        serve_control, //
    },
};
use clap::Parser;

/// Serves requests like an upstream until SIGTERM, then finishes those that run.
#[derive(Debug, Parser)]
struct Cli {
    /// Address to listen on; port 0 picks one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address for control calls; port 0 picks one.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
    /// Name that is written into receipts.
    #[arg(long, default_value = "upstream")]
    name: String,
    /// Maximum number of requests that run concurrently.
    #[arg(long, default_value_t = 4)]
    slots: u32,
    /// Maximum number of requests that wait for a slot; further ones are shed.
    #[arg(long, default_value_t = 0)]
    queue: u32,
    /// Maximum number of open connections.
    #[arg(long, default_value_t = 400)]
    connections: u32,
    /// Delay added to each accepted connection.
    #[arg(long, default_value = "1ms")]
    connect_cost: humantime::Duration,
    /// How long after the start the upstream is cold.
    #[arg(long, default_value = "0s")]
    cold: humantime::Duration,
    /// Extra time per request right after the start; it falls to zero over the cold time.
    #[arg(long, default_value = "0s")]
    cold_extra: humantime::Duration,
    /// Number of most recent requests that the log keeps in memory.
    #[arg(long, default_value_t = 100_000)]
    log_entries: usize,
    /// File to append the log to.
    #[arg(long)]
    log: Option<PathBuf>,
}

impl Cli {
    fn options(&self) -> Options {
        Options {
            name: self.name.clone(),
            slots: self.slots,
            queue: self.queue,
            connections: self.connections,
            connect_cost: self.connect_cost.into(),
            cold: self.cold.into(),
            cold_extra: self.cold_extra.into(),
            log_entries: self.log_entries,
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    match run(&Cli::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(cli: &Cli) -> Result<(), StandinError> {
    let upstream = match &cli.log {
        Some(path) => Upstream::with_log_file(cli.options(), path)?,
        None => Upstream::new(cli.options()),
    };
    let listener = process::bind(cli.listen).await?;
    let control = process::bind(cli.control).await?;
    let address = process::local_address(&listener)?;
    let control_address = process::local_address(&control)?;
    println!("ready address={address} control={control_address}");
    tokio::spawn(serve(listener, Arc::clone(&upstream)));
    tokio::spawn(serve_control(control, Arc::clone(&upstream)));
    process::stop_signal().await?;
    upstream.stop().await;
    Ok(())
}
