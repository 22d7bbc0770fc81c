//! The other entry hosts: which of them accept requests, and which one leads each zone.
//!
//! The hosts of a zone send reports to its leader, and the leader sends them digests of the state
//! of the fleet. Leaders exchange digests with each other. A host therefore receives a few messages
//! per second regardless of the size of the fleet; only a leader receives more in a larger zone.
//!
//! There is no election. The best host of a zone from which messages arrive leads it: the largest
//! one that is ready. Two hosts that both lead for a short time do no harm, since no task of a
//! leader needs exclusive rights: it returns hosts in look-ups, relays data of the store, and
//! counts the used slots of upstreams.

mod discovery;
mod gone;

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
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use self::gone::FormerHost;
use super::{
    datagram::{
        Digest,
        HostState,
        OfferedRate,
        Report,
        Sender,
        ZoneDigest, //
    },
    model::{
        ConfigVersion,
        HostRegistration, //
    },
    topic_watch::{
        RelayLevel,
        RelayTarget, //
    },
};
use crate::util::id::{
    HostName,
    Incarnation,
    RegionName,
    ServiceName,
    ZoneName, //
};

/// Interval between two reports of a host, and between two digests of a leader, in a small zone.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Number of hosts of a zone up to which [`HEARTBEAT_INTERVAL`] applies. The interval grows with
/// larger zones, so that a leader's processor load does not.
const SMALL_ZONE_HOSTS: usize = 16;
/// Heartbeats of a leader per digest to leaders of other regions; traffic between regions is
/// expensive.
pub const CROSS_REGION_DIGEST_BEATS: u32 = 3;
/// Missed messages after which a host counts as silent.
const MISSED_MESSAGES_MAX: u32 = 3;
/// Allowance for network latency and for timers that fire late.
const HEARTBEAT_SLACK: Duration = Duration::from_millis(150);
/// How long a host must have accepted requests before it is fit to lead, and must have accepted
/// none before it is unfit. The delay is needed because all hosts become ready through the same
/// update, and learn of each other's state only later.
const FITNESS_DELAY: Duration = Duration::from_millis(2000);
/// Additional delay of that change for a host that does not lead, in heartbeats.
const FOLLOWER_EXTRA_BEATS: u32 = 2;
/// Number of waiting steps per heartbeat, for hosts that wait for larger ones to lead.
const WAIT_STEPS_PER_BEAT: u32 = 2;
/// Maximum number of steps that a host waits.
const WAIT_STEPS_MAX: u32 = 6;
/// Number of hosts of a region up to which one host schedules the slots of all its zones; a larger
/// region has one scheduler per zone.
const REGION_DOMAIN_HOSTS_MAX: usize = 12;
/// Missed messages of a process after which one with a smaller incarnation number may replace it.
const STALE_PROCESS_BEATS: u32 = 4;

/// Rank of a possible leader: whether it is fit to lead, its millicores, and a hash as tie-breaker.
type Rank = (bool, u32, u64);

/// A set of upstreams whose slots are scheduled by one host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Domain {
    /// The upstreams of a zone.
    Zone(ZoneName),
    /// The upstreams of all zones of a region.
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

/// Which process of a host has sent a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderProcess {
    /// The host is not registered.
    UnknownHost,
    /// The same process as that of the previous message.
    Current,
    /// A later process than that of the previous message.
    New,
    /// A process that has ended: a later one has sent messages since.
    Ended,
}

/// State of one other host.
#[derive(Clone, Debug)]
struct Peer {
    entry: HostRegistration,
    /// Hash of the name; breaks ties between hosts of the same size.
    tie_breaker: u64,
    incarnation: Incarnation,
    /// Number of the last report, digest or loan of this process.
    sequence: u64,
    /// When the registration became known to this process.
    registered_at: Instant,
    /// When the last message of any kind from this process arrived.
    process_heard_at: Option<Instant>,
    /// When the last report, digest or loan from the host itself arrived.
    last_message: Option<Instant>,
    state: HostState,
    offered: Vec<OfferedRate>,
    /// Version of the host's configuration, if it tells it.
    configuration: Option<ConfigVersion>,
}

