//! The other entry hosts: which of them take requests, and who leads each zone.
//!
//! The hosts of a zone report to its leader, and the leader tells them what it knows of
//! the fleet. Leaders tell one another. So a host hears a few messages a second whatever
//! the size of the fleet, and only leaders hear more where their zone is larger.
//!
//! Nobody is elected. The best host of a zone that is heard leads it: the largest one that
//! is ready. Two hosts that both lead for a moment do no harm, since nothing that a leader
//! does is a permission: it names hosts, relays what the store says, and keeps count of the
//! slots of upstreams.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt,
    net::SocketAddr,
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    datagram::{
        Digest,
        HostState,
        Offered,
        Report,
        Sender,
        ZoneDigest, //
    },
    follow::{
        Level,
        Relay, //
    },
    model::HostRegistration,
};
use crate::util::id::{
    HostName,
    Incarnation,
    RegionName,
    ServiceName,
    ZoneName, //
};

/// The time between two reports of a host, and between two digests of a leader, in a small zone.
pub const BEAT: Duration = Duration::from_millis(300);
/// The hosts of a zone up to which [`BEAT`] holds; the beat grows with larger zones, so that
/// a leader's share of its processor does not.
const SMALL_ZONE: usize = 16;
/// Beats of a leader between two digests to leaders of other regions; bytes to them are dear.
pub const FAR_BEATS: u32 = 3;
/// Messages that are missed before a host counts as silent.
const MISSED_MAX: u32 = 3;
/// Time for a message's way and for timers that fire late.
const BEAT_SLACK: Duration = Duration::from_millis(150);
/// How long a host has to take requests before it is fit to lead, and to take none before it
/// is not. All hosts become ready by the same news, and hear of one another later.
const FIT_AFTER: Duration = Duration::from_millis(2000);
/// Beats that a host waits beyond that which does not lead.
const FIT_BEATS: u32 = 2;
/// Hosts of a zone whose leader is not known that are told of other zones.
const GUESSED_LEADERS: usize = 2;
/// Turns of hosts that wait for larger ones to lead, in one beat.
const TURNS_IN_BEAT: u32 = 2;
/// The most turns that a host waits.
const TURNS_MAX: u32 = 6;
/// Hosts of a region up to which one of them keeps the slots of all its zones; larger
/// regions have one such host a zone.
const REGION_DOMAIN_HOSTS: usize = 12;
/// Messages of a process that must be missing before one with a smaller number replaces it.
const MISSED_BY_OLD_PROCESS: u32 = 4;

/// What ranks hosts that may lead: whether they are ready, their size, and chance.
type Rank = (bool, u32, u64);

/// Upstreams whose slots one host keeps.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Domain {
    /// Those of a zone.
    Zone(ZoneName),
    /// Those of all zones of a region.
    Region(RegionName),
}

impl fmt::Display for Domain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zone(zone) => zone.fmt(f),
            Self::Region(region) => region.fmt(f),
        }
    }
}

/// What is known of one other host.
#[derive(Clone, Debug)]
struct Peer {
    entry: HostRegistration,
    /// Breaks ties between hosts of one size.
    chance: u64,
    incarnation: Incarnation,
    sequence: u64,
    /// When it last spoke to this host itself.
    heard: Option<Instant>,
    state: HostState,
    offered: Vec<Offered>,
}

impl Peer {
    fn new(entry: HostRegistration) -> Self {
        Self {
            chance: chance(&entry.name),
            entry,
            incarnation: Incarnation::default(),
            sequence: 0,
            heard: None,
            state: HostState::Stale,
            offered: Vec::new(),
        }
    }

    fn note_state(&mut self, state: HostState) {
        if self.state != state {
            log::info!(event = "host-state", host:% = self.entry.name, state:?; "");
            self.state = state;
        }
    }

    fn is_heard(&self, now: Instant, patience: Duration) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        self.heard.is_some_and(|at| since(at) < patience)
    }
}

fn chance(host: &HostName) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}

