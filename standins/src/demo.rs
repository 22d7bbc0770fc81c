//! The demonstration: starts a small deployment on loopback, sends real traffic
//! through it and prints the results. It fails if an expected result is missing.

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

/// The example configuration that the demonstration uses.
const EXAMPLE: &str = "thanh-clockworks";
/// The zones of the example that are deployed.
const ZONES: [&str; 3] = ["bac-a", "bac-b", "trung-a"];
/// The number of entry hosts in each zone.
const HOSTS_PER_ZONE: usize = 2;
/// The organisation that sends most of the traffic.
const LARGE_ORGANISATION: &str = "hanoi-stations";
/// The rate limit of this organisation, in requests per second.
const LARGE_RATE_PER_SECOND: u64 = 3000;
/// The burst limit of this organisation, in requests.
const LARGE_BURST: u32 = 1200;
/// The requests of this organisation that every host must have the budget for
/// before the demonstration begins.
const LARGE_READY_REQUESTS: u64 = 20;
/// The service that only `REMOTE_ZONE` provides, so that other zones must forward to it.
const REMOTE_SERVICE: &str = "workbench";
/// The only zone that provides `REMOTE_SERVICE`.
const REMOTE_ZONE: &str = "trung-a";

/// A running deployment and the steps that demonstrate it.
pub struct Demo {
    fleet: Fleet,
}

impl Demo {
    /// Starts the deployment.
    pub async fn start() -> Result<Self, StandinError> {
        let mut set = example(EXAMPLE)?;
        narrow(&mut set, &ZONES, 1);
        let outside_remote_zone = |zone: &str| zone != REMOTE_ZONE;
        set.pools.retain(|p| {
            p.service.as_str() != REMOTE_SERVICE || !outside_remote_zone(p.zone.as_str()) //
        });
        for o in set.organisations.clone() {
            if o.name.as_str() == LARGE_ORGANISATION {
                limit(&mut set, &o.name, LARGE_RATE_PER_SECOND, LARGE_BURST);
            }
        }
        let builder = FleetBuilder::new(set).with_hosts_per_zone(HOSTS_PER_ZONE);
        let builder = builder.with_upstream_args(&["--queue", "64"]);
        let fleet = builder.start().await?;
        fleet
            .wait_for_budget(LARGE_ORGANISATION, LARGE_READY_REQUESTS)
            .await?;
        Ok(Self { fleet })
    }

    /// Runs all steps in order and stops at the first that fails.
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
        print_line(format!("store {}", self.fleet.store().address()));
        for host in self.fleet.hosts() {
            print_line(format!(
                "entry host {} zone={} callers={} operators={} pid={}",
                host.name(),
                host.zone(),
                host.callers(),
                host.operators(),
                host.pid()
            ));
        }
        for upstream in self.fleet.upstreams() {
            print_line(format!(
                "upstream {} service={} zone={} address={}",
                upstream.name(),
                upstream.service(),
                upstream.zone(),
                upstream.address()
            ));
        }
    }

    /// Returns a caller with the key of an organisation.
    fn caller(&self, organisation: &str, service: &str) -> Caller {
        let options = self.fleet.caller(organisation, service);
        Caller::new(options.with_key(&demonstration_key(organisation)))
    }
}

/// Sends the same request from several concurrent senders and returns all replies.
async fn load(
    caller: &Arc<Caller>,
    ask: &Ask,
    senders: u32,
    requests_per_sender: u32,
) -> Result<Vec<Reply>, StandinError> {
    let mut running = JoinSet::new();
    for _ in 0..senders {
        let caller = Arc::clone(caller);
        let ask = ask.clone();
        running.spawn(async move {
            let mut replies = Vec::new();
            for _ in 0..requests_per_sender {
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

fn print_line(line: impl Display) {
    println!("   {line}");
}

/// Returns an error with the expected and the observed result if a check fails.
fn ensure(holds: bool, what: &str, found: impl Display) -> Result<(), StandinError> {
    if holds {
        return Ok(());
    }
    Err(StandinError::NotSeen {
        what: what.to_owned(),
        found: found.to_string(),
    })
}
