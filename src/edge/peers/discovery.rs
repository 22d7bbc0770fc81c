//! How the leaders of zones find one another.
//!
//! The registration of a host stays when the host is gone for good, and a host that is silent may
//! only be cut off. A leader that hears no leader of a zone therefore tries all registered hosts of
//! that zone in turn. Each host that receives such a digest replies with the leader that it knows.

use std::{
    cmp::Reverse,
    net::SocketAddr, //
};

use smallvec::SmallVec;
use tokio::time::Instant;

use super::{
    Peer,
    Peers, //
};
use crate::{
    edge::datagram::{
        Digest,
        ZoneDigest, //
    },
    util::id::ZoneName,
};

/// Number of hosts that are tried at a time in a zone whose leader is unknown, in addition to the
/// most likely leader.
const OTHER_CANDIDATES: usize = 2;

impl Peers {
    /// Returns the addresses of the leaders of other zones: those in this host's region if
    /// `in_region`, or else those in other regions. Where the leader of a zone is unknown, it
    /// returns some of the zone's hosts; successive values of `turn` yield all of them.
    pub fn leader_addresses(&self, now: Instant, in_region: bool, turn: usize) -> Vec<SocketAddr> {
        let zones = self.regions.keys().filter(|z| **z != self.own.zone);
        let zones = zones.filter(|z| self.is_in_own_region(z) == in_region);
        let leaders = |zone: &ZoneName| -> SmallVec<[SocketAddr; 1 + OTHER_CANDIDATES]> {
            match self.fresh_view(now, zone) {
                Some(view) => self.address(&view.leader).into_iter().collect(),
                None => self.leader_candidates(zone, turn),
            }
        };
        zones.flat_map(leaders).collect()
    }

    /// Returns the addresses of the last known leader of a zone, or else its largest host, and of
    /// some other registered hosts of the zone.
    fn leader_candidates(
        &self,
        zone: &ZoneName,
        turn: usize,
    ) -> SmallVec<[SocketAddr; 1 + OTHER_CANDIDATES]> {
        let last_leader = self.views.get(zone).map(|v| &v.leader);
        let mut hosts: Vec<&Peer> = self.hosts_of_zone(zone).collect();
        hosts.sort_unstable_by_key(|p| {
            let is_last_leader = Some(&p.entry.name) == last_leader;
            Reverse((is_last_leader, p.entry.millicores, p.tie_breaker))
        });
        let Some((first, others)) = hosts.split_first() else {
            return SmallVec::new();
        };
        let skipped = turn.wrapping_mul(OTHER_CANDIDATES) % others.len().max(1);
        let in_turn = others.iter().cycle().skip(skipped);
        let in_turn = in_turn.take(OTHER_CANDIDATES.min(others.len()));
        [first]
            .into_iter()
            .chain(in_turn)
            .map(|p| p.entry.peers)
            .collect()
    }

    /// Returns the leader of this host's zone, and the address of the leader of another zone that
    /// has sent `msg` to this host in its place; `None` if this host leads its zone itself or knows
    /// no leader.
    pub fn introduction(&self, now: Instant, msg: &Digest) -> Option<(SocketAddr, ZoneDigest)> {
        let sender = self.peers.get(&msg.from.host)?;
        let zone = &sender.entry.zone;
        let is_leader = |z: &ZoneDigest| z.zone == *zone && z.leader == msg.from.host;
        if self.leads() || *zone == self.own.zone || !msg.zones.iter().any(is_leader) {
            return None;
        }
        let view = self.fresh_view(now, &self.own.zone)?;
        Some((sender.entry.peers, view.digest(now, &self.own.zone)))
    }
}