/// What a zone's leader told of it.
#[derive(Clone, Debug)]
struct View {
    leader: HostName,
    at: Instant,
    /// Its registered hosts that take no requests.
    away: BTreeSet<HostName>,
    /// Whether the leader said that it is fit to lead.
    is_fit: bool,
    /// Whether it reads the store.
    reads: bool,
    offered: Vec<Offered>,
}

impl View {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }
}

/// The other hosts.
#[derive(Clone, Debug)]
pub struct Peers {
    own: HostRegistration,
    own_chance: u64,
    regions: BTreeMap<ZoneName, RegionName>,
    peers: BTreeMap<HostName, Peer>,
    /// Registered hosts of each zone, the own one among them.
    sizes: BTreeMap<ZoneName, usize>,
    views: BTreeMap<ZoneName, View>,
    /// What another host told that leads the own zone too, and is no better. It may have heard
    /// hosts that this one has not.
    rival: Option<View>,
    /// Whether this host takes requests, and since when it does or does not.
    is_ready: bool,
    state_since: Option<Instant>,
    /// Whether this host reads the store, and is answered.
    own_reads: bool,
    /// Whether this host would lead better than one that takes no requests.
    is_fit: bool,
    /// When this host began to listen for a leader.
    listened_since: Option<Instant>,
    /// When this host last heard a better one that leads its zone.
    deferred_at: Option<Instant>,
    /// Since when this host leads its zone.
    leading_since: Option<Instant>,
}

impl Peers {
    /// Returns the peers of a host that knows none yet.
    pub fn new(own: HostRegistration, regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self {
            own_chance: chance(&own.name),
            sizes: BTreeMap::from([(own.zone.clone(), 1)]),
            own,
            regions,
            peers: BTreeMap::new(),
            views: BTreeMap::new(),
            rival: None,
            is_ready: false,
            state_since: None,
            own_reads: false,
            is_fit: false,
            listened_since: None,
            deferred_at: None,
            leading_since: None,
        }
    }

    /// Notes that the registered hosts are known; this host begins to listen for a leader.
    pub fn listen(&mut self, now: Instant) {
        self.listened_since.get_or_insert(now);
    }

    /// Takes in a registration.
    pub fn register(&mut self, entry: HostRegistration) {
        if let Some(peer) = self.peers.get_mut(&entry.name) {
            if peer.entry.zone == entry.zone {
                peer.entry = entry;
                return;
            }
            let name = entry.name.clone();
            self.remove(&name);
        }
        *self.sizes.entry(entry.zone.clone()).or_default() += 1;
        self.peers.insert(entry.name.clone(), Peer::new(entry));
    }

    /// Forgets a host whose registration was removed.
    pub fn remove(&mut self, host: &HostName) {
        let Some(peer) = self.peers.remove(host) else {
            return;
        };
        if let Some(size) = self.sizes.get_mut(&peer.entry.zone) {
            *size = size.saturating_sub(1);
        }
    }

    /// Returns the names of all registered hosts.
    pub fn names(&self) -> Vec<HostName> {
        self.peers.keys().cloned().collect()
    }

    /// Returns the number of registered hosts.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no other host is registered.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns how many hosts of a zone are registered, the own one among them.
    pub fn registered_in(&self, zone: &ZoneName) -> usize {
        self.sizes.get(zone).copied().unwrap_or(0)
    }

    /// Returns how many hosts of a region are registered, the own one among them.
    pub fn registered_in_region(&self, region: &RegionName) -> usize {
        let zones = self.regions.iter().filter(|(_, r)| *r == region);
        zones.map(|(zone, _)| self.registered_in(zone)).sum()
    }

    /// Returns the registered hosts by zone, without the own one.
    pub fn by_zone(&self) -> BTreeMap<ZoneName, Vec<HostName>> {
        let mut zones: BTreeMap<ZoneName, Vec<HostName>> = BTreeMap::new();
        for peer in self.peers.values() {
            let hosts = zones.entry(peer.entry.zone.clone()).or_default();
            hosts.push(peer.entry.name.clone());
        }
        zones
    }

