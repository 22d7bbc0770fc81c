//! Selects the hosts to probe and the gossip and stamps that heartbeats carry.

use std::{
    cmp::Reverse,
    collections::BTreeSet,
    net::SocketAddr,
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
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
        GOSSIP_ENTRIES,
        INDIRECT_FANOUT,
        Membership,
        OTHER_ZONE_PROBES_MAX_MILLI,
        OTHER_ZONE_PROBES_MIN_MILLI,
        RECENTLY_HEARD,
        STAMP_ENTRIES,
        ZONE_FANOUT,
        message::{
            Facts,
            Gossip,
            Heartbeat,
            StampEntry, //
        },
        peer::{
            Listed,
            Peer,
            PeerState, //
        }, //
    },
    util::id::{
        HostName,
        ZoneName, //
    },
};

/// Gossip entries in a heartbeat to another zone.
const CROSS_ZONE_GOSSIP_ENTRIES: usize = 2;
/// A host that knows more than 1/16 fewer hosts than this one is a newcomer.
const NEWCOMER_DIVISOR: usize = 16;
/// Random hosts in each message to a newcomer.
const NEWCOMER_ENTRIES: usize = 24;
/// One in this many stamps is of a host of another zone.
const OTHER_ZONE_STAMPS_DIVISOR: usize = 4;
/// Stamps received within this time are sent first; most hosts already know older ones.
const FRESH_STAMP_AGE: Duration = Duration::from_secs(8);
/// Stamps left out for each gossip entry, to bound the length of the message.
const STAMPS_PER_CHANGE: usize = 3;

/// A probe to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Send a heartbeat directly.
    Direct {
        /// The host that gets the heartbeat.
        to: HostName,
        /// Its address for other entry hosts.
        address: SocketAddr,
    },
    /// Ask a host to send a heartbeat to another one; pass the result to
    /// [`Membership::on_indirect_result`].
    Indirect {
        /// The host that sends the heartbeat to `target`.
        via: HostName,
        /// Its address for other entry hosts.
        address: SocketAddr,
        /// The host that did not answer the direct probe.
        target: HostName,
    },
}

impl Membership {
    /// Returns the probes to send now; call it once every [`super::HEARTBEAT_PERIOD`].
    pub fn probes<R: Rng>(&mut self, now: Instant, rng: &mut R) -> SmallVec<[Probe; 4]> {
        let mut probes = SmallVec::new();
        probes.extend(self.next_absent(now));
        for _ in 0..ZONE_FANOUT {
            probes.extend(self.next_in_zone(now, rng));
        }
        let zones = self.other_zones(now);
        for _ in 0..self.other_zone_probes(zones.len()) {
            probes.extend(self.next_in_other_zone(now, &zones, rng));
        }
        self.add_indirect(now, rng, &mut probes);
        probes.dedup();
        probes
    }

    /// Returns a probe for the host missing from the list that was heard longest ago,
    /// since only unanswered probes show that a host has stopped.
    fn next_absent(&self, now: Instant) -> Option<Probe> {
        let absent = |p: &&Peer| p.listed == Listed::Absent && self.is_probed(now, p);
        let quiet = |p: &&Peer| p.heard.is_none_or(|t| now >= t + RECENTLY_HEARD);
        let due = self.peers.values().filter(absent).filter(quiet);
        due.min_by_key(|p| (p.unanswered || p.suspected.is_some(), p.heard))
            .map(direct)
    }

    /// Cycles through the own zone in random order, so that each host gets its turn.
    fn next_in_zone<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Option<Probe> {
        if self.probe_queue.is_empty() {
            let zone = self.zone_hosts(&self.contact.zone);
            self.probe_queue = zone.map(|p| p.name.clone()).collect();
            self.probe_queue.shuffle(rng);
        }
        while let Some(host) = self.probe_queue.pop() {
            if let Some(peer) = self.peers.get(&host).filter(|p| self.is_probed(now, p)) {
                return Some(direct(peer));
            }
        }
        None
    }

    /// Cycles through the other zones in random order and picks a random host of each.
    fn next_in_other_zone<R: Rng>(
        &mut self,
        now: Instant,
        zones: &[ZoneName],
        rng: &mut R,
    ) -> Option<Probe> {
        if self.zone_queue.is_empty() {
            self.zone_queue = zones.to_vec();
            self.zone_queue.shuffle(rng);
        }
        let zone = self.zone_queue.pop()?;
        let hosts: SmallVec<[&Peer; 8]> = self
            .zone_hosts(&zone)
            .filter(|p| self.is_probed(now, p))
            .collect();
        Some(direct(hosts.choose(rng)?))
    }

    /// Returns how many heartbeats to send to other zones now. Together, the hosts of
    /// this zone reach each other zone about once a period.
    fn other_zone_probes(&mut self, zones: usize) -> usize {
        if zones == 0 {
            return 0;
        }
        let rate = 1_000 * zones / (self.zone_size() + 1);
        self.other_zone_credit_milli +=
            rate.clamp(OTHER_ZONE_PROBES_MIN_MILLI, OTHER_ZONE_PROBES_MAX_MILLI);
        let due = self.other_zone_credit_milli / 1_000;
        self.other_zone_credit_milli %= 1_000;
        due
    }