impl Peer {
    fn new(now: Instant, entry: HostRegistration) -> Self {
        Self {
            tie_breaker: tie_breaker(&entry.name),
            entry,
            incarnation: Incarnation::default(),
            sequence: 0,
            registered_at: now,
            process_heard_at: None,
            last_message: None,
            state: HostState::Stale,
            offered: Vec::new(),
            configuration: None,
        }
    }

    fn set_state(&mut self, state: HostState) {
        if self.state != state {
            log::info!(event = "host-state", host:% = self.entry.name, state:?; "");
            self.state = state;
        }
    }

    fn is_responsive(&self, now: Instant, silence_timeout: Duration) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        self.last_message
            .is_some_and(|at| since(at) < silence_timeout)
    }
}

fn tie_breaker(host: &HostName) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}

/// State of a zone as reported by its leader.
#[derive(Clone, Debug)]
struct ZoneView {
    leader: HostName,
    at: Instant,
    /// Registered hosts of the zone that do not accept requests.
    away: BTreeSet<HostName>,
    /// Whether the leader reports itself as fit to lead.
    is_fit: bool,
    /// Whether the leader reads the store.
    reads: bool,
    offered: Vec<OfferedRate>,
    /// Newest version of the configuration that a host of the zone has, if it tells it.
    configuration: Option<ConfigVersion>,
}

impl ZoneView {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Returns the state of `zone` to be passed on to other hosts.
    fn digest(&self, now: Instant, zone: &ZoneName) -> ZoneDigest {
        ZoneDigest {
            zone: zone.clone(),
            leader: self.leader.clone(),
            age_ms: u32::try_from(self.age(now).as_millis()).unwrap_or(u32::MAX),
            is_fit: self.is_fit,
            reads: self.reads,
            away: self.away.iter().cloned().collect(),
            offered: self.offered.clone(),
            configuration: self.configuration,
        }
    }
}

/// The other hosts, and this host's part in leading its zone.
#[derive(Clone, Debug)]
pub struct Peers {
    own: HostRegistration,
    own_tie_breaker: u64,
    regions: BTreeMap<ZoneName, RegionName>,
    peers: BTreeMap<HostName, Peer>,
    /// Hosts whose registrations were removed.
    former: BTreeMap<HostName, FormerHost>,
    /// Number of times that a host became known or was removed.
    changes: u64,
    /// Number of registered hosts of each zone, including this one.
    sizes: BTreeMap<ZoneName, usize>,
    views: BTreeMap<ZoneName, ZoneView>,
    /// State of this host's zone according to another host that also leads it and ranks no higher.
    /// That host may have received messages from hosts that this one has not.
    competing_view: Option<ZoneView>,
    /// Whether this host accepts requests; `state_since` is when this last changed.
    is_ready: bool,
    state_since: Option<Instant>,
    /// Whether this host reads the store and gets answers.
    own_reads: bool,
    /// Whether this host is fit to lead, and so ranks above hosts that accept no requests.
    is_fit: bool,
    /// When this host began to wait for a leader's messages.
    listened_since: Option<Instant>,
    /// When this host last knew a better leader of its zone.
    deferred_at: Option<Instant>,
    /// When this host began to lead its zone; `None` if it does not lead.
    leading_since: Option<Instant>,
}

impl Peers {
    /// Creates the state of a host that knows no other host yet.
    pub fn new(own: HostRegistration, regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self {
            own_tie_breaker: tie_breaker(&own.name),
            sizes: BTreeMap::from([(own.zone.clone(), 1)]),
            own,
            regions,
            peers: BTreeMap::new(),
            former: BTreeMap::new(),
            changes: 0,
            views: BTreeMap::new(),
            competing_view: None,
            is_ready: false,
            state_since: None,
            own_reads: false,
            is_fit: false,
            listened_since: None,
            deferred_at: None,
            leading_since: None,
        }
    }

