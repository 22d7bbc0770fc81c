//! The other entry hosts, as they told of themselves.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr,
    time::Duration,
};

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    datagram::{
        HostState,
        Offered,
        PeerMessage,
        RunningMessage, //
    },
    model::HostRegistration,
    upstreams::UpstreamKey, //
};
use crate::util::id::{
    HostName,
    Incarnation,
    RegionName,
    ServiceName,
    ZoneName, //
};

/// The time between two messages to a host of the same region, in a small fleet.
pub const INTERVAL: Duration = Duration::from_millis(150);
/// The time between two messages to a host of another region, in multiples of the time to one of
/// the same region; bytes between regions are dear.
pub const FAR_INTERVALS: u32 = 3;
/// Hosts that hear at once of each request that starts or ends.
const PROMPT_MAX: usize = 24;
/// The fleet size up to which [`INTERVAL`] holds; larger fleets speak less often.
const SMALL_FLEET: usize = 16;
/// Messages of a host of another region that are missed before it counts as gone.
const MISSED_MAX: u32 = 3;

/// Messages of a process that must be missing before one with a smaller number replaces it.
const MISSED_BY_OLD_PROCESS: u32 = 4;

/// What is known of one other host.
#[derive(Clone, Debug)]
struct Peer {
    entry: HostRegistration,
    incarnation: Incarnation,
    sequence: u64,
    heard: Option<Instant>,
    state: HostState,
    running: Vec<(UpstreamKey, u32)>,
    offered: Vec<Offered>,
}

impl Peer {
    fn is_newer(
        &self,
        now: Instant,
        incarnation: Incarnation,
        sequence: u64,
        silence: Duration,
    ) -> bool {
        if incarnation == self.incarnation {
            return sequence > self.sequence;
        }
        // A clock that stepped back gives a later process the smaller number.
        incarnation > self.incarnation || self.heard.is_none_or(|at| now >= at + silence)
    }
}

/// Returns by how much each upstream's requests changed.
fn changes(before: &[(UpstreamKey, u32)], after: &[(UpstreamKey, u32)]) -> Vec<(UpstreamKey, i64)> {
    let mut changes: HashMap<UpstreamKey, i64> = HashMap::with_capacity(after.len());
    for &(key, running) in after {
        *changes.entry(key).or_default() += i64::from(running);
    }
    for &(key, running) in before {
        *changes.entry(key).or_default() -= i64::from(running);
    }
    changes.retain(|_, change| *change != 0);
    changes.into_iter().collect()
}

/// The other hosts.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<HostName, Peer>,
}

impl Peers {
    /// Takes in a registration.
    pub fn register(&mut self, entry: HostRegistration) {
        match self.peers.get_mut(&entry.name) {
            Some(peer) => peer.entry = entry,
            None => {
                let peer = Peer {
                    entry,
                    incarnation: Incarnation::default(),
                    sequence: 0,
                    heard: None,
                    state: HostState::Stale,
                    running: Vec::new(),
                    offered: Vec::new(),
                };
                self.peers.insert(peer.entry.name.clone(), peer);
            }
        }
    }

