//! The daemon that runs on every entry host.

use cardamomroad::{
    cli::EntryArguments,
    entry,
    options::EntryOptions, //
};
use clap::Parser;
use eyre::Result;

fn main() -> Result<()> {
    run()
}

fn run() -> Result<()> {
    let args = EntryArguments::parse();
    let cfg = EntryOptions::new(&args)?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(entry::run(cfg))?;
    Ok(())
}
