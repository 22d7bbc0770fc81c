//! A small deployment of real processes on loopback: a store, upstreams and
//! entry hosts. Tests, the demonstration and the benchmarks use it.
//!
//! Dropping a [`Fleet`] kills every process that it started.

mod builder;
mod control;
mod entry_host;
mod process;
mod set;

use std::{
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::Output,
    time::Duration,
};

use cardamomroad::{
    config::object::ConfigSet,
    store::{
        ListedHost,
        ListedState, //
    },
    util::id::{
        Generation,
        ZoneName, //
    },
};
use tempfile::TempDir;

pub use self::{
    builder::FleetBuilder,
    control::{
        StoreControl,
        UpstreamControl, //
    },
    entry_host::EntryHost,
    process::{
        Process,
        binary, //
    },
    set::{
        demonstration_key,
        example,
        limit,
        narrow, //
    },
};
use crate::{
    caller::Options as CallerOptions,
    error::StandinError, //
};

/// The timeout for start-up, shutdown and every awaited condition.
pub const WAIT_MAX: Duration = Duration::from_secs(30);
/// The interval at which the status of an entry host is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Rate-limit tokens that one request consumes.
const TOKENS_PER_REQUEST: u64 = 1000;

/// A running deployment: one store, its upstreams and its entry hosts.
#[derive(Debug)]
pub struct Fleet {
    folder: TempDir,
    set: ConfigSet,
    store: StoreControl,
    upstreams: Vec<UpstreamControl>,
    hosts: Vec<EntryHost>,
}

impl Drop for Fleet {
    /// Keeps the logs when the fleet is dropped by a panic, as in a failed test.
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.keep_logs();
        }
    }
}

impl Fleet {
    /// Keeps the temporary folder after the fleet is dropped and prints its path.
    pub fn keep_logs(&mut self) {
        self.folder.disable_cleanup(true);
        eprintln!("the logs are in {}", self.folder.path().display());
    }

    /// Returns the store process and its control interface.
    pub fn store(&self) -> &StoreControl {
        &self.store
    }

    /// Returns the upstreams of all pools, in the order of the configuration set.
    pub fn upstreams(&self) -> &[UpstreamControl] {
        &self.upstreams
    }

    /// Returns the upstreams mutably, for signals and restarts.
    pub fn upstreams_mut(&mut self) -> &mut [UpstreamControl] {
        &mut self.upstreams
    }

    /// Returns all entry hosts, including those that were stopped.
    pub fn hosts(&self) -> &[EntryHost] {
        &self.hosts
    }

    /// Returns an entry host by its name.
    pub fn host(&self, name: &str) -> Result<&EntryHost, StandinError> {
        let found = self.hosts.iter().find(|h| h.name().as_str() == name);
        found.ok_or_else(|| StandinError::Unknown {
            what: "entry host",
            name: name.to_owned(),
        })
    }

    /// Returns an entry host by its name, for signals and restarts.
    pub fn host_mut(&mut self, name: &str) -> Result<&mut EntryHost, StandinError> {
        let found = self.hosts.iter_mut().find(|h| h.name().as_str() == name);
        found.ok_or_else(|| StandinError::Unknown {
            what: "entry host",
            name: name.to_owned(),
        })
    }

    /// Returns the initial configuration set, with the addresses that the upstreams bound.
    pub fn set(&self) -> &ConfigSet {
        &self.set
    }

