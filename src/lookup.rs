//! The look-up: which entry hosts a caller should use.
//!
//! A [`Table`] is immutable and shared by pointer. It is compiled from the
//! configuration, the region's plan and the zone membership. A new table shares
//! the data that has not changed with its predecessor.

use std::{
    collections::HashMap,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    blocks::{
        Blocks,
        ClassId, //
    },
    config::object::ConfigSet,
    plan::Plan,
    util::id::{
        Generation,
        HostName,
        Incarnation,
        OrganisationName,
        RegionName,
        Stamp,
        ZoneName, //
    },
};

/// How long callers may cache an answer while no zone is closed.
pub const TTL: Duration = Duration::from_secs(5);
/// How long callers may cache an answer while a zone is closed, which changes answers soon.
pub const TTL_ZONE_CLOSED: Duration = Duration::from_secs(2);
/// The assumed fraction of callers that cache an answer beyond its time to live.
const OVERSTAY_FRACTION: f64 = 0.1;
/// How long these callers cache it, as a multiple of the time to live.
pub const OVERSTAY_TTLS: u32 = 4;
/// The maximum number of hosts in one answer.
pub const HOSTS_MAX: usize = 4;
/// The maximum number of hosts from the best zone in one answer.
const HOSTS_BEST_ZONE: usize = 2;
/// The maximum number of zones in one answer.
const ZONES_MAX: usize = 3;
/// The weight of a host in the best zone.
const WEIGHT_BEST: u16 = 100;
/// The weight of a host in a farther zone, which is only a fallback.
const WEIGHT_FALLBACK: u16 = 1;
/// The weight of a host in the best zone that is doubtful or nearly full.
const WEIGHT_DOUBTFUL: u16 = 10;

/// The status of an entry host, as the answering host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostStatus {
    /// It accepts callers.
    Live,
    /// The answering host suspects it, because of missed heartbeats or failed requests.
    Doubtful,
    /// It is stopping or draining, and is left out of answers.
    Leaving,
}

/// An entry host that may appear in answers, from the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// The host's unique name.
    pub name: HostName,
    /// The zone in which the host runs.
    pub zone: ZoneName,
    /// The address on which the host accepts callers.
    pub caller_address: SocketAddr,
    /// The incarnation of the host's current process.
    pub incarnation: Incarnation,
    /// The host's own clock, from its latest heartbeat.
    pub stamp: Stamp,
    /// Whether the host is healthy, doubtful or leaving.
    pub status: HostStatus,
    /// The free fraction of the host's capacity, in thousandths.
    pub spare_milli: u16,
}

/// An answer to a look-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The configuration generation that the answer is based on.
    pub generation: Generation,
    /// How long the caller may cache the answer, in milliseconds.
    pub ttl_ms: u64,
    /// The entry hosts, best first.
    pub hosts: SmallVec<[AnswerHost; HOSTS_MAX]>,
}

/// One entry host of an [`Answer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHost {
    /// The host's unique name.
    pub host: HostName,
    /// The zone in which the host runs.
    pub zone: ZoneName,
    /// The address to which the caller sends requests.
    pub address: SocketAddr,
    /// The relative weight by which the caller chooses among the hosts of the answer.
    pub weight: u16,
    /// The incarnation of the host's current process, for request ids.
    pub incarnation: Incarnation,
    /// The host's own clock, for request ids.
    pub stamp: Stamp,
}

/// Returns the fraction of callers that still follow an answer replaced `age` ago.
///
/// Most callers ask again within the time to live; a fraction of `OVERSTAY_FRACTION`
/// caches the answer for up to [`OVERSTAY_TTLS`] times as long. Caches are assumed
/// to expire evenly over these periods.
pub fn cached_fraction(age: Duration, ttl: Duration) -> f64 {
    let ttls = age.as_secs_f64() / ttl.as_secs_f64();
    let prompt = (1.0 - ttls).max(0.0);
    let late = (1.0 - ttls / f64::from(OVERSTAY_TTLS)).max(0.0);
    (1.0 - OVERSTAY_FRACTION) * prompt + OVERSTAY_FRACTION * late
}

/// The hosts of one zone that may appear in answers, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ZoneHosts {
    usable: Vec<Host>,
    /// The ranking keys of `usable`, in the same order. They are stored separately so that
    /// a search reads little memory.
    keys: Vec<HostKey>,
}

/// The values by which a host is ranked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HostKey {
    name: u64,
    live: bool,
    spare: bool,
}

impl HostKey {
    fn new(host: &Host) -> Self {
        Self {
            name: xxh3_64(host.name.as_str().as_bytes()),
            live: host.status == HostStatus::Live,
            spare: host.spare_milli >= SPARE_MIN_MILLI,
        }
    }
}

/// The compiled table that answers look-ups.
#[derive(Clone, Debug)]
pub struct Table {
    generation: Generation,
    blocks: Arc<Blocks>,
    /// For each client class, all zones, best first.
    order: Arc<Vec<Order>>,
    /// The order for clients outside all blocks: the answering host's zone first.
    fallback: Order,
    zones: Arc<ZoneIndex>,
    hosts: Vec<Arc<ZoneHosts>>,
    homes: Arc<Homes>,
    /// Zones that the plan has closed; answers list their hosts last.
    closed: SmallVec<[ZoneId; 4]>,
}