    /// Returns the address that messages to a host go to.
    pub fn address(&self, host: &HostName) -> Option<SocketAddr> {
        self.peers.get(host).map(|p| p.entry.peers)
    }

    /// Returns a host's zone.
    pub fn zone(&self, host: &HostName) -> Option<&ZoneName> {
        self.peers.get(host).map(|p| &p.entry.zone)
    }

    /// Returns the time between two messages of the hosts of a zone.
    fn beat_of(&self, zone: &ZoneName) -> Duration {
        let times = self.registered_in(zone).div_ceil(SMALL_ZONE).max(1);
        BEAT * u32::try_from(times).unwrap_or(u32::MAX)
    }

    /// Returns the time between two messages of this host to its zone.
    pub fn beat(&self) -> Duration {
        self.beat_of(&self.own.zone)
    }

    /// Returns how long news of a zone may be missing before its leader counts as silent.
    pub fn patience(&self, zone: &ZoneName) -> Duration {
        let beat = self.beat_of(zone);
        if *zone == self.own.zone {
            return beat * MISSED_MAX + BEAT_SLACK;
        }
        // The own leader hands on what it heard, one beat later at most.
        let beats = match self.is_near(zone) {
            true => MISSED_MAX,
            false => MISSED_MAX * FAR_BEATS,
        };
        beat * beats + self.beat() + BEAT_SLACK
    }

    fn is_near(&self, zone: &ZoneName) -> bool {
        self.regions.get(zone) == self.regions.get(&self.own.zone)
    }

    /// Notes that a host spoke; returns whether the message is not older than one heard before.
    ///
    /// An unknown host cannot be answered and is not heard.
    pub fn hear(&mut self, now: Instant, from: &Sender) -> bool {
        let silence = self.beat() * MISSED_BY_OLD_PROCESS;
        let Some(peer) = self.peers.get_mut(&from.host) else {
            return false;
        };
        // A clock that stepped back gives a later process the smaller number.
        let is_newer = match from.incarnation == peer.incarnation {
            true => from.sequence > peer.sequence,
            false => {
                from.incarnation > peer.incarnation
                    || peer.heard.is_none_or(|at| now >= at + silence)
            }
        };
        if is_newer {
            peer.incarnation = from.incarnation;
            peer.sequence = from.sequence;
            peer.heard = Some(now);
        }
        is_newer
    }

