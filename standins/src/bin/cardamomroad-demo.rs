//! Runs the demonstration: a small deployment on loopback with real traffic.

use std::process::ExitCode;

use cardamomroad_standins::{
    demo::Demo,
    error::StandinError, //
};
use clap::Parser;

/// Starts a small deployment on loopback, sends real traffic through it and
/// prints the results; fails if an expected result is missing.
#[derive(Debug, Parser)]
struct Cli {}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    Cli::parse();
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), StandinError> {
    Demo::start().await?.run().await
}