/// For each organisation, the hosts that hold shares of its rate limit.
pub type Homes = HashMap<OrganisationName, SmallVec<[HostName; 4]>>;

/// The index of a zone in the configuration's list of zones.
type ZoneId = u16;

/// Zones grouped by distance, nearest first; zones in a group are equally distant.
type Order = Arc<[SmallVec<[ZoneId; 4]>]>;

/// The configured zones and the delays between their regions.
#[derive(Clone, Debug, Default)]
struct ZoneIndex {
    names: Vec<ZoneName>,
    ids: HashMap<ZoneName, ZoneId>,
    regions: Vec<RegionName>,
    delays: HashMap<(RegionName, RegionName), Duration>,
}

impl ZoneIndex {
    fn new(set: &ConfigSet) -> Self {
        let mut zone_index = Self::default();
        for (i, z) in set.zones.iter().enumerate() {
            let id = ZoneId::try_from(i).unwrap_or(ZoneId::MAX);
            zone_index.names.push(z.name.clone());
            zone_index.ids.insert(z.name.clone(), id);
            zone_index.regions.push(z.region.clone());
        }
        for l in &set.links {
            zone_index
                .delays
                .insert((l.from.clone(), l.to.clone()), l.delay);
        }
        zone_index
    }

    /// Returns all zones: those in `near` first, then the others by distance from the
    /// first zone in `near`.
    fn order(&self, near: &[ZoneName]) -> Order {
        let preferred: Vec<ZoneId> = near
            .iter()
            .filter_map(|z| self.ids.get(z).copied())
            .collect();
        let home = preferred.first().copied();
        let mut rest: Vec<(Duration, ZoneId)> = self
            .ids
            .values()
            .filter(|id| !preferred.contains(id))
            .map(|&id| (self.delay(home, id), id))
            .collect();
        rest.sort();
        let far = rest.chunk_by(|a, b| a.0 == b.0);
        let far = far.map(|group| group.iter().map(|&(_, id)| id).collect());
        let near = preferred.iter().map(|&id| SmallVec::from_iter([id]));
        near.chain(far).collect()
    }

    fn delay(&self, home: Option<ZoneId>, id: ZoneId) -> Duration {
        let Some(home) = home else {
            return Duration::ZERO;
        };
        let (from, to) = (
            &self.regions[usize::from(home)],
            &self.regions[usize::from(id)],
        );
        if from == to {
            return Duration::ZERO;
        }
        let delay = self.delays.get(&(from.clone(), to.clone()));
        delay.copied().unwrap_or(Duration::MAX)
    }
}

impl Table {
    /// Compiles a table. `own` is the zone of the answering host.
    pub fn new(generation: Generation, set: &ConfigSet, own: &ZoneName, hosts: &[Host]) -> Self {
        let blocks = Arc::new(Blocks::new(&set.blocks));
        Self::with_blocks(generation, set, own, hosts, blocks)
    }

    /// Compiles a table with blocks that are already compiled, so that a changed
    /// configuration only costs time for the blocks it changes.
    pub fn with_blocks(
        generation: Generation,
        set: &ConfigSet,
        own: &ZoneName,
        hosts: &[Host],
        blocks: Arc<Blocks>,
    ) -> Self {
        let zone_index = ZoneIndex::new(set);
        let order = (0..blocks.classes())
            .map(|i| ClassId(u32::try_from(i).unwrap_or(u32::MAX)))
            .map(|id| zone_index.order(blocks.near(id)))
            .collect();
        let fallback = zone_index.order(std::slice::from_ref(own));
        let empty = Arc::new(ZoneHosts::default());
        let mut table = Self {
            generation,
            blocks,
            order: Arc::new(order),
            fallback,
            hosts: vec![empty; zone_index.names.len()],
            zones: Arc::new(zone_index),
            homes: Arc::default(),
            closed: SmallVec::new(),
        };
        table = table.with_hosts(hosts);
        table
    }

    /// Returns the table with other hosts, sharing the zones whose hosts have not changed.
    pub fn with_hosts(&self, hosts: &[Host]) -> Self {
        let mut by_zone = vec![ZoneHosts::default(); self.zones.names.len()];
        for host in hosts {
            let Some(&id) = self.zones.ids.get(&host.zone) else {
                continue;
            };
            if host.status != HostStatus::Leaving {
                by_zone[usize::from(id)].usable.push(host.clone());
            }
        }
        let mut next = self.clone();
        for (old, mut new) in next.hosts.iter_mut().zip(by_zone) {
            new.usable.sort_by(|a, b| a.name.cmp(&b.name));
            new.keys = new.usable.iter().map(HostKey::new).collect();
            if **old != new {
                *old = Arc::new(new);
            }
        }
        next
    }

    /// Returns the table with the hosts that hold organisations' shares, which answers prefer.
    pub fn with_homes(&self, homes: Arc<Homes>) -> Self {
        Self {
            homes,
            ..self.clone()
        }
    }

