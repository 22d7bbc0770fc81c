//! What one entry host knows of the others.
//!
//! Pure: the owner sends the probes that [`Membership::probes`] returns and
//! reports their answers. Routing may avoid an unreachable host; only
//! [`PeerState::Gone`] says that a process has ended, and silence alone never
//! gives that.

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
    NewsAge,
    SetSummary,
    StampEntry, //
};
pub use peer::{
    Listed,
    Peer,
    PeerState, //
};
pub use probe::Probe;

/// How often a host probes.
pub const PERIOD: Duration = Duration::from_secs(1);
/// Hosts of its own zone that it sends a heartbeat to each period.
pub const ZONE_FANOUT: usize = 2;
/// Heartbeats to other zones each period at least, in thousandths.
pub const OTHER_ZONES_MIN_MILLI: usize = 333;
/// Heartbeats to other zones each period at most, in thousandths.
pub const OTHER_ZONES_MAX_MILLI: usize = 3_000;
/// Hosts of each other zone that it keeps.
pub const OTHER_ZONE_HOSTS: usize = 8;
/// Changes that a heartbeat passes on.
pub const GOSSIP_ENTRIES: usize = 4;
/// Stamps of other hosts that a heartbeat passes on.
pub const STAMP_ENTRIES: usize = 16;
/// Hosts that are asked to probe a host that did not answer.
pub const INDIRECT_FANOUT: usize = 2;
/// How long a suspect host stays routable.
pub const SUSPECT_BOUND: Duration = Duration::from_secs(5);
/// How long after it was heard a host is not suspected on another's word.
pub const HEARD_BOUND: Duration = Duration::from_secs(2);
/// How long a host that the platform's list dropped must leave probes unanswered to be gone.
pub const GONE_SILENCE: Duration = Duration::from_secs(120);
/// How long a host that is gone is remembered.
pub const FORGET_AFTER: Duration = Duration::from_secs(600);
/// A longer time between two ticks means that this process did not run.
pub const PAUSE_BOUND: Duration = Duration::from_secs(5);
/// Low bits of an incarnation that tell processes started in one millisecond apart.
const INCARNATION_NOISE_BITS: u32 = 12;

/// Returns the incarnation of a process that starts at a clock time.
///
/// The clock time serves for order only; a process whose clock lags behind its
/// predecessor's learns so by [`Membership::superseded`].
pub fn new_incarnation(unix_ms: u64, noise: u16) -> Incarnation {
    let noise = u64::from(noise) % (1 << INCARNATION_NOISE_BITS);
    Incarnation((unix_ms << INCARNATION_NOISE_BITS) | noise)
}

/// What one host knows of the others.
#[derive(Clone, Debug)]
pub struct Membership {
    me: HostName,
    contact: Contact,
    incarnation: Incarnation,
    started: Instant,
    facts: Facts,
    facts_at: Instant,
    leaving: bool,
    listed_leaving: bool,
    superseded: bool,
    peers: BTreeMap<HostName, Peer>,
    /// Other zones of which all hosts are kept.
    whole_zones: BTreeSet<ZoneName>,
    /// Hosts of the own zone and other zones still to probe in this round.
    round: Vec<HostName>,
    zone_round: Vec<ZoneName>,
    other_zones_milli: usize,
    /// Since when this process has run without a pause.
    listening: Instant,
    ticked: Instant,
}