    fn other_zones(&self, now: Instant) -> Vec<ZoneName> {
        let mut zones = BTreeSet::new();
        for peer in self.peers.values() {
            let zone = &peer.contact.zone;
            if *zone != self.contact.zone && self.is_probed(now, peer) {
                zones.insert(zone);
            }
        }
        zones.into_iter().cloned().collect()
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
                    p.name != target && p.state(now, self.running_since(now)) == PeerState::Live
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
            peer.pending_indirect = asked;
            if asked == 0 {
                peer.suspect(now);
            }
        }
    }

    fn is_probed(&self, now: Instant, peer: &Peer) -> bool {
        peer.state(now, self.running_since(now)) != PeerState::Gone
    }

    pub(super) fn build_heartbeat<R: Rng>(
        &mut self,
        now: Instant,
        rng: &mut R,
        cross_zone: bool,
        known: usize,
    ) -> Heartbeat {
        let newcomer = known < self.peers.len() - self.peers.len() / NEWCOMER_DIVISOR;
        let limit = if cross_zone {
            CROSS_ZONE_GOSSIP_ENTRIES
        } else {
            GOSSIP_ENTRIES
        };
        let mut gossip = self.changes(now, limit - 1, newcomer);
        let random_hosts = if newcomer { NEWCOMER_ENTRIES } else { 1 };
        self.add_random_hosts(
            now,
            rng,
            random_hosts,
            known < self.peers.len(),
            &mut gossip,
        );
        let stamp_limit = STAMP_ENTRIES.saturating_sub(gossip.len() * STAMPS_PER_CHANGE);
        let stamps = match cross_zone {
            true => Bytes::new(),
            false => self.stamps(now, stamp_limit),
        };
        Heartbeat {
            from: self.own_name.clone(),
            contact: self.contact.clone(),
            incarnation: self.incarnation,
            stamp: self.stamp(now),
            leaving: self.leaving,
            known: u16::try_from(self.peers.len()).unwrap_or(u16::MAX),
            facts: self.facts_at(now),
            gossip,
            stamps,
        }
    }

    /// Returns the facts, with their ages advanced by the time since they were set.
    fn facts_at(&self, now: Instant) -> Facts {
        let elapsed = now.saturating_duration_since(self.facts_at);
        Facts {
            news: self.facts.news.aged_by(elapsed),
            ..self.facts.clone()
        }
    }

    /// Returns the latest changes that are still to be repeated, first those of hosts
    /// that others may not know.
    fn changes(
        &mut self,
        now: Instant,
        limit: usize,
        newcomer: bool,
    ) -> SmallVec<[Gossip; GOSSIP_ENTRIES]> {
        let mut changed: Vec<&mut Peer> =
            self.peers.values_mut().filter(|p| p.repeats > 0).collect();
        changed.sort_by_key(|p| Reverse((p.is_unlisted(), p.changed, p.repeats)));
        let mut gossip = SmallVec::new();
        for peer in changed.into_iter().take(limit) {
            peer.repeats -= 1;
            gossip.push(peer.gossip(now, newcomer || peer.is_unlisted()));
        }
        gossip
    }

    /// Adds random hosts, so that a receiver that missed a change still gets it, and
    /// one that knows fewer hosts gets their addresses.
    fn add_random_hosts<R: Rng>(
        &self,
        now: Instant,
        rng: &mut R,
        count: usize,
        with_contact: bool,
        gossip: &mut SmallVec<[Gossip; GOSSIP_ENTRIES]>,
    ) {
        let heard: Vec<&Peer> = self
            .peers
            .values()
            .filter(|p| p.heard.is_some() && self.is_probed(now, p))
            .collect();
        for peer in heard.sample(rng, count) {
            if gossip.iter().any(|g| g.host == peer.name) {
                continue;
            }
            gossip.push(peer.gossip(now, with_contact));
        }
    }

    /// Packs stamps of the own zone's hosts and some of other zones' hosts.
    fn stamps(&mut self, now: Instant, limit: usize) -> Bytes {
        let mut buf = BytesMut::with_capacity(limit * StampEntry::BYTES);
        let other_zone_limit = limit / OTHER_ZONE_STAMPS_DIVISOR;
        for (in_zone, limit) in [(true, limit - other_zone_limit), (false, other_zone_limit)] {
            self.pack_stamps(now, in_zone, limit, &mut buf);
        }
        buf.freeze()
    }

    /// Packs stamps that grew since they were passed on, first those received within
    /// [`FRESH_STAMP_AGE`], then those that grew most.
    fn pack_stamps(&mut self, now: Instant, in_zone: bool, limit: usize, buf: &mut BytesMut) {
        let own = &self.contact.zone;
        let is_pending =
            |p: &&mut Peer| p.unpassed_ticks() > 0 && (p.contact.zone == *own) == in_zone;
        let mut pending: Vec<&mut Peer> = self.peers.values_mut().filter(is_pending).collect();
        if pending.len() > limit {
            let fresh = |p: &Peer| p.heard.is_some_and(|t| now < t + FRESH_STAMP_AGE);
            pending.select_nth_unstable_by_key(limit, |p| Reverse((fresh(p), p.unpassed_ticks())));
            pending.truncate(limit);
        }
        for peer in pending {
            if let Some(entry) = peer.pass_stamp(now) {
                entry.write(buf);
            }
        }
    }
}

fn direct(peer: &Peer) -> Probe {
    Probe::Direct {
        to: peer.name.clone(),
        address: peer.contact.peers,
    }
}
