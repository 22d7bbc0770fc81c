//! Builds the initial state of a run.

use std::{
    net::{
        IpAddr,
        Ipv4Addr, //
    },
    sync::Arc,
};

use cardamomroad::{
    budget::{
        Budgets,
        ShareInputs, //
    },
    config::object::ConfigSet,
    ledger::{
        Ledger,
        Member,
        Members,
        Revision,
        Zones, //
    },
    link::Links,
    lookup,
    pool::Pool,
    queue::FairQueue,
    share,
    util::id::{
        Generation,
        HostName,
        Incarnation,
        Stamp,
        ZoneName, //
    },
};
use tokio::time::Instant;

use crate::policy::{
    deployment::{
        Deployment,
        HOSTS,
        HOSTS_PER_ZONE,
        ORGANISATIONS,
        REGIONS,
        SERVICES,
        ZONES,
        name_of,
        region_of, //
    },
    fakes::{
        Caller,
        Server, //
    },
    scenario::Scenario,
};

/// Number of callers of each organisation in each zone.
pub const CALLERS_PER_ZONE: usize = 10;
/// One caller in this many keeps look-up answers beyond their TTL.
const OVERSTAYING_ONE_IN: usize = 10;

/// A simulated entry host, which is also a gateway of its zone.
pub struct Host {
    /// Host name, made of the zone's name and a number.
    pub name: HostName,
    /// Index of the host's zone.
    pub zone: usize,
    /// The host's shares of the rate limits and link capacities.
    pub budgets: Budgets,
    /// Admissions and reservations on links from the host's region.
    pub links: Links,
    /// The host's view of its zone's upstreams, by service.
    pub pools: [Pool; SERVICES],
    /// Queued requests, by service.
    pub queues: [FairQueue<usize>; SERVICES],
    /// Running requests that the host routed, by zone and service.
    pub spilled: [[u32; SERVICES]; ZONES],
    /// `spilled` at the last report of other zones, then at the one before it.
    pub spilled_at_report: [[[u32; SERVICES]; ZONES]; 2],
}

/// Returns the name of a host index.
pub fn host_name(d: &Deployment, host: usize) -> HostName {
    let n = host % HOSTS_PER_ZONE + 1;
    name_of(&format!("{}-{n}", d.zone(host / HOSTS_PER_ZONE)))
}

fn member(d: &Deployment, host: usize) -> Member {
    let last = u8::try_from(host).unwrap_or(u8::MAX);
    Member {
        name: host_name(d, host),
        peers: ([10, 100, 0, last], 7000).into(),
    }
}

fn ledger(d: &Deployment, set: &ConfigSet, zone: usize) -> Ledger {
    let members = Members {
        since: Revision(1),
        hosts: Scenario::hosts(zone).map(|h| member(d, h)).collect(),
    };
    let zones = Zones {
        since: Revision(1),
        generation: Generation(1),
        zones: set.zones.clone(),
    };
    Ledger {
        zone: name_of(&d.zone(zone)),
        revision: Revision(1),
        acked: Revision(1),
        members: [members].into_iter().collect(),
        zones: [zones].into_iter().collect(),
    }
}

/// Creates the entry hosts of all zones, with empty queues.
pub fn hosts(d: &Deployment, set: &ConfigSet, now: Instant) -> Vec<Host> {
    let ledgers: Vec<Ledger> = (0..ZONES).map(|z| ledger(d, set, z)).collect();
    let fleet_quotas = share::fleet_quotas(set);
    let mut hosts = Vec::new();
    for i in 0..HOSTS {
        let zone = i / HOSTS_PER_ZONE;
        let mut budgets = Budgets::new(host_name(d, i), Incarnation(1), now);
        let mut others: Vec<usize> = (0..ZONES).filter(|z| *z != zone).collect();
        others.sort_by_key(|z| region_of(*z) != region_of(zone));
        let share_inputs = ShareInputs {
            fleet_quotas: fleet_quotas.clone(),
            member: member(d, i),
            ledger: ledgers[zone].clone(),
            others: others.into_iter().map(|z| ledgers[z].clone()).collect(),
        };
        if let Err(e) = budgets.adopt(now, now, Arc::new(share_inputs)) {
            panic!("{e}");
        }
        let pool = |s: usize| {
            let cfg = &set.pools[zone * SERVICES + s];
            Pool::new(now, host_name(d, i), cfg, (&ledgers[zone]).into())
        };
        hosts.push(Host {
            name: host_name(d, i),
            zone,
            budgets,
            links: Links::new(),
            pools: [pool(0), pool(1)],
            queues: Default::default(),
            spilled: [[0; SERVICES]; ZONES],
            spilled_at_report: [[[0; SERVICES]; ZONES]; 2],
        });
    }
    hosts
}

/// Creates the upstreams, by zone and service.
pub fn servers(d: &Deployment) -> Vec<[Vec<Server>; SERVICES]> {
    let zone = |z: usize| {
        let servers = |s: usize| {
            let n = d.services[s].servers_per_zone();
            vec![Server::new(region_of(z), d.services[s].slots); n]
        };
        [servers(0), servers(1)]
    };
    (0..ZONES).map(zone).collect()
}

/// Creates the callers, ordered by organisation, then zone.
pub fn callers() -> Vec<Caller> {
    let mut callers = Vec::new();
    for organisation in 0..ORGANISATIONS {
        for zone in 0..ZONES {
            for i in 0..CALLERS_PER_ZONE {
                let byte = |n: usize| u8::try_from(n).unwrap_or(u8::MAX);
                let address = Ipv4Addr::new(10, byte(zone), byte(organisation), byte(i));
                let overstays = (organisation + zone + i) % OVERSTAYING_ONE_IN == 0;
                callers.push(Caller::new(IpAddr::V4(address), overstays));
            }
        }
    }
    callers
}

/// Returns all hosts as look-up entries, with the status that `status` gives
/// for each host index.
pub fn listed(d: &Deployment, status: impl Fn(usize) -> lookup::HostStatus) -> Vec<lookup::Host> {
    let host = |i: usize| {
        let zone: ZoneName = name_of(&d.zone(i / HOSTS_PER_ZONE));
        lookup::Host {
            name: host_name(d, i),
            zone,
            caller_address: ([10, 100, 1, u8::try_from(i).unwrap_or(u8::MAX)], 8000).into(),
            incarnation: Incarnation(1),
            stamp: Stamp(1),
            status: status(i),
            spare_milli: 1000,
        }
    };
    (0..HOSTS).map(host).collect()
}

/// Returns the index of the link between two regions in the configuration set.
pub fn link_index(from: usize, to: usize) -> usize {
    from * (REGIONS - 1) + if to > from { to - 1 } else { to }
}
