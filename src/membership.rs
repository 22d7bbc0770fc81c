//! Group membership and failure detection among entry hosts.
//!
//! Performs no I/O: the caller sends the probes that [`Membership::probes`]
//! returns and reports their results. Routing may avoid an unreachable host, but
//! only [`PeerState::Gone`] means that its process has ended, and missing answers
//! alone never lead to that state.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use bytes::Bytes;
use rand::Rng;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{
    at_most_once::stamp_at,
    util::id::{
        HostName,
        Incarnation,
        Stamp,
        ZoneName, //
    },
};

pub mod list;
pub mod message;
pub mod peer;
pub mod probe;

pub use message::{
    Claim,
    Contact,
    Facts,
    Gossip,
    Heartbeat,
    LoadSummary,
    SetSummary,
    StampEntry, //
    WithdrawalDataAge,
};
pub use peer::{
    Listed,
    Peer,
    PeerState, //
};
pub use probe::Probe;

/// The interval between two rounds of probes.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Heartbeats that a host sends to hosts of its own zone each period.
pub const ZONE_FANOUT: usize = 2;
/// Minimum heartbeats to other zones each period, in thousandths.
pub const OTHER_ZONE_PROBES_MIN_MILLI: usize = 333;
/// Maximum heartbeats to other zones each period, in thousandths.
pub const OTHER_ZONE_PROBES_MAX_MILLI: usize = 3_000;
/// Hosts that are kept of each other zone, unless [`Membership::keep_all_hosts`] names it.
pub const OTHER_ZONE_HOSTS_MAX: usize = 8;
/// Gossip entries in a heartbeat within the zone; a newcomer gets more.
pub const GOSSIP_ENTRIES: usize = 4;
/// Maximum stamps of other hosts in a heartbeat.
pub const STAMP_ENTRIES: usize = 16;
/// Hosts that are asked to probe a host that did not answer a direct probe.
pub const INDIRECT_FANOUT: usize = 2;
/// How long a suspect host stays routable before it counts as unreachable.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(5);
/// A host heard within this time is not suspected because of another host's gossip.
pub const RECENTLY_HEARD: Duration = Duration::from_secs(2);
/// How long a host missing from the platform's list must leave probes unanswered to be gone.
pub const GONE_TIMEOUT: Duration = Duration::from_secs(120);
/// How long a host is remembered after it is gone.
pub const FORGET_AFTER: Duration = Duration::from_secs(600);
/// A longer gap between two ticks means that this process was suspended.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(5);
/// Random low bits that distinguish processes started in the same millisecond.
const INCARNATION_RANDOM_BITS: u32 = 12;

/// Returns the incarnation of a process that starts at a wall-clock time.
///
/// The time only orders the processes of one host name. If the clock lags behind
/// that of the previous process, [`Membership::superseded`] becomes true.
pub fn new_incarnation(unix_ms: u64, random_bits: u16) -> Incarnation {
    let random_bits = u64::from(random_bits) % (1 << INCARNATION_RANDOM_BITS);
    Incarnation((unix_ms << INCARNATION_RANDOM_BITS) | random_bits)
}

/// One host's view of all other hosts.
#[derive(Clone, Debug)]
pub struct Membership {
    own_name: HostName,
    contact: Contact,
    incarnation: Incarnation,
    started: Instant,
    facts: Facts,
    facts_at: Instant,
    leaving: bool,
    listed_leaving: bool,
    superseded: bool,
    peers: BTreeMap<HostName, Peer>,
    /// Other zones whose hosts are all kept.
    full_zones: BTreeSet<ZoneName>,
    /// Hosts of the own zone, and other zones, still to probe in this round.
    probe_queue: Vec<HostName>,
    zone_queue: Vec<ZoneName>,
    other_zone_credit_milli: usize,
    /// When this process started or last resumed after a pause, as of `last_tick`.
    resumed_at: Instant,
    last_tick: Instant,
}