    /// Returns the temporary folder with the logs and the applied configuration.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the addresses at which the entry hosts accept callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(EntryHost::callers).collect()
    }

    /// Returns the options of a caller that can use every entry host.
    pub fn caller(&self, name: &str, service: &str) -> CallerOptions {
        CallerOptions::new(name, service, &self.callers())
    }

    /// Runs the `cardamomroad` command against the store and returns its output and status.
    pub async fn run_cli(&self, args: &[&str]) -> Result<Output, StandinError> {
        let mut command = tokio::process::Command::new(binary("cardamomroad")?);
        command.env("CARDAMOMROAD_STORE", self.store.address().to_string());
        command.args(args).kill_on_drop(true);
        let ended = tokio::time::timeout(WAIT_MAX, command.output()).await;
        let ended = ended.map_err(|_| StandinError::TimedOut {
            what: format!("cardamomroad {}", args.join(" ")),
        })?;
        ended.map_err(|cause| StandinError::Io {
            what: format!("running cardamomroad {}", args.join(" ")),
            cause,
        })
    }

    /// Runs the `cardamomroad` command and returns its standard output, or an error
    /// if it exits with a failure status.
    pub async fn run_cli_checked(&self, args: &[&str]) -> Result<String, StandinError> {
        let output = self.run_cli(args).await?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(text);
        }
        Err(StandinError::Failed {
            what: format!("cardamomroad {}", args.join(" ")),
            status: output.status,
            said: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    /// Writes a configuration set to the folder and applies it with `cardamomroad apply`.
    pub async fn apply(&self, set: &ConfigSet) -> Result<String, StandinError> {
        let path = self.write_set(set)?;
        let path = path.to_string_lossy();
        self.run_cli_checked(&["apply", path.as_ref()]).await
    }

    fn write_set(&self, set: &ConfigSet) -> Result<PathBuf, StandinError> {
        set::write(set, self.folder.path())
    }

    /// Publishes all running hosts as live in the platform's host list.
    pub async fn publish_hosts(&self) -> Result<(), StandinError> {
        self.publish_hosts_with_leaving(&[]).await
    }

    /// Publishes all running hosts in the platform's host list, with those named in
    /// `leaving` marked as leaving.
    pub async fn publish_hosts_with_leaving(&self, leaving: &[&str]) -> Result<(), StandinError> {
        let mut listed = Vec::new();
        for host in &self.hosts {
            if !host.is_running() {
                continue;
            }
            let state = match leaving.contains(&host.name().as_str()) {
                true => ListedState::Leaving,
                false => ListedState::Live,
            };
            listed.push(ListedHost {
                name: host.name().clone(),
                zone: host.zone().clone(),
                callers: host.callers(),
                peers: host.peers(),
                state,
            });
        }
        self.store.set_hosts(&listed).await
    }

    /// Waits until every running host uses this configuration generation or a later one.
    pub async fn wait_for_generation(&self, generation: Generation) -> Result<(), StandinError> {
        for host in &self.hosts {
            if !host.is_running() {
                continue;
            }
            host.wait_until("the generation", |s| s.generation >= Some(generation))
                .await?;
        }
        Ok(())
    }

    /// Waits until every running host sees all live peers of its zone, at least one
    /// of another zone if there is any, and has its share of the rate limits.
    pub async fn wait_until_converged(&self) -> Result<(), StandinError> {
        let running = self.hosts.iter().filter(|h| h.is_running()).count();
        for host in &self.hosts {
            if !host.is_running() {
                continue;
            }
            let zone = host.zone();
            let in_zone = |h: &&EntryHost| h.is_running() && h.zone() == zone;
            let zone_peers = self.hosts.iter().filter(in_zone).count() - 1;
            host.wait_until("its neighbours", |s| {
                let live = s.peers.iter().filter(|p| p.state == "live");
                let live_in_zone = live.clone().filter(|p| p.zone == s.zone).count();
                live_in_zone >= zone_peers
                    && (live.count() > zone_peers || running == zone_peers + 1)
            })
            .await?;
            host.wait_until("its shares", |s| s.ledger.is_some())
                .await?;
        }
        Ok(())
    }

    /// Waits until every running host has the budget to start `requests` requests of
    /// an organisation at once.
    pub async fn wait_for_budget(
        &self,
        organisation: &str,
        requests: u64,
    ) -> Result<(), StandinError> {
        let name = format!("organisation/{organisation}");
        let tokens = requests * TOKENS_PER_REQUEST;
        for host in self.hosts.iter().filter(|h| h.is_running()) {
            host.wait_until(&format!("budget of {organisation}"), |s| {
                let budget = s.budgets.iter().find(|b| b.name == name);
                budget.is_some_and(|b| b.tokens >= tokens)
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the upstreams of a zone.
    pub fn upstreams_in<'a>(
        &'a self,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = &'a UpstreamControl> {
        self.upstreams.iter().filter(move |u| u.zone() == zone)
    }
}
