//! Whom a host probes, and what it passes on.

use std::net::SocketAddr;

use rand::{
    Rng,
    seq::{
        IndexedRandom,
        SliceRandom, //
    },
};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{
    membership::{
        GOSSIP_ENTRIES, INDIRECT_FANOUT, Membership, OTHER_ZONES_MAX_MILLI, OTHER_ZONES_MIN_MILLI,
        ZONE_FANOUT,
        message::{
            Facts,
            Gossip,
            Heartbeat, //
        },
        peer::{
            Peer,
            PeerState, //
        },
    },
    util::id::{
        HostName,
        ZoneName, //
    },
};

/// Entries that a heartbeat to another zone passes on.
const FAR_GOSSIP_ENTRIES: usize = 2;

/// A probe to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Send a heartbeat.
    Direct {
        /// The host to probe.
        to: HostName,
        /// Its address for other entry hosts.
        address: SocketAddr,
    },
    /// Ask a host to send a heartbeat to another one, and to report by [`Membership::on_indirect`].
    Indirect {
        /// The host to ask.
        via: HostName,
        /// Its address for other entry hosts.
        address: SocketAddr,
        /// The host to probe.
        target: HostName,
    },
}

impl Membership {
    /// Returns the probes to send now; call it once every [`super::PERIOD`].
    pub fn probes<R: Rng>(&mut self, now: Instant, rng: &mut R) -> SmallVec<[Probe; 4]> {
        let mut probes = SmallVec::new();
        for _ in 0..ZONE_FANOUT {
            probes.extend(self.next_in_zone(now, rng));
        }
        for _ in 0..self.other_zone_probes(now) {
            probes.extend(self.next_in_other_zone(now, rng));
        }
        self.add_indirect(now, rng, &mut probes);
        probes.dedup();
        probes
    }

    /// Goes round the own zone in random order, so that each host has its turn.
    fn next_in_zone<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Option<Probe> {
        if self.round.is_empty() {
            let zone = self.zone_hosts(&self.contact.zone);
            self.round = zone.map(|p| p.name.clone()).collect();
            self.round.shuffle(rng);
        }
        while let Some(host) = self.round.pop() {
            if let Some(peer) = self.peers.get(&host).filter(|p| self.is_probed(now, p)) {
                return Some(direct(peer));
            }
        }
        None
    }

    /// Goes round the other zones in random order, to a random host of each.
    fn next_in_other_zone<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Option<Probe> {
        if self.zone_round.is_empty() {
            self.zone_round = self.other_zones(now);
            self.zone_round.shuffle(rng);
        }
        let zone = self.zone_round.pop()?;
        let hosts: SmallVec<[&Peer; 8]> = self
            .zone_hosts(&zone)
            .filter(|p| self.is_probed(now, p))
            .collect();
        Some(direct(hosts.choose(rng)?))
    }

    /// Returns the heartbeats to other zones now, so that the hosts of this zone
    /// together reach each other zone about once a period.
    fn other_zone_probes(&mut self, now: Instant) -> usize {
        let zones = self.other_zones(now).len();
        if zones == 0 {
            return 0;
        }
        let rate = 1_000 * zones / (self.zone_size() + 1);
        self.other_zones_milli += rate.clamp(OTHER_ZONES_MIN_MILLI, OTHER_ZONES_MAX_MILLI);
        let due = self.other_zones_milli / 1_000;
        self.other_zones_milli %= 1_000;
        due
    }

    fn other_zones(&self, now: Instant) -> Vec<ZoneName> {
        let mut zones = Vec::new();
        for peer in self.peers.values() {
            let zone = &peer.contact.zone;
            if *zone == self.contact.zone || !self.is_probed(now, peer) {
                continue;
            }
            zones.push(zone.clone());
        }
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    fn add_indirect<R: Rng>(
        &mut self,
        now: Instant,
        rng: &mut R,
        probes: &mut SmallVec<[Probe; 4]>,
    ) {
        let due = self.peers.values().filter(|p| p.unanswered);
        let targets: Vec<HostName> = due.map(|p| p.name.clone()).collect();
        for target in targets {
            let live: Vec<&Peer> = self
                .peers
                .values()
                .filter(|p| {
                    p.name != target && p.state(now, self.listening_since(now)) == PeerState::Live
                })
                .collect();
            let mut asked = 0;
            for via in live.sample(rng, INDIRECT_FANOUT) {
                asked += 1;
                probes.push(Probe::Indirect {
                    via: via.name.clone(),
                    address: via.contact.peers,
                    target: target.clone(),
                });
            }
            let Some(peer) = self.peers.get_mut(&target) else {
                continue;
            };
            peer.unanswered = false;
            peer.indirect = asked;
            if asked == 0 {
                peer.suspect(now);
            }
        }
    }

    fn is_probed(&self, now: Instant, peer: &Peer) -> bool {
        peer.state(now, self.listening_since(now)) != PeerState::Gone
    }

    pub(super) fn compose<R: Rng>(
        &mut self,
        now: Instant,
        rng: &mut R,
        far: bool,
        newcomer: bool,
    ) -> Heartbeat {
        let limit = if far && !newcomer {
            FAR_GOSSIP_ENTRIES
        } else {
            GOSSIP_ENTRIES
        };
        let mut gossip = self.changes(now, limit);
        self.fill(now, rng, limit, newcomer, &mut gossip);
        Heartbeat {
            from: self.me.clone(),
            contact: self.contact.clone(),
            incarnation: self.incarnation,
            stamp: self.stamp(now),
            leaving: self.leaving,
            known: u16::try_from(self.peers.len()).unwrap_or(u16::MAX),
            facts: self.facts_at(now),
            gossip,
        }
    }

    /// News grows older between two settings of the facts.
    fn facts_at(&self, now: Instant) -> Facts {
        let passed = now.saturating_duration_since(self.facts_at);
        Facts {
            news: self.facts.news.older_by(passed),
            ..self.facts.clone()
        }
    }

    /// Passes on the changes that were passed on least.
    fn changes(&mut self, now: Instant, limit: usize) -> SmallVec<[Gossip; GOSSIP_ENTRIES]> {
        let mut changed: Vec<&mut Peer> =
            self.peers.values_mut().filter(|p| p.repeats > 0).collect();
        changed.sort_by_key(|p| std::cmp::Reverse(p.repeats));
        let mut gossip = SmallVec::new();
        for peer in changed.into_iter().take(limit) {
            peer.repeats -= 1;
            gossip.push(peer.gossip(now, true));
        }
        gossip
    }

    /// Fills up with hosts at random, so that their stamps stay known.
    fn fill<R: Rng>(
        &self,
        now: Instant,
        rng: &mut R,
        limit: usize,
        newcomer: bool,
        gossip: &mut SmallVec<[Gossip; GOSSIP_ENTRIES]>,
    ) {
        let heard: Vec<&Peer> = self
            .peers
            .values()
            .filter(|p| p.heard.is_some() && self.is_probed(now, p))
            .collect();
        for peer in heard.sample(rng, limit - gossip.len()) {
            if gossip.iter().any(|g| g.host == peer.name) {
                continue;
            }
            gossip.push(peer.gossip(now, newcomer));
        }
    }
}

fn direct(peer: &Peer) -> Probe {
    Probe::Direct {
        to: peer.name.clone(),
        address: peer.contact.peers,
    }
}