    /// Records that the registered hosts are known; from now on this host waits for a leader's
    /// messages.
    pub fn listen(&mut self, now: Instant) {
        self.listened_since.get_or_insert(now);
    }

    /// Adds or updates the registration of a host.
    pub fn register(&mut self, now: Instant, entry: HostRegistration) {
        self.former.remove(&entry.name);
        if let Some(peer) = self.peers.get_mut(&entry.name) {
            if peer.entry.zone == entry.zone {
                peer.entry = entry;
                peer.registered_at = now;
                return;
            }
            let name = entry.name.clone();
            self.remove(now, &name);
        }
        self.changes += 1;
        *self.sizes.entry(entry.zone.clone()).or_default() += 1;
        self.peers.insert(entry.name.clone(), Peer::new(now, entry));
    }

    /// Removes a host whose registration was removed.
    pub fn remove(&mut self, now: Instant, host: &HostName) {
        let Some(peer) = self.peers.remove(host) else {
            return;
        };
        self.changes += 1;
        if let Some(size) = self.sizes.get_mut(&peer.entry.zone) {
            *size = size.saturating_sub(1);
        }
        self.keep_former(now, peer.entry);
    }

    /// Returns how many times another host became known or was removed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the hash of this host's name, and those of the other registered hosts' names.
    pub fn tie_breakers(&self) -> (u64, Vec<u64>) {
        let others = self.peers.values().map(|p| p.tie_breaker);
        (self.own_tie_breaker, others.collect())
    }

    /// Returns the names of all other registered hosts.
    pub fn names(&self) -> Vec<HostName> {
        self.peers.keys().cloned().collect()
    }

    /// Returns the number of other registered hosts.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no other host is registered.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the number of registered hosts of a zone, including this one.
    pub fn registered_in(&self, zone: &ZoneName) -> usize {
        self.sizes.get(zone).copied().unwrap_or(0)
    }

    /// Returns the number of registered hosts of a region, including this one.
    pub fn registered_in_region(&self, region: &RegionName) -> usize {
        let zones = self.regions.iter().filter(|(_, r)| *r == region);
        zones.map(|(zone, _)| self.registered_in(zone)).sum()
    }

    /// Returns the other hosts by zone that may have parts of the rates: the registered ones, and
    /// those that were removed less than `kept` ago.
    pub fn share_holders(&self, now: Instant, kept: Duration) -> BTreeMap<ZoneName, Vec<HostName>> {
        let mut zones: BTreeMap<ZoneName, Vec<HostName>> = BTreeMap::new();
        let registered = self.peers.values().map(|p| &p.entry);
        for entry in registered.chain(self.share_holders_removed(now, kept)) {
            let hosts = zones.entry(entry.zone.clone()).or_default();
            hosts.push(entry.name.clone());
        }
        zones
    }

    /// Returns the address for messages to a host.
    pub fn address(&self, host: &HostName) -> Option<SocketAddr> {
        self.peers.get(host).map(|p| p.entry.peers)
    }

    /// Returns the zone of another host.
    pub fn zone(&self, host: &HostName) -> Option<&ZoneName> {
        self.peers.get(host).map(|p| &p.entry.zone)
    }

    /// Returns the heartbeat interval of the hosts of a zone.
    fn beat_of(&self, zone: &ZoneName) -> Duration {
        let times = self.registered_in(zone).div_ceil(SMALL_ZONE_HOSTS).max(1);
        HEARTBEAT_INTERVAL * u32::try_from(times).unwrap_or(u32::MAX)
    }

    /// Returns the heartbeat interval of this host in its zone.
    pub fn heartbeat_interval(&self) -> Duration {
        self.beat_of(&self.own.zone)
    }