impl Membership {
    /// Creates the view of a host that knows no others. Its own stamps count from `now`.
    pub fn new(
        own_name: HostName,
        contact: Contact,
        incarnation: Incarnation,
        now: Instant,
    ) -> Self {
        Self {
            own_name,
            contact,
            incarnation,
            started: now,
            facts: Facts::default(),
            facts_at: now,
            leaving: false,
            listed_leaving: false,
            superseded: false,
            peers: BTreeMap::new(),
            full_zones: BTreeSet::new(),
            probe_queue: Vec::new(),
            zone_queue: Vec::new(),
            other_zone_credit_milli: 0,
            resumed_at: now,
            last_tick: now,
        }
    }

    /// Sets the facts about this host, valid at `now`, that the next heartbeats carry.
    pub fn set_facts(&mut self, now: Instant, facts: Facts) {
        self.facts = facts;
        self.facts_at = now;
    }

    /// Marks this host as leaving in all further heartbeats.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Keeps all hosts of another zone from now on, for a plan that sends traffic there.
    pub fn keep_all_hosts(&mut self, zone: ZoneName) {
        self.full_zones.insert(zone);
    }

    /// Returns this host's own stamp at `now`.
    pub fn stamp(&self, now: Instant) -> Stamp {
        stamp_at(self.started, now)
    }

    /// Returns this process's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether another process with this host's name has a larger incarnation.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Returns whether the platform's list marks this host as leaving.
    pub fn listed_leaving(&self) -> bool {
        self.listed_leaving
    }

