//! Which objects the upstreams of one zone keep cached for large answers.
//!
//! With large answers, each zone caches the objects of its own callers, so the same object is cached
//! in several zones. A zone with few upstreams cannot keep all of them: each object that it loads
//! evicts another one, and most answers are late. Such a zone serves the objects that prefer it, and
//! others only as far as there is room; the rest go to the zone of the region that they prefer.

use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    object_recency::RECENT_OBJECTS_MAX,
    upstreams::Pool, //
};

/// Mixed into the hash of an object, so that the choice does not depend on the zone it prefers.
const CHOICE_SEED: u64 = 0x0063_6163_6865;

/// Fraction of the estimated capacity that is used. Requests for slightly more objects than are
/// cached evict one another.
const USED_CAPACITY_FRACTION: f64 = 0.9;

/// Returns whether a zone has the object cached, or has room to cache it for its own callers.
/// `preferring` is the fraction of the objects that prefer the zone; the object is not one of them.
pub fn keeps_object(
    pool: &Pool,
    zone_hash: u64,
    route: u64,
    object: u64,
    preferring: f64,
    now: Instant,
) -> bool {
    let work = pool.work_of(route);
    let Some(capacity) = work.cached_positions() else {
        return true;
    };
    let mut upstreams = 0_usize;
    let mut objects: SmallVec<[u64; RECENT_OBJECTS_MAX]> = SmallVec::new();
    for u in &pool.upstreams {
        if u.zone_hash != zone_hash || !u.is_usable(now) {
            continue;
        }
        let list_index = u.recent.list_index(object);
        if list_index.is_some_and(|i| (i as f64) < capacity) {
            return true;
        }
        upstreams += 1;
        objects.extend(u.recent.iter());
    }
    objects.sort_unstable();
    objects.dedup();
    let room = upstreams as f64 * capacity * USED_CAPACITY_FRACTION;
    hash_fraction(object) < spare_fraction(objects.len() as f64, room, preferring)
}

/// Returns the fraction of the objects preferring other zones that a zone with `room` has room for,
/// out of `objects` in all.
fn spare_fraction(objects: f64, room: f64, preferring: f64) -> f64 {
    let others = objects * (1.0 - preferring);
    (room - objects * preferring) / others.max(f64::EPSILON)
}

fn hash_fraction(object: u64) -> f64 {
    let hash = xxh3_64_with_seed(&object.to_le_bytes(), CHOICE_SEED);
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