    /// Takes in the report of a host of the own zone.
    pub fn hear_report(&mut self, now: Instant, msg: &Report) {
        if !self.hear(now, &msg.from) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&msg.from.host) {
            peer.note_state(msg.state);
            peer.offered.clone_from(&msg.offered);
        }
    }

    /// Takes in what a leader told.
    pub fn hear_digest(&mut self, now: Instant, msg: &Digest) {
        if !self.hear(now, &msg.from) {
            return;
        }
        let Some(sender) = self.peers.get_mut(&msg.from.host) else {
            return;
        };
        sender.note_state(msg.state);
        let zone = sender.entry.zone.clone();
        for told in &msg.zones {
            // Who leads the own zone is heard from the leader itself.
            let is_own = told.zone == self.own.zone;
            if is_own && (told.leader != msg.from.host || zone != self.own.zone) {
                continue;
            }
            let age = Duration::from_millis(u64::from(told.age_ms));
            if let Some(at) = now.checked_sub(age) {
                self.take_view(now, at, told);
            }
        }
    }

    fn take_view(&mut self, now: Instant, at: Instant, told: &ZoneDigest) {
        let known = self.views.get(&told.zone);
        if known.is_some_and(|v| v.at >= at) {
            return;
        }
        let known = known.filter(|v| v.leader == told.leader);
        let view = View {
            leader: told.leader.clone(),
            at,
            away: told.away.iter().cloned().collect(),
            is_fit: told.is_fit,
            reads: told.reads,
            offered: told.offered.clone(),
        };
        if !self.may_take(now, &told.zone, &view) {
            if told.zone == self.own.zone {
                self.rival = Some(view);
            }
            return;
        }
        if known.is_none() {
            log::info!(event = "zone-leader", zone:% = told.zone, host:% = told.leader; "");
        }
        self.views.insert(told.zone.clone(), view);
    }

    /// Returns whether news of a zone comes from a leader that is as good as the known one.
    fn may_take(&self, now: Instant, zone: &ZoneName, view: &View) -> bool {
        let rank = self.rank_of(&view.leader, view.is_fit);
        let Some(known) = self.fresh_view(now, zone) else {
            return *zone != self.own.zone || rank > Some(self.own_rank(now));
        };
        known.leader == view.leader || rank >= self.rank_of(&known.leader, known.is_fit)
    }

    fn rank_of(&self, host: &HostName, is_ready: bool) -> Option<Rank> {
        let peer = self.peers.get(host)?;
        Some((is_ready, peer.entry.millicores, peer.chance))
    }

    fn own_rank(&self, now: Instant) -> Rank {
        let is_fit = self.is_fit && !self.is_alone(now);
        (is_fit, self.own.millicores, self.own_chance)
    }

    /// Returns whether this host leads a zone of several hosts and hears none of them, as one
    /// does that is cut off. What it could tell of them is worth nothing.
    fn is_alone(&self, now: Instant) -> bool {
        let patience = self.patience(&self.own.zone);
        let is_new = |at| now.saturating_duration_since(at) < patience;
        if self.leading_since.is_none_or(is_new) {
            return false;
        }
        let mut near = self.of_zone(&self.own.zone).peekable();
        near.peek().is_some() && !near.any(|p| p.is_heard(now, patience))
    }

    /// Returns the registered hosts of a zone.
    fn of_zone<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = &'a Peer> {
        self.peers.values().filter(move |p| p.entry.zone == *zone)
    }

    /// Returns what is known of a zone, where it is young enough to rely on its leader.
    fn fresh_view(&self, now: Instant, zone: &ZoneName) -> Option<&View> {
        let view = self.views.get(zone)?;
        (view.age(now) < self.patience(zone)).then_some(view)
    }

    /// Returns how many hosts of the own zone are larger and may still be there.
    fn place(&self) -> u32 {
        let own = (self.own.millicores, self.own_chance);
        let view = self.views.get(&self.own.zone);
        let is_away = |p: &Peer| view.is_some_and(|v| v.away.contains(&p.entry.name));
        let near = self.of_zone(&self.own.zone);
        let larger = near.filter(|p| (p.entry.millicores, p.chance) > own && !is_away(p));
        u32::try_from(larger.count()).unwrap_or(u32::MAX)
    }

    /// Notes that this host is about to stop; others lead in its place at once.
    pub fn leave(&mut self, now: Instant) {
        self.update(now, false, false);
        self.is_fit = false;
    }

    /// Notes whether this host takes requests and reads the store, and decides whether it leads its zone now: it
    /// has heard no better host lately. Smaller hosts wait a little longer for larger ones,
    /// so that mostly one host follows a leader that ended.
    pub fn update(&mut self, now: Instant, is_ready: bool, reads: bool) {
        self.own_reads = reads;
        if is_ready != self.is_ready || self.state_since.is_none() {
            self.is_ready = is_ready;
            self.state_since = Some(now);
        }
        // A leader says that it is fit before its followers could think that they are fitter.
        let wait = match self.leads() {
            true => FIT_AFTER,
            false => FIT_AFTER + self.beat() * FIT_BEATS,
        };
        let lasts = |at| now.saturating_duration_since(at) >= wait;
        if self.state_since.is_some_and(lasts) {
            self.is_fit = is_ready;
        }
        let leads = self.should_lead(now);
        if leads == self.leading_since.is_some() {
            return;
        }
        self.leading_since = leads.then_some(now);
        log::info!(event = "leading", leads, zone:% = self.own.zone; "");
    }

    fn should_lead(&mut self, now: Instant) -> bool {
        let Some(listened_since) = self.listened_since else {
            return false;
        };
        let zone = &self.own.zone;
        let better = self
            .fresh_view(now, zone)
            .filter(|v| self.rank_of(&v.leader, v.is_fit) > Some(self.own_rank(now)));
        if better.is_some() {
            self.deferred_at = Some(now);
            return false;
        }
        let place = self.place();
        if self.leads() || place == 0 {
            return true;
        }
        let heard_until = self
            .deferred_at
            .unwrap_or(listened_since + self.patience(zone));
        now >= heard_until + self.beat() * place.min(TURNS_MAX) / TURNS_IN_BEAT
    }

    /// Returns whether this host leads its zone.
    pub fn leads(&self) -> bool {
        self.leading_since.is_some()
    }

    /// Returns the host that leads a zone; none where it is not known or silent.
    pub fn leader(&self, now: Instant, zone: &ZoneName) -> Option<&HostName> {
        if *zone == self.own.zone && self.leads() {
            return Some(&self.own.name);
        }
        self.fresh_view(now, zone).map(|v| &v.leader)
    }

    /// Returns the best leader of some zones, the own host among them.
    fn best_leader<'a>(
        &'a self,
        now: Instant,
        zones: impl Iterator<Item = &'a ZoneName>,
    ) -> Option<&'a HostName> {
        let ranked = zones.filter_map(|zone| {
            if *zone == self.own.zone && self.leads() {
                return Some((self.own_rank(now), &self.own.name));
            }
            let view = self.fresh_view(now, zone)?;
            Some((self.rank_of(&view.leader, view.is_fit)?, &view.leader))
        });
        ranked.max_by_key(|(rank, _)| *rank).map(|(_, host)| host)
    }

    /// Returns the zones of a region.
    fn zones_of<'a>(&'a self, region: &'a RegionName) -> impl Iterator<Item = &'a ZoneName> {
        let zones = self.regions.iter().filter(move |(_, r)| *r == region);
        zones.map(|(zone, _)| zone)
    }

    /// Returns the host that keeps the slots of a domain's upstreams; none where none is known.
    pub fn scheduler<'a>(&'a self, now: Instant, domain: &'a Domain) -> Option<&'a HostName> {
        match domain {
            Domain::Zone(zone) => self.leader(now, zone),
            Domain::Region(region) => self.best_leader(now, self.zones_of(region)),
        }
    }

    /// Returns whether this host decides how its region's requests are shared among regions:
    /// all its hosts have to send an object the same way. Alone, each decides for itself.
    pub fn decides_shares(&self, now: Instant) -> bool {
        let Some(region) = self.regions.get(&self.own.zone) else {
            return true;
        };
        let best = self.best_leader(now, self.zones_of(region));
        best.is_none_or(|host| *host == self.own.name)
    }

    /// Returns whether a leader may hand on the shares that another host decided.
    pub fn takes_shares_of(&self, now: Instant, host: &HostName) -> bool {
        if self.decides_shares(now) {
            return false;
        }
        if !self.leads() {
            return self.leader(now, &self.own.zone) == Some(host);
        }
        let region = self.regions.get(&self.own.zone);
        region.and_then(|r| self.best_leader(now, self.zones_of(r))) == Some(host)
    }

    /// Returns the domain that a zone's upstreams belong to.
    pub fn domain_of(&self, zone: &ZoneName) -> Domain {
        match self.regions.get(zone) {
            Some(region) if self.registered_in_region(region) <= REGION_DOMAIN_HOSTS => {
                Domain::Region(region.clone())
            }
            _ => Domain::Zone(zone.clone()),
        }
    }

    /// Returns whom this host asks for news of the store: a host of a zone its leader, that one
    /// the best leader of its region, and this the best host that reads the store. None where
    /// it reads for itself.
    pub fn relay(&self, now: Instant) -> Option<Relay> {
        if !self.leads() {
            let leader = self.leader(now, &self.own.zone);
            let address = match leader {
                Some(leader) => self.address(leader),
                None => self.first_relay(now),
            };
            return Some(Relay {
                address: address?,
                level: Level::Member,
            });
        }
        let region = self.regions.get(&self.own.zone)?;
        let best = self.best_leader(now, self.zones_of(region))?;
        if *best != self.own.name {
            return Some(Relay {
                address: self.address(best)?,
                level: Level::Zone,
            });
        }
        Some(Relay {
            address: self.best_reader(now)?,
            level: Level::Region,
        })
    }

    /// Returns the best other host that reads the store, where it is better than the own one
    /// or the own one cannot read.
    fn best_reader(&self, now: Instant) -> Option<SocketAddr> {
        let others = self.views.keys().filter(|zone| **zone != self.own.zone);
        let readers = others.filter_map(|zone| {
            let view = self.fresh_view(now, zone).filter(|v| v.reads)?;
            Some((self.rank_of(&view.leader, view.is_fit)?, &view.leader))
        });
        let (rank, best) = readers.max_by_key(|(rank, _)| *rank)?;
        match self.own_reads && self.own_rank(now) > rank {
            true => None,
            false => self.address(best),
        }
    }

    /// Returns whether other hosts ask this one for news.
    pub fn has_followers(&self, now: Instant) -> bool {
        self.leads() && !self.is_alone(now)
    }

    /// Returns the host that a starting one asks before it has heard any: the largest
    /// one registered in its zone; none where it is the own one.
    fn first_relay(&self, now: Instant) -> Option<SocketAddr> {
        let listened = now.saturating_duration_since(self.listened_since?);
        if listened >= self.patience(&self.own.zone) {
            return None;
        }
        let near = self.of_zone(&self.own.zone);
        let best = near.max_by_key(|p| (p.entry.millicores, p.chance))?;
        let own = (self.own.millicores, self.own_chance);
        (own < (best.entry.millicores, best.chance)).then_some(best.entry.peers)
    }

    /// Returns whether a host takes requests, as far as is known.
    fn is_ready(&self, now: Instant, peer: &Peer) -> bool {
        let zone = &peer.entry.zone;
        let view = self.views.get(zone);
        if *zone != self.own.zone || !self.leads() {
            // A zone whose leader ended is still there.
            return view.is_some_and(|v| {
                v.age(now) < self.patience(zone) * 2 && !v.away.contains(&peer.entry.name)
            });
        }
        if peer.is_heard(now, self.patience(zone)) {
            return peer.state == HostState::Ready;
        }
        // A new leader takes over what others told, until all had time to report to it.
        let patience = self.patience(zone);
        let is_young = |at| now.saturating_duration_since(at) < patience;
        let is_new = self.leading_since.is_some_and(is_young);
        let before = view.filter(|_| is_new);
        let beside = self.rival.as_ref().filter(|v| is_young(v.at));
        [before, beside]
            .into_iter()
            .flatten()
            .any(|v| !v.away.contains(&peer.entry.name))
    }

    /// Returns the hosts that take requests.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &HostRegistration> {
        let ready = self.peers.values().filter(move |p| self.is_ready(now, p));
        ready.map(|p| &p.entry)
    }

    /// Returns whether a host takes requests, by its name.
    pub fn is_live(&self, now: Instant, host: &HostName) -> bool {
        self.peers.get(host).is_some_and(|p| self.is_ready(now, p))
    }

    /// Returns what the callers of other hosts send to a service, with the region of each.
    pub fn offered<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a RegionName, &'a Offered)> {
        let leads = self.leads();
        let own = &self.own.zone;
        let patience = self.patience(own);
        let reports = self
            .peers
            .values()
            .filter(move |p| leads && p.entry.zone == *own && p.is_heard(now, patience));
        let reports = reports.map(|p| (&p.entry.zone, &p.offered));
        let views = self
            .views
            .iter()
            .filter(move |(zone, v)| v.age(now) < self.patience(zone) && !(leads && *zone == own));
        let views = views.map(|(zone, v)| (zone, &v.offered));
        reports
            .chain(views)
            .filter_map(|(zone, offered)| Some((self.regions.get(zone)?, offered)))
            .flat_map(|(region, offered)| offered.iter().map(move |o| (region, o)))
            .filter(move |(_, o)| o.service == *service)
    }

    /// Returns whether [`Self::offered`] holds what this host's own callers send.
    pub fn is_told_of_own(&self, now: Instant) -> bool {
        !self.leads() && self.fresh_view(now, &self.own.zone).is_some()
    }

    /// Returns what this host, as leader of its zone, tells of it.
    pub fn own_zone(&self, now: Instant, own_offered: &[Offered]) -> ZoneDigest {
        let zone = &self.own.zone;
        let near = || self.of_zone(zone);
        let mut away: Vec<HostName> = near()
            .filter(|p| !self.is_ready(now, p))
            .map(|p| p.entry.name.clone())
            .collect();
        if !self.is_ready {
            away.push(self.own.name.clone());
        }
        let patience = self.patience(zone);
        let reports = near().filter(|p| p.is_heard(now, patience));
        let offered = reports.flat_map(|p| &p.offered).chain(own_offered);
        ZoneDigest {
            zone: zone.clone(),
            leader: self.own.name.clone(),
            age_ms: 0,
            is_fit: self.is_fit && !self.is_alone(now),
            reads: self.own_reads,
            away,
            offered: summed(offered),
        }
    }

    /// Returns what other zones' leaders told lately.
    pub fn other_zones(&self, now: Instant) -> Vec<ZoneDigest> {
        let others = self
            .views
            .iter()
            .filter(|(zone, _)| **zone != self.own.zone);
        let fresh = others.filter(|(zone, v)| v.age(now) < self.patience(zone));
        let told = fresh.map(|(zone, v)| ZoneDigest {
            zone: zone.clone(),
            leader: v.leader.clone(),
            age_ms: u32::try_from(v.age(now).as_millis()).unwrap_or(u32::MAX),
            is_fit: v.is_fit,
            reads: v.reads,
            away: v.away.iter().cloned().collect(),
            offered: v.offered.clone(),
        });
        told.collect()
    }

    /// Returns the addresses of the other hosts of the own zone.
    pub fn zone_addresses(&self) -> Vec<SocketAddr> {
        let near = self.of_zone(&self.own.zone);
        near.map(|p| p.entry.peers).collect()
    }

    /// Returns the addresses of the leaders of other zones, of the own region or of others.
    pub fn leader_addresses(&self, now: Instant, in_region: bool) -> Vec<SocketAddr> {
        let zones = self.regions.keys().filter(|z| **z != self.own.zone);
        let zones = zones.filter(|z| self.is_near(z) == in_region);
        let leaders = |zone: &ZoneName| -> SmallVec<[SocketAddr; GUESSED_LEADERS]> {
            match self.fresh_view(now, zone) {
                Some(view) => self.address(&view.leader).into_iter().collect(),
                None => self.largest_of(zone),
            }
        };
        zones.flat_map(leaders).collect()
    }

    /// Returns the addresses of the largest registered hosts of a zone, who may lead it.
    fn largest_of(&self, zone: &ZoneName) -> SmallVec<[SocketAddr; GUESSED_LEADERS]> {
        let hosts = self.of_zone(zone);
        let mut hosts: Vec<&Peer> = hosts.collect();
        hosts.sort_unstable_by_key(|p| std::cmp::Reverse((p.entry.millicores, p.chance)));
        let largest = hosts.into_iter().take(GUESSED_LEADERS);
        largest.map(|p| p.entry.peers).collect()
    }
}

/// Returns the rates of each service added up.
fn summed<'a>(offered: impl Iterator<Item = &'a Offered>) -> Vec<Offered> {
    let mut sums: Vec<Offered> = Vec::new();
    for o in offered {
        let same = |s: &&mut Offered| s.service == o.service && s.bound_to == o.bound_to;
        match sums.iter_mut().find(same) {
            Some(sum) => sum.rate += o.rate,
            None => sums.push(o.clone()),
        }
    }
    sums
}