    /// Returns the entry of a known host other than this one.
    pub fn peer(&self, host: &HostName) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// Returns all known hosts, without this one.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the known hosts of a zone, without this one.
    pub fn zone_hosts(&self, zone: &ZoneName) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| p.contact.zone == *zone)
    }

    /// Returns the state of a host as judged at `now`, or `None` if it is unknown.
    pub fn state(&self, now: Instant, host: &HostName) -> Option<PeerState> {
        Some(self.peers.get(host)?.state(now, self.running_since(now)))
    }

    /// Returns whether an incarnation is known to have ended.
    pub fn is_gone(&self, now: Instant, host: &HostName, incarnation: Incarnation) -> bool {
        if *host == self.own_name {
            return incarnation < self.incarnation;
        }
        let Some(peer) = self.peers.get(host) else {
            return false;
        };
        let gone = peer.state(now, self.running_since(now)) == PeerState::Gone;
        incarnation < peer.incarnation || (incarnation == peer.incarnation && gone)
    }

    /// Returns the heartbeat to send to a host.
    pub fn heartbeat<R: Rng>(&mut self, now: Instant, to: &HostName, rng: &mut R) -> Heartbeat {
        let zone = self.peers.get(to).map(|p| &p.contact.zone);
        let cross_zone = zone.is_some_and(|z| *z != self.contact.zone);
        self.build_heartbeat(now, rng, cross_zone, usize::MAX)
    }

    /// Merges a received heartbeat and returns the reply.
    pub fn on_heartbeat<R: Rng>(&mut self, now: Instant, h: &Heartbeat, rng: &mut R) -> Heartbeat {
        self.merge(now, h);
        let cross_zone = h.contact.zone != self.contact.zone;
        let mut reply = self.build_heartbeat(now, rng, cross_zone, h.known.into());
        // Gossip about the newer incarnation lets an older process see that it is superseded.
        let known = self.peers.get(&h.from);
        if let Some(later) = known.filter(|p| p.incarnation > h.incarnation) {
            reply.gossip.push(later.gossip(now, false));
        }
        reply
    }

    /// Merges the reply to a heartbeat.
    pub fn on_reply(&mut self, now: Instant, reply: &Heartbeat) {
        self.merge(now, reply);
    }

    /// Records that a heartbeat to a host was not answered.
    ///
    /// Indirect probes follow with the next call of [`Self::probes`]. If no other
    /// live host is known that could send them, the host is suspect at once.
    pub fn on_probe_timeout(&mut self, now: Instant, host: &HostName) {
        let resumed_at = self.running_since(now);
        let helpers = self.peers.values();
        let live = |p: &&Peer| p.name != *host && p.state(now, resumed_at) == PeerState::Live;
        let alone = helpers.filter(live).count() == 0;
        let repeats = self.repeats();
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        if !alone {
            peer.unanswered = true;
            return;
        }
        if peer.suspect(now) {
            peer.schedule_gossip(now, repeats);
        }
    }

    /// Merges the result of an indirect probe: gossip about `target` if it answered.
    pub fn on_indirect_result(&mut self, now: Instant, target: &HostName, heard: Option<&Gossip>) {
        if let Some(gossip) = heard {
            self.on_gossip(now, gossip);
        }
        let repeats = self.repeats();
        let Some(peer) = self.peers.get_mut(target) else {
            return;
        };
        if peer.pending_indirect == 0 {
            return;
        }
        peer.pending_indirect = if heard.is_some() {
            0
        } else {
            peer.pending_indirect - 1
        };
        if heard.is_none() && peer.pending_indirect == 0 && peer.suspect(now) {
            peer.schedule_gossip(now, repeats);
        }
    }

    /// Returns the gossip about a host, to report the result of an indirect probe.
    pub fn gossip_about(&self, now: Instant, host: &HostName) -> Option<Gossip> {
        Some(self.peers.get(host)?.gossip(now, false))
    }

    /// Detects pauses of this process and forgets hosts [`FORGET_AFTER`] after they are gone.
    pub fn tick(&mut self, now: Instant) {
        self.resumed_at = self.running_since(now);
        self.last_tick = now;
        let resumed_at = self.resumed_at;
        self.peers.retain(|_, p| {
            let long = |t: Instant| now >= t.max(resumed_at) + GONE_TIMEOUT + FORGET_AFTER;
            p.listed != Listed::Absent || !p.suspected.is_some_and(long)
        });
    }

    /// Returns when this process started or last resumed after a pause.
    fn running_since(&self, now: Instant) -> Instant {
        if now.saturating_duration_since(self.last_tick) > PAUSE_THRESHOLD {
            return now;
        }
        self.resumed_at
    }

    fn merge(&mut self, now: Instant, h: &Heartbeat) {
        let claim = match h.leaving {
            true => Claim::Leaving,
            false => Claim::Live,
        };
        self.on_gossip(
            now,
            &Gossip {
                host: h.from.clone(),
                incarnation: h.incarnation,
                stamp: h.stamp,
                age_seconds: 0,
                claim,
                contact: Some(h.contact.clone()),
            },
        );
        let latest = |p: &&mut Peer| p.incarnation == h.incarnation && p.stamp == h.stamp;
        if let Some(peer) = self.peers.get_mut(&h.from).filter(latest) {
            peer.facts = Some(h.facts.clone());
        }
        for gossip in &h.gossip {
            self.on_gossip(now, gossip);
        }
        self.merge_stamps(now, h.stamps.clone());
    }

    fn merge_stamps(&mut self, now: Instant, mut packed: Bytes) {
        let mut entries: SmallVec<[StampEntry; STAMP_ENTRIES]> = SmallVec::new();
        while let Some(entry) = StampEntry::read(&mut packed) {
            entries.push(entry);
        }
        entries.sort_unstable();
        let repeats = self.repeats();
        for peer in self.peers.values_mut() {
            let Ok(i) = entries.binary_search_by_key(&peer.process_hash, |e| e.process_hash) else {
                continue;
            };
            if peer.refresh(now, &entries[i]) {
                peer.schedule_gossip(now, repeats);
            }
        }
    }

    fn on_gossip(&mut self, now: Instant, g: &Gossip) {
        if g.host == self.own_name {
            self.superseded |= g.incarnation > self.incarnation;
            return;
        }
        if !self.peers.contains_key(&g.host) {
            let Some(contact) = &g.contact else {
                return;
            };
            self.admit(now, &g.host, contact);
        }
        let repeats = self.repeats();
        let Some(peer) = self.peers.get_mut(&g.host) else {
            return;
        };
        if peer.merge(now, g) {
            peer.schedule_gossip(now, repeats);
        }
    }

    /// Returns how often each host repeats a change, logarithmic in the number of hosts
    /// so that gossip reaches all of them.
    fn repeats(&self) -> u32 {
        2 * (usize::BITS - self.peers.len().leading_zeros())
    }

    fn zone_size(&self) -> usize {
        self.zone_hosts(&self.contact.zone).count()
    }
}
