//! The load benchmark of one gateway.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use cardamomroad_standins::{
    bench::{
        Extent,
        report,
        run, //
    },
    error::StandinError,
};
use clap::Parser;

/// Measures what a gateway adds to a direct call of an upstream, and the
/// look-ups of one host; build it in release mode.
#[derive(Debug, Parser)]
struct Cli {
    /// Most requests of one measurement.
    #[arg(long, default_value_t = 50_000)]
    requests: u64,
    /// Longest time of one measurement.
    #[arg(long, default_value = "5s")]
    time: humantime::Duration,
    /// Connections of the measurements under load.
    #[arg(long, default_value_t = 16)]
    connections: usize,
    /// File for the results as CSV.
    #[arg(long)]
    csv: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    match measure(&Cli::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(cli: &Cli) -> Result<(), StandinError> {
    let extent = Extent {
        requests: cli.requests,
        time: cli.time.into(),
        connections: cli.connections,
    };
    report(&run(extent).await?, cli.csv.as_deref())
}
