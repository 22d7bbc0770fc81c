//! Validation of upstream addresses and client blocks.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    net::SocketAddr, //
};

use ipnet::IpNet;

use crate::config::{
    check::report::Report,
    fault::Problem,
    kind::ObjectKind,
    object::{
        Block,
        ConfigSet, //
    },
};

/// Maximum number of nearest zones in a client block.
const NEAR_ZONES_MAX: usize = 16;

/// Validates the addresses of upstreams and client blocks.
pub(super) fn check(set: &ConfigSet, report: &mut Report<'_>) {
    upstreams(set, report);
    blocks(set, report);
    overlaps(&set.blocks, report);
}

fn upstreams(set: &ConfigSet, report: &mut Report<'_>) {
    let mut first_pool = HashMap::<SocketAddr, usize>::new();
    for (i, pool) in set.pools.iter().enumerate() {
        for upstream in &pool.upstreams {
            let ip = upstream.ip();
            let connectable = upstream.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
            let rule = "is not an address to connect to; write the upstream's IP:PORT";
            report.rule(i, pool, "upstreams", upstream, connectable, rule);
            let other = *first_pool.entry(*upstream).or_insert(i);
            let value = upstream.to_string();
            if other != i {
                // Each pool would hand out all of the upstream's slots.
                let other = format!("pool {}", set.pools[other].name);
                report.add(i, pool, "upstreams", Problem::Duplicate { value, other });
            }
        }
        let distinct: HashSet<_> = pool.upstreams.iter().collect();
        if distinct.len() < pool.upstreams.len() {
            report.distinct(i, pool, "upstreams", &pool.upstreams);
        }
    }
}

fn blocks(set: &ConfigSet, report: &mut Report<'_>) {
    let zones: HashSet<_> = set.zones.iter().map(|zone| &zone.name).collect();
    for (i, block) in set.blocks.iter().enumerate() {
        let rule = "has bits set beyond its prefix; clear them";
        let canonical = block.net == block.net.trunc();
        report.rule(i, block, "net", &block.net, canonical, rule);
        let rule = "is an IPv4-mapped IPv6 block; write it as an IPv4 block";
        report.rule(
            i,
            block,
            "net",
            &block.net,
            !is_ipv4_mapped(&block.net),
            rule,
        );
        report.bounds(i, block, "near", block.near.len(), (1, NEAR_ZONES_MAX));
        for zone in &block.near {
            let found = zones.contains(zone);
            report.reference(i, block, "near", ObjectKind::Zone, found, zone);
        }
        if block.near.len() > 1 {
            report.distinct(i, block, "near", &block.near);
        }
    }
}

fn is_ipv4_mapped(net: &IpNet) -> bool {
    matches!(net, IpNet::V6(net) if net.addr().to_ipv4_mapped().is_some())
}

/// Reports overlapping blocks.
///
/// CIDR blocks are either disjoint or nested. Sorted by first address, with the
/// larger block first, each block therefore needs comparing only with the last
/// block that was not nested in another.
fn overlaps(blocks: &[Block], report: &mut Report<'_>) {
    let mut sorted: Vec<_> = blocks.iter().enumerate().collect();
    sorted.sort_by_key(|(i, block)| (block.net.network(), block.net.prefix_len(), *i));
    let mut widest: Option<&IpNet> = None;
    for (i, block) in sorted {
        match widest {
            Some(other) if other.contains(&block.net) => {
                let problem = Problem::Overlap {
                    value: block.net.to_string(),
                    other: other.to_string(),
                };
                report.add(i, block, "net", problem);
            }
            _ => widest = Some(&block.net),
        }
    }
}
