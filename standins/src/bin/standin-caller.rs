//! The program of the caller stand-in.

use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    time::Duration, //
};

use cardamomroad_standins::{
    caller::{
        Ask,
        Caller,
        Options,
        Upload, //
    },
    error::StandinError,
};
use clap::Parser;
use hyper::Method;
use tokio::{
    task::JoinSet,
    time::sleep, //
};

/// Looks a service up, sends requests and prints statistics of their outcomes.
#[derive(Debug, Parser)]
struct Cli {
    /// Address of an entry host for callers; may be given more than once.
    #[arg(long, required = true)]
    entry: Vec<SocketAddr>,
    /// Service to look up.
    #[arg(long)]
    service: String,
    /// Path and query of the requests.
    #[arg(long)]
    path: String,
    /// Method of the requests.
    #[arg(long, default_value = "GET")]
    method: Method,
    /// The requests must not run twice; they carry request ids.
    #[arg(long)]
    once: bool,
    /// Key to present.
    #[arg(long)]
    key: Option<String>,
    /// Name, the start of tokens and nonces.
    #[arg(long, default_value = "caller")]
    name: String,
    /// Requests in all.
    #[arg(long, default_value_t = 1)]
    count: u32,
    /// Requests at once.
    #[arg(long, default_value_t = 1)]
    parallel: u32,
    /// Pause of each sender between two requests.
    #[arg(long, default_value = "0s")]
    pause: humantime::Duration,
    /// Body bytes to upload with each request.
    #[arg(long, default_value_t = 0)]
    upload: u64,
    /// How long to use a look-up answer past its time to live.
    #[arg(long, default_value = "0s")]
    overstay: humantime::Duration,
}

impl Cli {
    fn options(&self) -> Options {
        let options = Options::new(&self.name, &self.service, &self.entry);
        let mut options = options.with_overstay(self.overstay.into());
        options.key.clone_from(&self.key);
        options
    }

    fn ask(&self) -> Ask {
        let ask = Ask::new(self.method.clone(), &self.path, !self.once);
        ask.with_upload(Upload::new(self.upload))
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
    let caller = Arc::new(Caller::new(cli.options()));
    let senders = cli.parallel.max(1);
    let mut running = JoinSet::new();
    for i in 0..senders {
        let count = cli.count / senders + u32::from(i < cli.count % senders);
        let pause = cli.pause.into();
        running.spawn(send_all(Arc::clone(&caller), cli.ask(), count, pause));
    }
    while let Some(ended) = running.join_next().await {
        if let Ok(result) = ended {
            result?;
        }
    }
    println!("{}", caller.tally());
    Ok(())
}

async fn send_all(
    caller: Arc<Caller>,
    ask: Ask,
    count: u32,
    pause: Duration,
) -> Result<(), StandinError> {
    for _ in 0..count {
        let reply = caller.send(&ask).await?;
        log::info!("event=reply {reply}");
        sleep(pause).await;
    }
    Ok(())
}
