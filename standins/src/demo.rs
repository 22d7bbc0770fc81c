//! The demonstration: a small deployment on loopback, real traffic, and what
//! was seen. It fails if anything that it promises to show was not seen.

mod changes;
mod losses;
mod requests;

use std::{
    fmt::Display,
    sync::Arc, //
};

use tokio::task::JoinSet;

use crate::{
    caller::{
        Ask,
        Caller,
        Reply, //
    },
    error::StandinError,
    fleet::{
        Fleet,
        FleetBuilder,
        demonstration_key,
        example,
        limit,
        narrow, //
    },
};

/// The example that the demonstration runs.
const EXAMPLE: &str = "thanh-clockworks";
/// The zones that it keeps.
const ZONES: [&str; 3] = ["bac-a", "bac-b", "trung-a"];
/// The entry hosts in each zone.
const HOSTS_PER_ZONE: usize = 2;
/// The organisation that sends most traffic, and its rate and burst here.
const LARGE: &str = "hanoi-stations";
const LARGE_RATE: u64 = 3000;
const LARGE_BURST: u32 = 1200;
/// The requests of `LARGE` that every host can start before the traffic begins.
const LARGE_READY: u64 = 20;
/// The service that only one zone provides here.
const REMOTE_SERVICE: &str = "workbench";
/// The zone that provides it.
const REMOTE_ZONE: &str = "trung-a";

/// A deployment that is shown.
pub struct Demo {
    fleet: Fleet,
}

impl Demo {
    /// Brings the deployment up.
    pub async fn start() -> Result<Self, StandinError> {
        let mut set = example(EXAMPLE)?;
        narrow(&mut set, &ZONES, 1);
        let elsewhere = |zone: &str| zone != REMOTE_ZONE;
        set.pools.retain(|p| {
            p.service.as_str() != REMOTE_SERVICE || !elsewhere(p.zone.as_str()) //
        });
        for o in set.organisations.clone() {
            if o.name.as_str() == LARGE {
                limit(&mut set, &o.name, LARGE_RATE, LARGE_BURST);
            }
        }
        let builder = FleetBuilder::new(set).with_hosts_per_zone(HOSTS_PER_ZONE);
        let builder = builder.with_upstream_args(&["--queue", "64"]);
        let fleet = builder.start().await?;
        fleet.wait_for_budget(LARGE, LARGE_READY).await?;
        Ok(Self { fleet })
    }

    /// Shows everything in turn.
    pub async fn run(&mut self) -> Result<(), StandinError> {
        self.print_deployment();
        self.show_lookup().await?;
        let id = self.show_served().await?;
        self.show_explanation(&id).await?;
        self.show_forwarded().await?;
        self.show_refusal().await?;
        self.show_rate().await?;
        self.show_key_withdrawal().await?;
        self.show_drain().await?;
        self.show_graceful_stop().await?;
        self.show_kill().await?;
        println!("\nall of it was seen");
        Ok(())
    }

    fn print_deployment(&self) {
        heading("deployment");
        say(format!("store {}", self.fleet.store().address()));
        for host in self.fleet.hosts() {
            say(format!(
                "entry host {} zone={} callers={} operators={} pid={}",
                host.name(),
                host.zone(),
                host.callers(),
                host.operators(),
                host.pid()
            ));
        }
        for upstream in self.fleet.upstreams() {
            say(format!(
                "upstream {} service={} zone={} address={}",
                upstream.name(),
                upstream.service(),
                upstream.zone(),
                upstream.address()
            ));
        }
    }

    /// Returns a caller of an organisation.
    fn caller(&self, organisation: &str, service: &str) -> Caller {
        let options = self.fleet.caller(organisation, service);
        Caller::new(options.with_key(&demonstration_key(organisation)))
    }
}

/// Sends the same request many times, so many at once, and returns all replies.
async fn load(
    caller: &Arc<Caller>,
    ask: &Ask,
    senders: u32,
    each: u32,
) -> Result<Vec<Reply>, StandinError> {
    let mut running = JoinSet::new();
    for _ in 0..senders {
        let caller = Arc::clone(caller);
        let ask = ask.clone();
        running.spawn(async move {
            let mut replies = Vec::new();
            for _ in 0..each {
                replies.push(caller.send(&ask).await?);
            }
            Ok::<_, StandinError>(replies)
        });
    }
    let mut replies = Vec::new();
    while let Some(ended) = running.join_next().await {
        let ended = ended.map_err(|e| StandinError::Call {
            target: "a sender".to_owned(),
            cause: e.to_string(),
        })?;
        replies.extend(ended?);
    }
    Ok(replies)
}

fn heading(text: &str) {
    println!("\n== {text}");
}

fn say(line: impl Display) {
    println!("   {line}");
}

/// Fails the demonstration where something was not seen.
fn expect(seen: bool, what: &str, found: impl Display) -> Result<(), StandinError> {
    if seen {
        return Ok(());
    }
    Err(StandinError::NotSeen {
        what: what.to_owned(),
        found: found.to_string(),
    })
}
