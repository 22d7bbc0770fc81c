//! The program of the object store stand-in.

use std::{
    net::SocketAddr,
    process::ExitCode, //
};

use cardamomroad_standins::{
    error::StandinError,
    process,
    store::{
        Store,
        serve, //
    },
};
use clap::Parser;

/// Serves the platform's object API until SIGTERM.
#[derive(Debug, Parser)]
struct Cli {
    /// Address to listen on; port 0 picks one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&Cli::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(cli: &Cli) -> Result<(), StandinError> {
    let listener = process::bind(cli.listen).await?;
    println!("ready address={}", process::local_address(&listener)?);
    tokio::select! {
        () = serve(listener, Store::shared()) => {}
        stopped = process::stop_signal() => stopped?,
    }
    Ok(())
}
