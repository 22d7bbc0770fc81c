//! Which upstream a request goes to.
//!
//! Under a standing load above all slots an upstream that handled the object
//! before is worth more than a free one: it answers sooner and frees its slot
//! sooner. Each object has a few home upstreams in each zone, the same on all
//! hosts. A request goes to a home in its own zone, then to one in another zone
//! of the region, and to any other upstream only once it has waited.

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

/// Upstreams of a zone that one object's requests go to first.
const HOMES_PER_ZONE: usize = 2;

/// The part of its slots that an upstream has free when it counts as idle, one in this many.
const IDLE_PART: u32 = 2;

/// What a request asks of its upstream.
#[derive(Clone, Debug)]
pub struct Wish<'a> {
    /// The object's hash.
    pub object: u64,
    /// The region in which it is to run.
    pub region: &'a RegionName,
    /// Upstreams that were tried already.
    pub tried: &'a [UpstreamKey],
    /// Whether an upstream that does not know the object will do.
    pub any: bool,
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
    /// Returns whether an upstream may get work in a region.
    pub fn allow(&self, u: &Upstream, region: &RegionName) -> bool {
        self.regions.get(&u.entry.zone) == Some(region) && !self.evacuated.contains(&u.entry.zone)
    }
}

/// Picks an upstream with a free slot; none where the request has to wait.
pub fn pick(pool: &Pool, places: Places<'_>, wish: &Wish<'_>, now: Instant) -> Option<UpstreamKey> {
    let mut zones: SmallVec<[(&ZoneName, SmallVec<[&Upstream; 16]>); 4]> = SmallVec::new();
    for u in &pool.upstreams {
        if !places.allow(u, wish.region) || !u.is_usable(now) || wish.tried.contains(&u.key) {
            continue;
        }
        match zones.iter_mut().find(|(zone, _)| *zone == &u.entry.zone) {
            Some((_, members)) => members.push(u),
            None => zones.push((&u.entry.zone, SmallVec::from_iter([u]))),
        }
    }
    zones.sort_by_key(|(zone, _)| (*zone != places.zone, *zone));
    for (_, members) in &mut zones {
        members.sort_by_cached_key(|u| std::cmp::Reverse(u.rank(wish.object)));
        let homes = members.iter().take(HOMES_PER_ZONE);
        if let Some(u) = homes.copied().find(|u| is_open(u, places, now)) {
            return Some(u.key);
        }
    }
    if !wish.any {
        return None;
    }
    for (_, members) in &zones {
        let open = members.iter().filter(|u| is_open(u, places, now));
        // A strange object takes long and drives known ones out, so only idle upstreams get it.
        let open = open.filter(|u| u.free(now) * IDLE_PART >= u.entry.slots);
        if let Some(u) = open.max_by_key(|u| u.free(now)) {
            return Some(u.key);
        }
    }
    None
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
