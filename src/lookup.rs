//! Answers to the look-up: which entry hosts a caller should use.
//!
//! A [`Table`] is immutable and shared by pointer. It is compiled from the
//! configuration, the region's plan and the zone membership; the parts that a
//! change does not touch are shared with the table before it.

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
    config::object::Set,
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

/// How long callers may keep an answer in steady times.
pub const TTL: Duration = Duration::from_secs(5);
/// How long callers may keep an answer that is about to change.
pub const TTL_ZONE_CLOSED: Duration = Duration::from_secs(2);
/// The part of the callers that keep an answer beyond its time to live.
const OVERSTAY_FRACTION: f64 = 0.1;
/// How long those keep it, in times to live.
pub const OVERSTAY_TTLS: u32 = 4;
/// The most hosts in one answer.
pub const HOSTS_MAX: usize = 4;
/// The most hosts of the best zone in one answer.
const HOSTS_BEST_ZONE: usize = 2;
/// Zones that one answer draws hosts from.
const ZONES_MAX: usize = 3;
/// The weight of a host of the best zone.
const WEIGHT_BEST: u16 = 100;
/// The weight of a host of a farther zone, which only serves as a fallback.
const WEIGHT_FALLBACK: u16 = 1;
/// The weight of a host that failed for this host's own requests or is nearly full.
const WEIGHT_DOUBTFUL: u16 = 10;

/// How an entry host looks from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It takes callers.
    Live,
    /// Own evidence speaks against it: missed heartbeats or failed requests.
    Doubtful,
    /// It is about to stop, or drains. It is never named.
    Leaving,
}

/// One entry host, as membership knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Its name.
    pub name: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address for callers.
    pub callers: SocketAddr,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Its own clock, from its latest heartbeat.
    pub stamp: Stamp,
    /// How it looks.
    pub standing: Standing,
    /// The part of its capacity that is free, in thousandths.
    pub spare: u16,
}

/// An answer to a look-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The configuration that it was made by.
    pub generation: Generation,
    /// How long the caller may keep it, in milliseconds.
    pub ttl_ms: u64,
    /// The entry hosts, best first.
    pub hosts: SmallVec<[AnswerHost; HOSTS_MAX]>,
}

/// One entry host of an [`Answer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHost {
    /// Its name.
    pub host: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address for callers.
    pub address: SocketAddr,
    /// Its weight among the named hosts.
    pub weight: u16,
    /// Its present life, for request ids.
    pub incarnation: Incarnation,
    /// Its own clock, for request ids.
    pub stamp: Stamp,
}

/// Returns the part of the callers that still follow an answer given `age` ago.
///
/// Most ask again when the time to live is over; some overstay it.
pub fn cached_fraction(age: Duration, ttl: Duration) -> f64 {
    let ttls = age.as_secs_f64() / ttl.as_secs_f64();
    let prompt = (1.0 - ttls).max(0.0);
    let late = (1.0 - ttls / f64::from(OVERSTAY_TTLS)).max(0.0);
    (1.0 - OVERSTAY_FRACTION) * prompt + OVERSTAY_FRACTION * late
}

/// The hosts of one zone that may be named, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ZoneHosts {
    usable: Vec<Host>,
    /// What ranks each of them, apart so that a search reads little memory.
    keys: Vec<HostKey>,
}

/// What ranks one host.
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
            live: host.standing == Standing::Live,
            spare: host.spare >= SPARE_MIN_MILLI,
        }
    }
}

/// The compiled look-up table.
#[derive(Clone, Debug)]
pub struct Table {
    generation: Generation,
    blocks: Arc<Blocks>,
    /// For each class all zones, best first.
    order: Arc<Vec<Order>>,
    /// The order for clients of no block: this host's own zone first.
    fallback: Order,
    zones: Arc<ZoneIndex>,
    hosts: Vec<Arc<ZoneHosts>>,
    homes: Arc<Homes>,
    /// Zones that the plan closes to new callers.
    closed: SmallVec<[ZoneId; 4]>,
}