    /// Returns how long updates of a zone may be missing before its leader counts as silent.
    pub fn silence_timeout(&self, zone: &ZoneName) -> Duration {
        let heartbeat_interval = self.beat_of(zone);
        if *zone == self.own.zone {
            return heartbeat_interval * MISSED_MESSAGES_MAX + HEARTBEAT_SLACK;
        }
        // This zone's leader relays digests of other zones within one heartbeat.
        let beats = match self.is_in_own_region(zone) {
            true => MISSED_MESSAGES_MAX,
            false => MISSED_MESSAGES_MAX * CROSS_REGION_DIGEST_BEATS,
        };
        heartbeat_interval * beats + self.heartbeat_interval() + HEARTBEAT_SLACK
    }

    fn is_in_own_region(&self, zone: &ZoneName) -> bool {
        self.regions.get(zone) == self.regions.get(&self.own.zone)
    }

    /// Determines which process of a host has sent a message, and records the process if it is a
    /// new one.
    pub fn identify(&mut self, now: Instant, from: &Sender) -> SenderProcess {
        self.restore(now, &from.host);
        let silence = self.heartbeat_interval() * STALE_PROCESS_BEATS;
        let Some(peer) = self.peers.get_mut(&from.host) else {
            return SenderProcess::UnknownHost;
        };
        let process = if from.incarnation == peer.incarnation {
            SenderProcess::Current
        } else if from.incarnation > peer.incarnation
            // After the clock has stepped back, a later process has the smaller number.
            || peer.process_heard_at.is_none_or(|at| now >= at + silence)
        {
            peer.incarnation = from.incarnation;
            peer.sequence = 0;
            SenderProcess::New
        } else {
            return SenderProcess::Ended;
        };
        peer.process_heard_at = Some(now);
        process
    }

    /// Records a message of a host; returns whether it is newer than all earlier ones.
    ///
    /// Messages of unknown hosts are ignored, since there is no address to answer to.
    pub fn record_message(&mut self, now: Instant, from: &Sender) -> bool {
        match self.identify(now, from) {
            SenderProcess::UnknownHost | SenderProcess::Ended => return false,
            SenderProcess::Current | SenderProcess::New => {}
        }
        let Some(peer) = self.peers.get_mut(&from.host) else {
            return false;
        };
        if from.sequence <= peer.sequence {
            return false;
        }
        peer.sequence = from.sequence;
        peer.last_message = Some(now);
        true
    }

