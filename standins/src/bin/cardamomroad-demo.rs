//! Brings a small deployment up on loopback and shows what it does.

use std::process::ExitCode;

use cardamomroad_standins::{
    demo::Demo,
    error::StandinError, //
};
use clap::Parser;

/// Brings a small deployment up on loopback, sends real traffic through it and
/// prints what happened; fails if something promised was not seen.
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