    /// Returns the table with the closed zones of a plan. Answers list closed zones
    /// last, and have a shorter time to live while any zone is closed, so that fewer
    /// callers keep an outdated answer.
    pub fn with_plan(&self, plan: &Plan) -> Self {
        let ids = plan.closed.iter();
        let closed = ids.filter_map(|z| self.zones.ids.get(z).copied());
        Self {
            closed: closed.collect(),
            ..self.clone()
        }
    }

    /// Returns the compiled client blocks, so that the next table can share them.
    pub fn blocks(&self) -> &Arc<Blocks> {
        &self.blocks
    }

    /// Returns the class of a client; `None` if no block contains its address.
    pub fn class_of(&self, client: IpAddr) -> Option<ClassId> {
        self.blocks.class_of(client)
    }

    /// Answers a look-up.
    ///
    /// The nearest zone that has hosts gets the load, and one host from each of the
    /// next zones serves as a fallback. Hosts are ranked by a hash of the client's
    /// address, which spreads callers over a zone's hosts and keeps each caller on
    /// the same host.
    pub fn answer(&self, client: IpAddr, organisation: Option<&OrganisationName>) -> Answer {
        let order = match self.blocks.class_of(client) {
            Some(class) => &self.order[class.0 as usize],
            None => &self.fallback,
        };
        let homes = organisation.and_then(|o| self.homes.get(o));
        let homes: SmallVec<[u64; 4]> = homes
            .into_iter()
            .flatten()
            .map(|h| xxh3_64(h.as_str().as_bytes()))
            .collect();
        let hash = client_hash(client);
        let order = order.iter().flat_map(|group| rotated(group, hash));
        let closed = |z: &ZoneId| self.closed.contains(z);
        let open = order.clone().filter(|z| !closed(z));
        let mut hosts = SmallVec::new();
        let mut zones = 0;
        for zone in open.chain(order.filter(closed)) {
            if zones == ZONES_MAX || hosts.len() == HOSTS_MAX {
                break;
            }
            let first = zones == 0;
            let limit = if first { HOSTS_BEST_ZONE } else { 1 };
            let found = self.best_hosts(zone, hash, &homes, limit);
            zones += usize::from(!found.is_empty());
            for host in found {
                hosts.push(answer_host(host, first));
            }
        }
        let ttl = if self.closed.is_empty() {
            TTL
        } else {
            TTL_ZONE_CLOSED
        };
        Answer {
            generation: self.generation,
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
            hosts,
        }
    }

    /// Returns up to `limit` hosts of a zone, the most preferred for this client first.
    fn best_hosts(
        &self,
        zone: ZoneId,
        client: u64,
        homes: &[u64],
        limit: usize,
    ) -> SmallVec<[&Host; HOSTS_MAX]> {
        let zone = &self.hosts[usize::from(zone)];
        let mut best: SmallVec<[(Preference, usize); HOSTS_MAX]> = SmallVec::new();
        for (i, key) in zone.keys.iter().enumerate() {
            let preference = Preference {
                live: key.live,
                spare: key.spare,
                home: homes.contains(&key.name),
                rank: mix(key.name ^ client),
            };
            let at = best.partition_point(|(p, _)| *p >= preference);
            if at == limit {
                continue;
            }
            best.truncate(limit - 1);
            best.insert(at, (preference, i));
        }
        best.into_iter().map(|(_, i)| &zone.usable[i]).collect()
    }
}

/// The preference of a host for a caller; greater is better, compared field by field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    live: bool,
    spare: bool,
    home: bool,
    rank: u64,
}

/// Hosts with less free capacity than this, in thousandths, are ranked below others.
const SPARE_MIN_MILLI: u16 = 100;

/// Rotates a group of equally distant zones by the client's hash, so that callers
/// spread over them when a nearer zone is lost.
fn rotated(group: &[ZoneId], hash: u64) -> impl Iterator<Item = ZoneId> + Clone {
    let (back, front) = group.split_at(mix(hash) as usize % group.len().max(1));
    front.iter().chain(back).copied()
}

fn client_hash(client: IpAddr) -> u64 {
    match client {
        IpAddr::V4(a) => xxh3_64(&a.octets()),
        IpAddr::V6(a) => xxh3_64(&a.octets()),
    }
}

/// Mixes the bits of a combined hash with the finaliser of SplitMix64.
fn mix(hash: u64) -> u64 {
    let a = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let b = (a ^ (a >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    b ^ (b >> 31)
}

fn answer_host(host: &Host, first: bool) -> AnswerHost {
    let doubtful = host.status == HostStatus::Doubtful || host.spare_milli < SPARE_MIN_MILLI;
    let weight = match (first, doubtful) {
        (true, false) => WEIGHT_BEST,
        (true, true) => WEIGHT_DOUBTFUL,
        (false, _) => WEIGHT_FALLBACK,
    };
    AnswerHost {
        host: host.name.clone(),
        zone: host.zone.clone(),
        address: host.caller_address,
        weight,
        incarnation: host.incarnation,
        stamp: host.stamp,
    }
}
