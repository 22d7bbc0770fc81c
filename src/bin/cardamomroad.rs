//! The operators' command line.

use std::{
    io::{
        self,
        Write, //
    },
    process::ExitCode,
};

use cardamomroad::{
    cli::{
        Arguments,
        Output, //
    },
    command::{
        self,
        CommandError, //
    },
};
use clap::Parser;

/// Exit code of errors other than `CommandError`.
const FAILED: u8 = 1;

fn main() -> ExitCode {
    let args = Arguments::parse();
    let output = args.output;
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(output, &e),
    }
}

fn run(args: Arguments) -> eyre::Result<()> {
    env_logger::init_from_env(env_logger::Env::default().default_filter_or("warn"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut out = io::stdout().lock();
    runtime.block_on(command::run(args, &mut out))?;
    out.flush()?;
    Ok(())
}

fn fail(output: Output, e: &eyre::Report) -> ExitCode {
    let error = e.downcast_ref::<CommandError>();
    match (output, error) {
        (Output::Json, Some(error)) => eprintln!("{}", error.to_json()),
        _ => eprintln!("error: {e:#}"),
    }
    ExitCode::from(error.map_or(FAILED, CommandError::exit_code))
}
