//! Division of an upstream's slots and connections among a zone's gateways.
//!
//! The division is a pure function of the member list, so gateways with the
//! same list agree without coordination, and the shares of an upstream always
//! add up to its total. If there are more gateways than slots, rendezvous
//! hashing selects the gateways that get one. Each upstream is then used by a
//! subset of the gateways, and each gateway uses a subset of the upstreams.

use std::net::SocketAddr;

use xxhash_rust::xxh3::Xxh3;

use crate::util::id::HostName;

/// Returns how many of an upstream's `total` slots are allotted to `host`.
///
/// A host that is not in `members` gets none. The order of `members` is irrelevant.
pub fn share(members: &[HostName], host: &HostName, upstream: SocketAddr, total: u32) -> u32 {
    if !members.contains(host) {
        return 0;
    }
    let n = u32::try_from(members.len()).unwrap_or(u32::MAX);
    let (quotient, remainder) = (total / n, total % n);
    let own_key = rank_key(host, upstream);
    let rank = members
        .iter()
        .filter(|m| rank_key(m, upstream) < own_key)
        .count();
    quotient + u32::from(rank < remainder as usize)
}

/// Returns a host's rendezvous hash for an upstream; the name breaks ties.
fn rank_key(host: &HostName, upstream: SocketAddr) -> (u64, &str) {
    let mut h = Xxh3::new();
    h.update(host.as_str().as_bytes());
    h.update(&[0]);
    match upstream {
        SocketAddr::V4(a) => h.update(&a.ip().octets()),
        SocketAddr::V6(a) => h.update(&a.ip().octets()),
    }
    h.update(&upstream.port().to_be_bytes());
    (h.digest(), host.as_str())
}