/// The hosts that hold shares of an organisation's rate.
pub type Homes = HashMap<OrganisationName, SmallVec<[HostName; 4]>>;

/// The index of a zone in the configuration.
type ZoneId = u16;

/// Zones by distance; those of one group are equally far.
type Order = Arc<[SmallVec<[ZoneId; 4]>]>;

/// The zones and the distances between them.
#[derive(Clone, Debug, Default)]
struct ZoneIndex {
    names: Vec<ZoneName>,
    ids: HashMap<ZoneName, ZoneId>,
    regions: Vec<RegionName>,
    delays: HashMap<(RegionName, RegionName), Duration>,
}

impl ZoneIndex {
    fn new(set: &Set) -> Self {
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

    /// Returns all zones, the `near` ones first and the rest by distance from the first.
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
    /// Compiles a table. `own` is the zone of the host that answers.
    pub fn new(generation: Generation, set: &Set, own: &ZoneName, hosts: &[Host]) -> Self {
        let blocks = Arc::new(Blocks::new(&set.blocks));
        Self::with_blocks(generation, set, own, hosts, blocks)
    }

    /// Compiles a table around blocks that are compiled already, so that a
    /// changed configuration pays only for the blocks it changes.
    pub fn with_blocks(
        generation: Generation,
        set: &Set,
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

    /// Returns the table with other hosts; zones whose hosts are the same are shared.
    pub fn with_hosts(&self, hosts: &[Host]) -> Self {
        let mut by_zone = vec![ZoneHosts::default(); self.zones.names.len()];
        for host in hosts {
            let Some(&id) = self.zones.ids.get(&host.zone) else {
                continue;
            };
            if host.standing != Standing::Leaving {
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

    /// Returns the table with the homes of organisations, which answers prefer.
    pub fn with_homes(&self, homes: Arc<Homes>) -> Self {
        Self {
            homes,
            ..self.clone()
        }
    }

    /// Returns the table under a plan: zones that it closes are named last, and
    /// answers live shorter while any is closed, so that fewer caches overstay.
    pub fn with_plan(&self, plan: &Plan) -> Self {
        let ids = plan.closed.iter();
        let closed = ids.filter_map(|z| self.zones.ids.get(z).copied());
        Self {
            closed: closed.collect(),
            ..self.clone()
        }
    }

    /// Returns the compiled blocks, for the next table.
    pub fn blocks(&self) -> &Arc<Blocks> {
        &self.blocks
    }

    /// Returns the class of a client.
    pub fn class_of(&self, client: IpAddr) -> Option<ClassId> {
        self.blocks.class_of(client)
    }

    /// Answers a look-up.
    ///
    /// The best zone that has hosts takes the load; one host each of the next
    /// zones stands behind it as a fallback. The client's address spreads
    /// callers over the hosts of a zone and keeps one caller with its host.
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

    /// Returns up to `room` hosts of a zone, the best for this caller first.
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

/// How much a host is preferred for a caller; a larger one is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    live: bool,
    spare: bool,
    home: bool,
    rank: u64,
}

/// The thousandths of a host's capacity below which others are preferred.
const SPARE_MIN_MILLI: u16 = 100;

/// Returns a group of equally distant zones from a point that the client's hash
/// gives, so that callers spread over them when a nearer zone is gone.
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

/// Spreads the bits of a combined hash, as the last step of SplitMix64 does.
fn mix(hash: u64) -> u64 {
    let a = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let b = (a ^ (a >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    b ^ (b >> 31)
}

fn answer_host(host: &Host, first: bool) -> AnswerHost {
    let doubtful = host.standing == Standing::Doubtful || host.spare < SPARE_MIN_MILLI;
    let weight = match (first, doubtful) {
        (true, false) => WEIGHT_BEST,
        (true, true) => WEIGHT_DOUBTFUL,
        (false, _) => WEIGHT_FALLBACK,
    };
    AnswerHost {
        host: host.name.clone(),
        zone: host.zone.clone(),
        address: host.callers,
        weight,
        incarnation: host.incarnation,
        stamp: host.stamp,
    }
}