impl Membership {
    /// Creates the view of a host that knows only itself. Its stamps count from `now`.
    pub fn new(me: HostName, contact: Contact, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            me,
            contact,
            incarnation,
            started: now,
            facts: Facts::default(),
            facts_at: now,
            leaving: false,
            listed_leaving: false,
            superseded: false,
            peers: BTreeMap::new(),
            whole_zones: BTreeSet::new(),
            round: Vec::new(),
            zone_round: Vec::new(),
            other_zones_milli: 0,
            listening: now,
            ticked: now,
        }
    }

    /// Sets what the next heartbeats tell, as it stands now.
    pub fn set_facts(&mut self, now: Instant, facts: Facts) {
        self.facts = facts;
        self.facts_at = now;
    }

    /// Says from now on that this host is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Keeps all listed hosts of another zone, for a plan that sends traffic there.
    pub fn keep_whole(&mut self, zone: ZoneName) {
        self.whole_zones.insert(zone);
    }

    /// Returns this host's own stamp.
    pub fn stamp(&self, now: Instant) -> Stamp {
        stamp_at(self.started, now)
    }

    /// Returns this process's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Tells whether another process of this host's name has a larger incarnation.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Tells whether the platform's list says that this host is leaving.
    pub fn listed_leaving(&self) -> bool {
        self.listed_leaving
    }

    /// Returns what is known of a host.
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

    /// Returns what a host is taken for.
    pub fn state(&self, now: Instant, host: &HostName) -> Option<PeerState> {
        Some(self.peers.get(host)?.state(now, self.listening_since(now)))
    }

    /// Tells whether an incarnation has ended, as far as that is known.
    pub fn is_gone(&self, now: Instant, host: &HostName, incarnation: Incarnation) -> bool {
        if *host == self.me {
            return incarnation < self.incarnation;
        }
        let Some(peer) = self.peers.get(host) else {
            return false;
        };
        let gone = peer.state(now, self.listening_since(now)) == PeerState::Gone;
        incarnation < peer.incarnation || (incarnation == peer.incarnation && gone)
    }

    /// Returns the heartbeat to send to a host.
    pub fn heartbeat<R: Rng>(&mut self, now: Instant, to: &HostName, rng: &mut R) -> Heartbeat {
        let zone = self.peers.get(to).map(|p| &p.contact.zone);
        let far = zone.is_some_and(|z| *z != self.contact.zone);
        self.compose(now, rng, far, usize::MAX)
    }

    /// Takes in a heartbeat and returns the answer.
    pub fn on_heartbeat<R: Rng>(&mut self, now: Instant, h: &Heartbeat, rng: &mut R) -> Heartbeat {
        self.merge(now, h);
        let far = h.contact.zone != self.contact.zone;
        let mut reply = self.compose(now, rng, far, h.known.into());
        // A process with a smaller incarnation than known learns that it is not the latest.
        let known = self.peers.get(&h.from);
        if let Some(later) = known.filter(|p| p.incarnation > h.incarnation) {
            reply.gossip.push(later.gossip(now, false));
        }
        reply
    }

    /// Takes in the answer to a heartbeat.
    pub fn on_reply(&mut self, now: Instant, reply: &Heartbeat) {
        self.merge(now, reply);
    }

    /// Notes that a heartbeat to a host was not answered.
    pub fn on_silence(&mut self, now: Instant, host: &HostName) {
        let listening = self.listening_since(now);
        let helpers = self.peers.values();
        let live = |p: &&Peer| p.name != *host && p.state(now, listening) == PeerState::Live;
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
            peer.pass_on(now, repeats);
        }
    }

    /// Takes in what a host that was asked to probe another one heard of it.
    pub fn on_indirect(&mut self, now: Instant, target: &HostName, heard: Option<&Gossip>) {
        if let Some(gossip) = heard {
            self.on_gossip(now, gossip);
        }
        let repeats = self.repeats();
        let Some(peer) = self.peers.get_mut(target) else {
            return;
        };
        if peer.indirect == 0 {
            return;
        }
        peer.indirect = if heard.is_some() {
            0
        } else {
            peer.indirect - 1
        };
        if heard.is_none() && peer.indirect == 0 && peer.suspect(now) {
            peer.pass_on(now, repeats);
        }
    }

    /// Returns what this host would pass on about another one that it just probed.
    pub fn gossip_of(&self, now: Instant, host: &HostName) -> Option<Gossip> {
        Some(self.peers.get(host)?.gossip(now, false))
    }

    /// Notes pauses of this process and forgets hosts that are long gone.
    pub fn tick(&mut self, now: Instant) {
        self.listening = self.listening_since(now);
        self.ticked = now;
        let listening = self.listening;
        self.peers.retain(|_, p| {
            let long = |t: Instant| now >= t.max(listening) + GONE_SILENCE + FORGET_AFTER;
            p.listed != Listed::Absent || !p.suspected.is_some_and(long)
        });
    }

    /// Returns since when this process has run without a pause.
    fn listening_since(&self, now: Instant) -> Instant {
        if now.saturating_duration_since(self.ticked) > PAUSE_BOUND {
            return now;
        }
        self.listening
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
            let Ok(i) = entries.binary_search_by_key(&peer.life, |e| e.life) else {
                continue;
            };
            if peer.refresh(now, &entries[i]) {
                peer.pass_on(now, repeats);
            }
        }
    }

    fn on_gossip(&mut self, now: Instant, g: &Gossip) {
        if g.host == self.me {
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
            peer.pass_on(now, repeats);
        }
    }

    /// Returns how often a change is passed on so that it reaches all hosts.
    fn repeats(&self) -> u32 {
        2 * (usize::BITS - self.peers.len().leading_zeros())
    }

    fn zone_size(&self) -> usize {
        self.zone_hosts(&self.contact.zone).count()
    }
}
