//! Which upstream a request goes to, and when it had better wait.
//!
//! The pattern is a standing load above all slots of objects that few upstreams
//! know. An upstream that knows the object answers sooner and frees its slot
//! sooner, and each strange object drives a known one out. So a request goes
//! where its answer is expected first, waits for a busy upstream that knows its
//! object rather than going to a free one that does not, and only the object's
//! home upstreams, or idle ones, ever get to know it. Where all upstreams know
//! their objects, the same slots carry several times the load; a strange object
//! in a slot makes more requests wait, and those that wait go where they are
//! strange. What is late already is therefore kept out of such slots.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use smallvec::SmallVec;
use tokio::time::Instant;

use super::upstreams::{
    Pool,
    Upstream,
    UpstreamKey, //
};
use crate::util::id::{
    RegionName,
    ZoneName, //
};

/// Upstreams of a region that get to know an object first, beside the first one of each zone.
const HOMES: usize = 2;
/// Upstreams of another region that a request may go to, the object's homes first.
const FAR_HOMES: usize = 1;
/// Objects that an upstream has to know before it stops counting as new.
const NEW_OBJECTS: usize = 4;
/// What each further rank costs a strange upstream, in parts of its own work.
const RANK_PART: f64 = 0.01;
/// The part of its slots that an upstream has free when it counts as idle, one in this many.
const IDLE_PART: u32 = 2;
/// What a strange object costs the others, in parts of its own work.
const STRANGE_PART: f64 = 0.5;
/// Time that a request to another zone takes longer, in seconds.
const ZONE_SECONDS: f64 = 0.004;
/// Time that a kilobyte to another zone is worth, in seconds; bytes between zones are billed.
const ZONE_SECONDS_PER_KB: f64 = 0.005;
/// Time that is lost between the end of a request and the start of the next one, in seconds.
const HANDOVER_SECONDS: f64 = 0.005;

/// What a request asks of its upstream.
#[derive(Clone, Debug)]
pub struct Wish<'a> {
    /// The object's hash.
    pub object: u64,
    /// The hash of its route.
    pub route: u64,
    /// Bytes of its body.
    pub bytes: u64,
    /// The region in which it is to run.
    pub region: &'a RegionName,
    /// Upstreams that were tried already.
    pub tried: &'a [UpstreamKey],
    /// Whether it cannot wait any longer.
    pub late: bool,
}

/// What a placement depends on beside the pool.
#[derive(Clone, Copy, Debug)]
pub struct Places<'a> {
    /// The host's own zone.
    pub zone: &'a ZoneName,
    /// The region of each zone.
    pub regions: &'a BTreeMap<ZoneName, RegionName>,
    /// Zones that get no work.
    pub evacuated: &'a BTreeSet<ZoneName>,
}

impl Places<'_> {
    /// Returns the zones of a region that get work.
    fn zones_of(&self, region: &RegionName) -> SmallVec<[&ZoneName; 4]> {
        let all = self.regions.iter().filter(|(_, r)| *r == region);
        let zones = all.map(|(zone, _)| zone);
        zones.filter(|z| !self.evacuated.contains(*z)).collect()
    }

    /// Returns whether the other hosts tell this one what the upstreams of a region handle.
    fn knows(&self, region: &RegionName) -> bool {
        self.regions.get(self.zone) == Some(region)
    }
}

/// Picks an upstream with a free slot; none where the request had better wait.
pub fn pick(pool: &Pool, places: Places<'_>, wish: &Wish<'_>, now: Instant) -> Option<UpstreamKey> {
    let work = pool.work_of(wish.route);
    let knows = places.knows(wish.region);
    let mut met: SmallVec<[&ZoneName; 4]> = SmallVec::new();
    let mut free: Option<(f64, UpstreamKey)> = None;
    let mut busy = f64::INFINITY;
    let candidates = candidates(pool, places, wish, now);
    let is_known = knows
        && candidates
            .iter()
            .any(|u| work.is_warm(u.recent.place(wish.object)));
    for (rank, u) in candidates.into_iter().enumerate() {
        let first_of_zone = !met.contains(&&u.entry.zone);
        if first_of_zone {
            met.push(&u.entry.zone);
        }
        let far = match u.entry.zone == *places.zone {
            true => 0.0,
            false => ZONE_SECONDS + wish.bytes as f64 / 1000.0 * ZONE_SECONDS_PER_KB,
        };
        // What the hosts of another region do there is not told; its first home knows the object.
        let place = match knows {
            true => u.recent.place(wish.object),
            false => (rank == 0).then_some(0),
        };
        let warm = work.is_warm(place);
        let home = rank < HOMES || first_of_zone;
        let is_idle = u.free(now) * IDLE_PART >= u.entry.slots;
        if !warm && !home && !is_idle {
            continue;
        }
        // How busy others are there is hardly known, and a wrong guess drives known objects out.
        if !knows && rank >= FAR_HOMES {
            continue;
        }
        // An answer that is late anyway must not take a slot from what could be in time.
        if wish.late && !warm && !is_idle && (is_known || rank > 0) {
            continue;
        }
        let is_new = knows && first_of_zone && u.recent.len() < NEW_OBJECTS;
        // Among strange upstreams the homes go first, in the order of their rank.
        let strange = match warm {
            true => 0.0,
            false => STRANGE_PART + rank as f64 * RANK_PART,
        };
        let slowness = u.slowness.factor(now);
        let cost = match is_new {
            true => far,
            false => work.expect(place) * (slowness + strange) + far,
        };
        if !is_open(u, places, now) {
            let wait = pool.work() / f64::from(u.entry.slots.max(1)) + HANDOVER_SECONDS;
            busy = busy.min(cost + wait);
            continue;
        }
        if free.is_none_or(|(least, _)| cost < least) {
            free = Some((cost, u.key));
        }
    }
    let (cost, key) = free?;
    (wish.late || cost <= busy).then_some(key)
}

/// Returns the usable upstreams of the wished region, the object's homes first.
fn candidates<'a>(
    pool: &'a Pool,
    places: Places<'_>,
    wish: &Wish<'_>,
    now: Instant,
) -> SmallVec<[&'a Upstream; 32]> {
    // Zones are few and upstreams are many.
    let zones = places.zones_of(wish.region);
    let usable = pool.upstreams.iter().filter(|u| {
        zones.contains(&&u.entry.zone) && u.is_usable(now) && !wish.tried.contains(&u.key)
    });
    let mut usable: SmallVec<[&Upstream; 32]> = usable.collect();
    usable.sort_by_cached_key(|u| std::cmp::Reverse(u.rank(wish.object)));
    usable
}

/// Returns whether an upstream has a free slot and, where it is cold, bears
/// another request of this host.
fn is_open(u: &Upstream, places: Places<'_>, now: Instant) -> bool {
    if u.free(now) == 0 {
        return false;
    }
    // The hosts of its zone share what a cold upstream bears.
    !u.is_cold(now) || (u.entry.zone == *places.zone && u.cold_pace.is_open(now))
}