    /// Handles the report of a host of this host's zone.
    pub fn handle_report(&mut self, now: Instant, msg: &Report) {
        if !self.record_message(now, &msg.from) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&msg.from.host) {
            peer.set_state(msg.state);
            peer.offered.clone_from(&msg.offered);
            peer.configuration = msg.configuration;
        }
    }

    /// Handles the digest of a leader.
    pub fn handle_digest(&mut self, now: Instant, msg: &Digest) {
        if !self.record_message(now, &msg.from) {
            return;
        }
        let Some(sender) = self.peers.get_mut(&msg.from.host) else {
            return;
        };
        sender.set_state(msg.state);
        let zone = sender.entry.zone.clone();
        for digest in &msg.zones {
            // For this host's zone, only the leader's own digests count.
            let is_own = digest.zone == self.own.zone;
            if is_own && (digest.leader != msg.from.host || zone != self.own.zone) {
                continue;
            }
            let age = Duration::from_millis(u64::from(digest.age_ms));
            if let Some(at) = now.checked_sub(age) {
                self.update_view(now, at, digest);
            }
        }
    }

    fn update_view(&mut self, now: Instant, at: Instant, digest: &ZoneDigest) {
        let known = self.views.get(&digest.zone);
        if known.is_some_and(|v| v.at >= at) {
            return;
        }
        let known = known.filter(|v| v.leader == digest.leader);
        let view = ZoneView {
            leader: digest.leader.clone(),
            at,
            away: digest.away.iter().cloned().collect(),
            is_fit: digest.is_fit,
            reads: digest.reads,
            offered: digest.offered.clone(),
            configuration: digest.configuration,
        };
        if !self.accepts_view(now, &digest.zone, &view) {
            if digest.zone == self.own.zone {
                self.competing_view = Some(view);
            }
            return;
        }
        if known.is_none() {
            log::info!(event = "zone-leader", zone:% = digest.zone, host:% = digest.leader; "");
        }
        self.views.insert(digest.zone.clone(), view);
    }

    /// Returns whether a zone's state comes from its known leader, or from one that ranks at least
    /// as high.
    fn accepts_view(&self, now: Instant, zone: &ZoneName, view: &ZoneView) -> bool {
        let rank = self.rank_of(&view.leader, view.is_fit);
        let Some(known) = self.fresh_view(now, zone) else {
            return *zone != self.own.zone || rank > Some(self.own_rank(now));
        };
        known.leader == view.leader || rank >= self.rank_of(&known.leader, known.is_fit)
    }

    fn rank_of(&self, host: &HostName, is_ready: bool) -> Option<Rank> {
        let peer = self.peers.get(host)?;
        Some((is_ready, peer.entry.millicores, peer.tie_breaker))
    }

    fn own_rank(&self, now: Instant) -> Rank {
        let is_fit = self.is_fit && !self.is_isolated(now);
        (is_fit, self.own.millicores, self.own_tie_breaker)
    }

    /// Returns whether this host leads a zone of several hosts and receives messages from none of
    /// them, as when it is isolated by a network fault. Its view of the zone is then useless to
    /// others.
    fn is_isolated(&self, now: Instant) -> bool {
        let silence_timeout = self.silence_timeout(&self.own.zone);
        let is_new = |at| now.saturating_duration_since(at) < silence_timeout;
        if self.leading_since.is_none_or(is_new) {
            return false;
        }
        let mut zone_hosts = self.hosts_of_zone(&self.own.zone).peekable();
        zone_hosts.peek().is_some() && !zone_hosts.any(|p| p.is_responsive(now, silence_timeout))
    }

    /// Returns the other registered hosts of a zone.
    fn hosts_of_zone<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = &'a Peer> {
        self.peers.values().filter(move |p| p.entry.zone == *zone)
    }

    /// Returns the state of a zone if it is recent enough to rely on its leader.
    fn fresh_view(&self, now: Instant, zone: &ZoneName) -> Option<&ZoneView> {
        let view = self.views.get(zone)?;
        (view.age(now) < self.silence_timeout(zone)).then_some(view)
    }

    /// Returns the number of hosts of this zone that are larger and not known to be away.
    fn larger_hosts(&self) -> u32 {
        let own = (self.own.millicores, self.own_tie_breaker);
        let view = self.views.get(&self.own.zone);
        let is_away = |p: &Peer| view.is_some_and(|v| v.away.contains(&p.entry.name));
        let zone_hosts = self.hosts_of_zone(&self.own.zone);
        let larger =
            zone_hosts.filter(|p| (p.entry.millicores, p.tie_breaker) > own && !is_away(p));
        u32::try_from(larger.count()).unwrap_or(u32::MAX)
    }

    /// Records that this host is about to stop, so that another one leads in its place immediately.
    pub fn leave(&mut self, now: Instant) {
        self.update(now, false, false);
        self.is_fit = false;
    }

    /// Records whether this host accepts requests and reads the store, and decides whether it leads
    /// its zone: it does if it has not received messages of a better leader recently. Smaller hosts
    /// wait a little longer than larger ones, so that usually just one host replaces a leader that
    /// has ended.
    pub fn update(&mut self, now: Instant, is_ready: bool, reads: bool) {
        self.own_reads = reads;
        if is_ready != self.is_ready || self.state_since.is_none() {
            self.is_ready = is_ready;
            self.state_since = Some(now);
        }
        // A leader reports that it is fit before its followers can rank themselves higher.
        let wait = match self.leads() {
            true => FITNESS_DELAY,
            false => FITNESS_DELAY + self.heartbeat_interval() * FOLLOWER_EXTRA_BEATS,
        };
        let is_stable = |at| now.saturating_duration_since(at) >= wait;
        if self.state_since.is_some_and(is_stable) {
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
        let larger_hosts = self.larger_hosts();
        if self.leads() || larger_hosts == 0 {
            return true;
        }
        let silent_since = self
            .deferred_at
            .unwrap_or(listened_since + self.silence_timeout(zone));
        now >= silent_since
            + self.heartbeat_interval() * larger_hosts.min(WAIT_STEPS_MAX) / WAIT_STEPS_PER_BEAT
    }

    /// Returns whether this host leads its zone.
    pub fn leads(&self) -> bool {
        self.leading_since.is_some()
    }

    /// Returns the host that leads a zone; `None` if it is unknown or silent.
    pub fn leader(&self, now: Instant, zone: &ZoneName) -> Option<&HostName> {
        if *zone == self.own.zone && self.leads() {
            return Some(&self.own.name);
        }
        self.fresh_view(now, zone).map(|v| &v.leader)
    }

    /// Returns the highest-ranked leader of some zones, which may be this host.
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

    /// Returns the host that schedules the slots of a domain's upstreams; `None` if it is unknown.
    pub fn scheduler<'a>(&'a self, now: Instant, domain: &'a Domain) -> Option<&'a HostName> {
        match domain {
            Domain::Zone(zone) => self.leader(now, zone),
            Domain::Region(region) => self.best_leader(now, self.zones_of(region)),
        }
    }

    /// Returns whether this host decides how its region's requests are distributed over the
    /// regions. One host decides for the region, since all its hosts must send an object to the
    /// same region. A host that knows no leader decides for itself.
    pub fn decides_shares(&self, now: Instant) -> bool {
        let Some(region) = self.regions.get(&self.own.zone) else {
            return true;
        };
        let best = self.best_leader(now, self.zones_of(region));
        best.is_none_or(|host| *host == self.own.name)
    }

    /// Returns whether this host accepts the shares that `host` has sent.
    pub fn accepts_shares_from(&self, now: Instant, host: &HostName) -> bool {
        if self.decides_shares(now) {
            return false;
        }
        if !self.leads() {
            return self.leader(now, &self.own.zone) == Some(host);
        }
        let region = self.regions.get(&self.own.zone);
        region.and_then(|r| self.best_leader(now, self.zones_of(r))) == Some(host)
    }

    /// Returns the scheduling domain of a zone's upstreams.
    pub fn domain_of(&self, zone: &ZoneName) -> Domain {
        match self.regions.get(zone) {
            Some(region) if self.registered_in_region(region) <= REGION_DOMAIN_HOSTS_MAX => {
                Domain::Region(region.clone())
            }
            _ => Domain::Zone(zone.clone()),
        }
    }

    /// Returns the host from which this one gets updates of the store: an ordinary host uses the
    /// leader of its zone, a zone's leader the best leader of its region, and the best leader of a
    /// region the best host that reads the store. `None` if this host reads the store itself.
    pub fn relay(&self, now: Instant) -> Option<RelayTarget> {
        if !self.leads() {
            let leader = self.leader(now, &self.own.zone);
            let address = match leader {
                Some(leader) => self.address(leader),
                None => self.startup_relay(now),
            };
            return Some(RelayTarget {
                address: address?,
                level: RelayLevel::Member,
            });
        }
        let region = self.regions.get(&self.own.zone)?;
        let best = self.best_leader(now, self.zones_of(region))?;
        if *best != self.own.name {
            return Some(RelayTarget {
                address: self.address(best)?,
                level: RelayLevel::Zone,
            });
        }
        Some(RelayTarget {
            address: self.best_reader(now)?,
            level: RelayLevel::Region,
        })
    }

    /// Returns the highest-ranked other host that reads the store, if it ranks above this host or
    /// this host cannot read the store.
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

    /// Returns whether other hosts get updates from this one: those of its zone, or the leaders of
    /// other zones.
    pub fn has_followers(&self, now: Instant) -> bool {
        self.leads() && (!self.is_isolated(now) || self.hears_leaders(now))
    }

    /// Returns whether this host hears a leader of another zone, or a better one of its own.
    fn hears_leaders(&self, now: Instant) -> bool {
        self.views.keys().any(|z| self.fresh_view(now, z).is_some())
    }

    /// Returns how many hosts may be scheduling a domain that this one schedules: itself, and one in
    /// each zone that it does not hear from, whose hosts may only be cut off from this one.
    pub fn possible_schedulers(&self, now: Instant, domain: &Domain) -> usize {
        let own = match self.is_isolated(now) {
            true => self.registered_in(&self.own.zone),
            false => 1,
        };
        let Domain::Region(region) = domain else {
            return own;
        };
        let others = self.zones_of(region).filter(|z| **z != self.own.zone);
        let unheard =
            others.filter(|z| self.registered_in(z) > 0 && self.fresh_view(now, z).is_none());
        own + unheard.count()
    }

    /// Returns the host from which this one gets updates at its start, before any message has
    /// arrived: the largest one registered in its zone. `None` if that is this host.
    fn startup_relay(&self, now: Instant) -> Option<SocketAddr> {
        let listened = now.saturating_duration_since(self.listened_since?);
        if listened >= self.silence_timeout(&self.own.zone) {
            return None;
        }
        let zone_hosts = self.hosts_of_zone(&self.own.zone);
        let best = zone_hosts.max_by_key(|p| (p.entry.millicores, p.tie_breaker))?;
        let own = (self.own.millicores, self.own_tie_breaker);
        (own < (best.entry.millicores, best.tie_breaker)).then_some(best.entry.peers)
    }

    /// Returns whether a host accepts requests, according to the most recent state.
    fn is_ready(&self, now: Instant, peer: &Peer) -> bool {
        let zone = &peer.entry.zone;
        let view = self.views.get(zone);
        if *zone != self.own.zone || !self.leads() {
            // The other hosts of a zone are still available after its leader has ended.
            return view.is_some_and(|v| {
                v.age(now) < self.silence_timeout(zone) * 2 && !v.away.contains(&peer.entry.name)
            });
        }
        if peer.is_responsive(now, self.silence_timeout(zone)) {
            return peer.state == HostState::Ready;
        }
        // A new leader uses the previous leader's state until all hosts have had time to report to
        // it.
        let silence_timeout = self.silence_timeout(zone);
        let is_recent = |at| now.saturating_duration_since(at) < silence_timeout;
        let is_new = self.leading_since.is_some_and(is_recent);
        let previous = view.filter(|_| is_new);
        let competing = self.competing_view.as_ref().filter(|v| is_recent(v.at));
        [previous, competing]
            .into_iter()
            .flatten()
            .any(|v| !v.away.contains(&peer.entry.name))
    }

    /// Returns the other hosts that accept requests.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &HostRegistration> {
        let ready = self.peers.values().filter(move |p| self.is_ready(now, p));
        ready.map(|p| &p.entry)
    }

    /// Returns whether the host with this name is known to accept requests.
    pub fn is_live(&self, now: Instant, host: &HostName) -> bool {
        self.peers.get(host).is_some_and(|p| self.is_ready(now, p))
    }

    /// Returns the load that callers offer to a service through other hosts, with the region of
    /// each.
    pub fn offered<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a RegionName, &'a OfferedRate)> {
        let leads = self.leads();
        let own = &self.own.zone;
        let silence_timeout = self.silence_timeout(own);
        let reports = self.peers.values().filter(move |p| {
            leads && p.entry.zone == *own && p.is_responsive(now, silence_timeout)
        });
        let reports = reports.map(|p| (&p.entry.zone, &p.offered));
        let views = self.views.iter().filter(move |(zone, v)| {
            v.age(now) < self.silence_timeout(zone) && !(leads && *zone == own)
        });
        let views = views.map(|(zone, v)| (zone, &v.offered));
        reports
            .chain(views)
            .filter_map(|(zone, offered)| Some((self.regions.get(zone)?, offered)))
            .flat_map(|(region, offered)| offered.iter().map(move |o| (region, o)))
            .filter(move |(_, o)| o.service == *service)
    }

    /// Returns whether [`Self::offered`] includes the load of this host's own callers.
    pub fn offered_includes_own(&self, now: Instant) -> bool {
        !self.leads() && self.fresh_view(now, &self.own.zone).is_some()
    }

    /// Returns the digest of this host's zone, which it sends as the leader.
    ///
    /// `own_configuration` is the version of this host's configuration, if it tells it.
    pub fn own_zone(
        &self,
        now: Instant,
        own_offered: &[OfferedRate],
        own_configuration: Option<ConfigVersion>,
    ) -> ZoneDigest {
        let zone = &self.own.zone;
        let zone_hosts = || self.hosts_of_zone(zone);
        let mut away: Vec<HostName> = zone_hosts()
            .filter(|p| !self.is_ready(now, p))
            .map(|p| p.entry.name.clone())
            .collect();
        if !self.is_ready {
            away.push(self.own.name.clone());
        }
        let silence_timeout = self.silence_timeout(zone);
        let reports = || zone_hosts().filter(|p| p.is_responsive(now, silence_timeout));
        let newest = reports().map(|p| p.configuration).max().flatten();
        let reports = reports();
        let offered = reports.flat_map(|p| &p.offered).chain(own_offered);
        ZoneDigest {
            zone: zone.clone(),
            leader: self.own.name.clone(),
            age_ms: 0,
            is_fit: self.is_fit && !self.is_isolated(now),
            reads: self.own_reads,
            away,
            offered: sum_by_service(offered),
            configuration: own_configuration.max(newest),
        }
    }

    /// Returns the newest version of the configuration that another running host has; `None` if no
    /// host tells its version.
    pub fn newest_configuration(&self, now: Instant) -> Option<ConfigVersion> {
        let silence_timeout = self.silence_timeout(&self.own.zone);
        let zone_hosts = self.hosts_of_zone(&self.own.zone);
        let reports = zone_hosts
            .filter(|p| p.is_responsive(now, silence_timeout))
            .filter_map(|p| p.configuration);
        let views = self.views.keys();
        let views = views.filter_map(|zone| self.fresh_view(now, zone)?.configuration);
        reports.chain(views).max()
    }

    /// Returns whether messages of a host arrive, or other hosts say that it takes requests.
    pub fn is_heard(&self, now: Instant, host: &HostName) -> bool {
        self.peers.get(host).is_some_and(|p| {
            self.is_ready(now, p) || p.is_responsive(now, self.silence_timeout(&p.entry.zone))
        })
    }

    /// Returns the recent digests of other zones, to be relayed.
    pub fn other_zones(&self, now: Instant) -> Vec<ZoneDigest> {
        let others = self
            .views
            .iter()
            .filter(|(zone, _)| **zone != self.own.zone);
        let fresh = others.filter(|(zone, v)| v.age(now) < self.silence_timeout(zone));
        fresh.map(|(zone, v)| v.digest(now, zone)).collect()
    }

    /// Returns the addresses of the other hosts of this zone.
    pub fn zone_addresses(&self) -> Vec<SocketAddr> {
        let zone_hosts = self.hosts_of_zone(&self.own.zone);
        zone_hosts.map(|p| p.entry.peers).collect()
    }
}

/// Returns the sum of the rates for each service and bound region.
fn sum_by_service<'a>(offered: impl Iterator<Item = &'a OfferedRate>) -> Vec<OfferedRate> {
    let mut sums: Vec<OfferedRate> = Vec::new();
    for o in offered {
        let same = |s: &&mut OfferedRate| s.service == o.service && s.bound_to == o.bound_to;
        match sums.iter_mut().find(same) {
            Some(sum) => sum.rate += o.rate,
            None => sums.push(o.clone()),
        }
    }
    sums
}
