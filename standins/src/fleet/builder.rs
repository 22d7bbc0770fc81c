//! Configures and starts a fleet.

use std::{
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    path::Path,
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
};

use cardamomroad::{
    config::object::ConfigSet,
    util::id::{
        Generation,
        HostName, //
    },
};

use super::{
    Fleet,
    control::{
        StoreControl,
        UpstreamControl, //
    },
    entry_host::{
        EntryHost,
        HostOptions, //
    },
    set::upstream_name,
};
use crate::error::StandinError;

/// The lowest second octet of the entry hosts' loopback addresses; clients use lower ones.
const FIRST_NETWORK_OCTET: u32 = 16;
/// The number of second octets that fleets choose from.
const NETWORK_OCTETS: u32 = 200;
/// The maximum number of seed addresses passed to each entry host.
const SEEDS_MAX: usize = 4;

/// The number of fleets that this process has started.
static FLEETS_STARTED: AtomicU32 = AtomicU32::new(0);

/// The configuration of a fleet that has not been started.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    set: ConfigSet,
    hosts_per_zone: usize,
    upstream_args: Vec<String>,
    host_args: Vec<String>,
    log_level: String,
}

impl FleetBuilder {
    /// Returns a builder for a fleet with one entry host in each zone of the
    /// configuration set and one process for each upstream. The upstream addresses
    /// of the set are replaced by those that the processes bind.
    pub fn new(set: ConfigSet) -> Self {
        Self {
            set,
            hosts_per_zone: 1,
            upstream_args: Vec::new(),
            host_args: Vec::new(),
            log_level: "info".to_owned(),
        }
    }

    /// Sets the number of entry hosts in each zone.
    pub fn with_hosts_per_zone(mut self, hosts: usize) -> Self {
        self.hosts_per_zone = hosts;
        self
    }

    /// Adds command-line arguments for every upstream process.
    pub fn with_upstream_args(mut self, args: &[&str]) -> Self {
        self.upstream_args
            .extend(args.iter().map(ToString::to_string));
        self
    }

    /// Adds command-line arguments for every entry host.
    pub fn with_host_args(mut self, args: &[&str]) -> Self {
        self.host_args.extend(args.iter().map(ToString::to_string));
        self
    }

    /// Sets the log level (`RUST_LOG`) of the entry hosts; the default is `info`.
    pub fn with_log_level(mut self, level: &str) -> Self {
        self.log_level = level.to_owned();
        self
    }

    /// Starts all processes, applies the configuration set and waits until every
    /// entry host uses it.
    pub async fn start(self) -> Result<Fleet, StandinError> {
        let folder = tempfile::tempdir().map_err(|cause| StandinError::Io {
            what: "making a temporary folder".to_owned(),
            cause,
        })?;
        let mut set = self.set.clone();
        let store = StoreControl::start(folder.path()).await?;
        let upstreams = self.start_upstreams(&mut set, folder.path()).await?;
        let hosts = self.start_hosts(&set, &store, folder.path()).await?;
        let mut fleet = Fleet {
            folder,
            set,
            store,
            upstreams,
            hosts,
        };
        match apply_configuration(&fleet).await {
            Ok(()) => Ok(fleet),
            Err(e) => {
                fleet.keep_logs();
                Err(e)
            }
        }
    }

    async fn start_upstreams(
        &self,
        set: &mut ConfigSet,
        folder: &Path,
    ) -> Result<Vec<UpstreamControl>, StandinError> {
        let mut upstreams = Vec::new();
        for pool in &mut set.pools {
            let mut args = vec!["--slots".to_owned(), pool.slots.to_string()];
            args.extend(["--connections".to_owned(), pool.connections.to_string()]);
            args.extend(self.upstream_args.iter().cloned());
            for i in 0..pool.upstreams.len() {
                let name = upstream_name(pool, i);
                let service_and_zone = (pool.service.clone(), pool.zone.clone());
                let upstream =
                    UpstreamControl::start(&name, &args, service_and_zone, folder).await?;
                pool.upstreams[i] = upstream.address();
                upstreams.push(upstream);
            }
        }
        Ok(upstreams)
    }

    async fn start_hosts(
        &self,
        set: &ConfigSet,
        store: &StoreControl,
        folder: &Path,
    ) -> Result<Vec<EntryHost>, StandinError> {
        let network_octet = network_octet();
        let mut hosts: Vec<EntryHost> = Vec::new();
        for (z, zone) in set.zones.iter().enumerate() {
            for n in 1..=self.hosts_per_zone {
                let name: HostName =
                    format!("{}-{n}", zone.name)
                        .parse()
                        .map_err(|_| StandinError::Unknown {
                            what: "host name for zone",
                            name: zone.name.to_string(),
                        })?;
                let seeds: Vec<SocketAddr> = hosts.iter().map(EntryHost::peers).collect();
                let options = HostOptions {
                    name,
                    zone: zone.name.clone(),
                    ip: address(network_octet, z, n),
                    store: store.address(),
                    seeds: seeds.into_iter().take(SEEDS_MAX).collect(),
                    args: self.host_args.clone(),
                    log_level: self.log_level.clone(),
                    folder: folder.to_owned(),
                };
                hosts.push(EntryHost::start(options).await?);
            }
        }
        Ok(hosts)
    }
}

async fn apply_configuration(fleet: &Fleet) -> Result<(), StandinError> {
    fleet.publish_hosts().await?;
    fleet.apply(fleet.set()).await?;
    fleet.wait_for_generation(Generation(1)).await?;
    fleet.wait_until_converged().await
}

/// Returns the second octet of the addresses of one fleet. Fleets of concurrent
/// tests use different octets, so that none binds a port that a restarting host
/// of another fleet has just released.
fn network_octet() -> u8 {
    let started = FLEETS_STARTED.fetch_add(1, Ordering::Relaxed);
    let mixed = std::process::id().wrapping_mul(7).wrapping_add(started);
    u8::try_from(FIRST_NETWORK_OCTET + mixed % NETWORK_OCTETS).unwrap_or(u8::MAX)
}

fn address(network_octet: u8, zone: usize, number: usize) -> IpAddr {
    let byte = |n: usize| u8::try_from(n).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, network_octet, byte(zone), byte(number)))
}