    /// Forgets a host whose registration was removed.
    pub fn remove(&mut self, host: &HostName) {
        self.peers.remove(host);
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

    /// Returns the time between two messages to one host.
    pub fn interval(&self) -> Duration {
        let times = self.peers.len().div_ceil(SMALL_FLEET).max(1);
        INTERVAL * u32::try_from(times).unwrap_or(u32::MAX)
    }

    /// Returns how long a host may be silent before it counts as gone.
    pub fn patience(&self) -> Duration {
        self.interval() * FAR_INTERVALS * MISSED_MAX
    }

    /// Takes in a message; returns by how much the requests at the upstreams
    /// changed, or none where it is not newer than what is known.
    pub fn hear(&mut self, now: Instant, msg: &PeerMessage) -> Option<Vec<(UpstreamKey, i64)>> {
        let silence = self.interval() * MISSED_BY_OLD_PROCESS;
        let peer = self.peers.get_mut(&msg.host)?;
        if !peer.is_newer(now, msg.incarnation, msg.sequence, silence) {
            return None;
        }
        if peer.heard.is_none() || peer.state != msg.state {
            log::info!(event = "host-state", host:% = msg.host, state:? = msg.state; "");
        }
        peer.incarnation = msg.incarnation;
        peer.sequence = msg.sequence;
        peer.heard = Some(now);
        peer.state = msg.state;
        peer.offered.clone_from(&msg.offered);
        let before = std::mem::replace(&mut peer.running, msg.running.clone());
        Some(changes(&before, &msg.running))
    }

    /// Takes in a change at one upstream; returns by how much the requests there changed.
    pub fn hear_running(&mut self, now: Instant, msg: &RunningMessage) -> i64 {
        let silence = self.interval() * MISSED_BY_OLD_PROCESS;
        let Some(peer) = self.peers.get_mut(&msg.host) else {
            return 0;
        };
        if msg.incarnation != peer.incarnation
            || !peer.is_newer(now, msg.incarnation, msg.sequence, silence)
        {
            return 0;
        }
        peer.sequence = msg.sequence;
        peer.heard = Some(now);
        let known = peer
            .running
            .iter_mut()
            .find(|(key, _)| *key == msg.upstream);
        let before = match known {
            Some((_, running)) => std::mem::replace(running, msg.running),
            None => {
                peer.running.push((msg.upstream, msg.running));
                0
            }
        };
        i64::from(msg.running) - i64::from(before)
    }

    /// Forgets what silent hosts told; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let mut expired = false;
        let patience = self.patience();
        for (name, peer) in &mut self.peers {
            let Some(heard) = peer.heard else {
                continue;
            };
            if now.saturating_duration_since(heard) < patience {
                continue;
            }
            log::info!(event = "host-silent", host:% = name; "");
            expired = true;
            peer.heard = None;
            peer.running.clear();
            peer.offered.clear();
        }
        expired
    }

    /// Returns the requests that other hosts run, by upstream.
    pub fn running(&self) -> HashMap<UpstreamKey, u32> {
        let mut sum = HashMap::new();
        for &(key, running) in self.peers.values().flat_map(|p| &p.running) {
            *sum.entry(key).or_default() += running;
        }
        sum
    }

    /// Returns what the callers of other hosts send to a service, with the region
    /// of each host.
    pub fn offered<'a>(
        &'a self,
        service: &'a ServiceName,
        regions: &'a BTreeMap<ZoneName, RegionName>,
    ) -> impl Iterator<Item = (&'a RegionName, &'a Offered)> {
        let homes = self.peers.values();
        let homes = homes.filter_map(|p| Some((regions.get(&p.entry.zone)?, p)));
        homes
            .flat_map(|(home, p)| p.offered.iter().map(move |o| (home, o)))
            .filter(move |(_, o)| o.service == *service)
    }

    /// Returns the hosts that were heard lately and do not leave.
    fn live(&self) -> impl Iterator<Item = &Peer> {
        let live = |p: &&Peer| p.heard.is_some() && p.state != HostState::Leaving;
        self.peers.values().filter(live)
    }

    /// Returns how many hosts were heard lately.
    pub fn live_count(&self) -> usize {
        self.live().count()
    }

    /// Returns the hosts that take requests.
    pub fn ready(&self) -> impl Iterator<Item = &HostRegistration> {
        let ready = self.live().filter(|p| p.state == HostState::Ready);
        ready.map(|p| &p.entry)
    }

    /// Returns the host that hands on what it reads of the store: to the hosts of a zone
    /// its best one, and to these the best one of the region, which reads for itself.
    /// None where that is the own one.
    ///
    /// The best one is the largest that is ready, else the largest. Before there is a
    /// configuration no host is ready, and one reader is enough then too.
    pub fn relay(
        &self,
        own: &HostRegistration,
        is_ready: bool,
        regions: &BTreeMap<ZoneName, RegionName>,
    ) -> Option<SocketAddr> {
        let is_near = |zone: &ZoneName| *zone == own.zone;
        let region = regions.get(&own.zone);
        let in_region = |zone: &ZoneName| region.is_some() && regions.get(zone) == region;
        self.better(own, is_ready, is_near)
            .or_else(|| self.better(own, is_ready, in_region))
    }

    /// Returns the best host of some zones, where it is better than the own one.
    fn better(
        &self,
        own: &HostRegistration,
        is_ready: bool,
        of: impl Fn(&ZoneName) -> bool,
    ) -> Option<SocketAddr> {
        let rank = |is_ready: bool, h: &HostRegistration| {
            let chance = xxh3_64(h.name.as_str().as_bytes());
            (is_ready, h.millicores, chance)
        };
        let others = self.live().filter(|p| of(&p.entry.zone));
        let ranked = others.map(|p| (rank(p.state == HostState::Ready, &p.entry), &p.entry));
        let (best, entry) = ranked.max_by_key(|(rank, _)| *rank)?;
        (rank(is_ready, own) <= best).then_some(entry.peers)
    }

    /// Returns the host that a starting one asks before it has heard any: the largest
    /// one registered in its zone; none where it is the own one.
    pub fn first_relay(&self, own: &HostRegistration) -> Option<SocketAddr> {
        let rank = |h: &HostRegistration| (h.millicores, xxh3_64(h.name.as_str().as_bytes()));
        let near = self.peers.values().map(|p| &p.entry);
        let near = near.filter(|h| h.zone == own.zone);
        let best = near.max_by_key(|h| rank(h))?;
        (rank(own) < rank(best)).then_some(best.peers)
    }

    /// Returns whether a host of a zone was heard lately.
    pub fn hears(&self, zone: &ZoneName) -> bool {
        self.live().any(|p| p.entry.zone == *zone)
    }

    /// Returns the registered hosts by zone.
    pub fn by_zone(&self) -> BTreeMap<ZoneName, Vec<HostName>> {
        let mut zones: BTreeMap<ZoneName, Vec<HostName>> = BTreeMap::new();
        for peer in self.peers.values() {
            let hosts = zones.entry(peer.entry.zone.clone()).or_default();
            hosts.push(peer.entry.name.clone());
        }
        zones
    }

    /// Returns whether a host takes part: it was heard lately and does not leave.
    pub fn is_live(&self, host: &HostName) -> bool {
        let live = |p: &Peer| p.heard.is_some() && p.state != HostState::Leaving;
        self.peers.get(host).is_some_and(live)
    }

    /// Returns how many hosts of a zone are registered.
    pub fn registered_in(&self, zone: &ZoneName) -> usize {
        self.peers
            .values()
            .filter(|p| p.entry.zone == *zone)
            .count()
    }

    /// Returns the addresses of the hosts of a region, or of all other regions.
    pub fn addresses(
        &self,
        regions: &BTreeMap<ZoneName, RegionName>,
        region: &RegionName,
        inside: bool,
    ) -> Vec<SocketAddr> {
        let wanted = |p: &&Peer| (regions.get(&p.entry.zone) == Some(region)) == inside;
        let wanted = self.peers.values().filter(wanted);
        wanted.map(|p| p.entry.peers).collect()
    }

    /// Returns the addresses of the hosts that hear at once of a request at an
    /// upstream: those that use it most are those of its zone and of the sender's,
    /// then come those of both regions.
    pub fn prompt(
        &self,
        regions: &BTreeMap<ZoneName, RegionName>,
        zone: &ZoneName,
        own: &ZoneName,
    ) -> Vec<SocketAddr> {
        let (region, home) = (regions.get(zone), regions.get(own));
        let distance = |p: &Peer| {
            let its = regions.get(&p.entry.zone);
            match () {
                () if p.entry.zone == *zone || p.entry.zone == *own => Some(0),
                () if its == region || its == home => Some(1),
                () => None,
            }
        };
        let near = self
            .live()
            .filter_map(|p| Some((distance(p)?, p.entry.peers)));
        let mut near: Vec<(u8, SocketAddr)> = near.collect();
        near.sort_by_key(|(distance, _)| *distance);
        near.into_iter().take(PROMPT_MAX).map(|(_, a)| a).collect()
    }

    /// Returns the address that messages to a host go to.
    pub fn address(&self, host: &HostName) -> Option<SocketAddr> {
        self.peers.get(host).map(|p| p.entry.peers)
    }
}
