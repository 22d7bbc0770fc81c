//! Chooses the upstream for a request, or lets the request wait for a better one.
//!
//! The policy is designed for sustained overload by objects that are cached on few upstreams. An
//! upstream that has handled an object recently is taken to have it cached: it answers sooner and
//! frees its slot sooner, and each uncached object that it handles evicts a cached one. A request
//! therefore goes to the upstream with the earliest expected answer, and waits for a busy upstream
//! that has its object cached rather than using a free one that does not. Only the object's home
//! upstreams and idle upstreams ever handle an object that they do not have cached.
//!
//! With every upstream serving cached objects, the same slots carry several times the load. A
//! request for an uncached object holds its slot for longer, so more requests have to wait, and
//! those then run on upstreams that do not have their objects cached either. Requests that are
//! already late are therefore kept out of such slots.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::{
    object_recency::WorkByPosition,
    upstreams::{
        Pool,
        Upstream,
        UpstreamKey, //
    },
};

/// Home upstreams of an object, not counting the homes of single zones.
const HOME_COUNT: usize = 2;
/// Cost of sending a request to another zone, as a fraction of the work for an uncached object,
/// above which each zone gets a home for the object.
const CROSS_ZONE_COST_FRACTION_MAX: f64 = 0.1;
/// Objects that an upstream must have handled before it stops counting as new.
const NEW_UPSTREAM_OBJECTS: usize = 4;
/// Penalty for each further rank of an upstream without the object, as a fraction of its work.
const RANK_PENALTY_FRACTION: f64 = 0.01;
/// An upstream counts as idle when at least one in this many of its slots is free.
const IDLE_SLOTS_DIVISOR: u32 = 2;
/// Cost to other requests of handling an uncached object, as a fraction of its work.
const UNCACHED_PENALTY_FRACTION: f64 = 0.5;
/// Additional latency of a request to another zone, in seconds.
const CROSS_ZONE_SECONDS: f64 = 0.004;
/// Cost of sending a kilobyte to another zone, in seconds; traffic between zones is billed.
const CROSS_ZONE_SECONDS_PER_KB: f64 = 0.005;
/// Idle time of a slot between the end of one request and the start of the next, in seconds.
const HANDOVER_SECONDS: f64 = 0.005;

/// A request to be placed, and the constraints on its upstream.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Hash of the object that the request is for.
    pub object: u64,
    /// Hash of the request's route.
    pub route: u64,
    /// Bytes that pass between the upstream and the host that serves the caller: the request body,
    /// and the expected answer if it is large.
    pub bytes: u64,
    /// Hashes of the zones in which the request may run.
    pub zones: &'a [u64],
    /// Upstreams that the request must not be sent to, such as those that it was sent to already.
    pub excluded: &'a [UpstreamKey],
    /// Whether the request has reached the end of its permitted wait.
    pub late: bool,
    /// What the deciding host knows of the upstreams.
    pub view: View,
}

/// How much the deciding host knows of the upstreams' load and recent objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// The host schedules their slots: it knows all requests that run there and paces cold
    /// upstreams.
    Scheduler,
    /// The host is in the same region and no scheduler is available.
    Near,
    /// The host is in another region and no scheduler is available.
    Far,
}

/// Returns the cost of `bytes` bytes that pass between zones, in seconds.
fn transfer_seconds(bytes: u64) -> f64 {
    bytes as f64 / 1000.0 * CROSS_ZONE_SECONDS_PER_KB
}

/// Returns the cost of `bytes` bytes that pass between zones or regions, as an additional latency.
pub fn transfer_cost(bytes: u64) -> Duration {
    Duration::try_from_secs_f64(transfer_seconds(bytes)).unwrap_or(Duration::MAX)
}

/// Returns the cost of running a request with `bytes` bytes in another zone, in seconds.
fn cross_zone_seconds(bytes: u64) -> f64 {
    CROSS_ZONE_SECONDS + transfer_seconds(bytes)
}

/// Returns whether passing `bytes` bytes to another zone is so expensive that each zone
/// needs a home for the object.
pub fn needs_home_per_zone(bytes: u64, work: &WorkByPosition) -> bool {
    cross_zone_seconds(bytes) > work.expected_seconds(None) * CROSS_ZONE_COST_FRACTION_MAX
}

/// An upstream that may serve the request.
struct Candidate<'a> {
    upstream: &'a Upstream,
    /// Rendezvous-hash rank for the object; the first home has the highest rank.
    rank: u64,
    /// Position of the object in the upstream's most-recently-used list, or `None` if the object is
    /// not in it.
    list_index: Option<usize>,
}

impl Candidate<'_> {
    /// Estimates how many of `all` candidates have a higher rank than this one.
    fn higher_ranked(&self, all: usize) -> f64 {
        (u64::MAX - self.rank) as f64 / u64::MAX as f64 * all as f64
    }
}

/// The home upstreams of an object: the highest-ranked ones overall, and the highest-ranked one of
/// each zone if sending the request between zones is expensive.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    first: SmallVec<[(u64, UpstreamKey); HOME_COUNT]>,
    by_zone: SmallVec<[(u64, u64, UpstreamKey); 4]>,
}

impl Homes {
    fn select(candidates: &[Candidate<'_>], each_zone: bool) -> Self {
        let mut homes = Self::default();
        for c in candidates {
            homes.add(c.rank, c.upstream.key);
            if each_zone {
                homes.add_zone_home(c.rank, c.upstream);
            }
        }
        homes
    }

    fn add(&mut self, rank: u64, key: UpstreamKey) {
        let index = self.first.iter().take_while(|(r, _)| *r > rank).count();
        if index < HOME_COUNT {
            self.first.truncate(HOME_COUNT - 1);
            self.first.insert(index, (rank, key));
        }
    }

    fn add_zone_home(&mut self, rank: u64, u: &Upstream) {
        match self.by_zone.iter_mut().find(|(z, ..)| *z == u.zone_hash) {
            Some(first) if first.1 < rank => *first = (u.zone_hash, rank, u.key),
            Some(_) => {}
            None => self.by_zone.push((u.zone_hash, rank, u.key)),
        }
    }

    fn is_first(&self, key: UpstreamKey) -> bool {
        self.first.first().is_some_and(|(_, k)| *k == key)
    }

    fn is_zone_home(&self, key: UpstreamKey) -> bool {
        self.by_zone.iter().any(|(.., k)| *k == key)
    }

    /// Returns whether the upstream is a home of the object.
    pub fn contains(&self, key: UpstreamKey) -> bool {
        self.first.iter().any(|(_, k)| *k == key) || self.is_zone_home(key)
    }
}

/// The result of a placement decision.
#[derive(Clone, Debug)]
pub enum Pick {
    /// The request goes to this upstream.
    Upstream(UpstreamKey),
    /// The request waits until a slot is freed on one of these homes, on an upstream that has its
    /// object cached, or on an idle upstream.
    Wait(Homes),
}

/// Picks an upstream with a free slot, or decides that the request waits. `own_zone` is the zone of
/// the host that serves the caller, which need not be the deciding host.
pub fn pick(pool: &Pool, own_zone: u64, req: &PlacementRequest<'_>, now: Instant) -> Pick {
    let work = pool.work_of(req.route);
    let has_upstream_state = req.view != View::Far;
    let needs_home_per_zone = needs_home_per_zone(req.bytes, work);
    let candidates = candidates(pool, req, now);
    let homes = Homes::select(&candidates, needs_home_per_zone);
    let is_cached_anywhere =
        has_upstream_state && candidates.iter().any(|c| work.is_warm(c.list_index));
    let cross_zone_seconds = cross_zone_seconds(req.bytes);
    let mut best_free: Option<(f64, UpstreamKey)> = None;
    let mut best_busy_cost = f64::INFINITY;
    for c in &candidates {
        let u = c.upstream;
        let is_first = homes.is_first(u.key);
        // Hosts do not learn what runs in another region; the first home is assumed to have the
        // object cached.
        let list_index = match has_upstream_state {
            true => c.list_index,
            false => is_first.then_some(0),
        };
        let warm = work.is_warm(list_index);
        if !warm && !is_idle(u, now) && !homes.contains(u.key) {
            continue;
        }
        // The load of the other upstreams there is mostly unknown, and a wrong guess evicts cached
        // objects.
        if !has_upstream_state && !is_first {
            continue;
        }
        // A request that is already late must not take a slot from one that can still be answered
        // in time.
        if req.late && !warm && !is_idle(u, now) && (is_cached_anywhere || !is_first) {
            continue;
        }
        let zone_cost = match u.zone_hash == own_zone {
            true => 0.0,
            false => cross_zone_seconds,
        };
        let is_home = match needs_home_per_zone {
            true => homes.is_zone_home(u.key),
            false => is_first,
        };
        let is_new = has_upstream_state && is_home && u.recent.len() < NEW_UPSTREAM_OBJECTS;
        // Among upstreams without the object, the homes come first, in the order of their rank.
        let uncached_penalty = match warm {
            true => 0.0,
            false => {
                UNCACHED_PENALTY_FRACTION
                    + c.higher_ranked(candidates.len()) * RANK_PENALTY_FRACTION
            }
        };
        let cost = match is_new {
            true => zone_cost,
            false => {
                let seconds = work.expected_seconds(list_index);
                let slowness = u.slowness.factor(now);
                let pace = u.pace.expected_factor(now, seconds * slowness);
                seconds * (slowness * pace + uncached_penalty) + zone_cost
            }
        };
        if !is_available(u, own_zone, req.view, now) {
            let slot_work = pool.work() * u.pace.expected_factor(now, pool.work());
            let wait = slot_work / f64::from(u.limit().max(1)) + HANDOVER_SECONDS;
            best_busy_cost = best_busy_cost.min(cost + wait);
            continue;
        }
        if best_free.is_none_or(|(least, _)| cost < least) {
            best_free = Some((cost, u.key));
        }
    }
    match best_free {
        Some((cost, key)) if req.late || cost <= best_busy_cost => Pick::Upstream(key),
        _ => Pick::Wait(homes),
    }
}

/// Returns whether a waiting request for `object` may use a slot that was freed on this upstream.
pub fn may_use_freed_slot(u: &Upstream, homes: &Homes, object: u64, now: Instant) -> bool {
    homes.contains(u.key) || is_idle(u, now) || u.recent.list_index(object).is_some()
}

/// Returns the usable upstreams in the request's zones that are not excluded.
fn candidates<'a>(pool: &'a Pool, req: &PlacementRequest<'_>, now: Instant) -> Vec<Candidate<'a>> {
    let mut usable = Vec::with_capacity(pool.upstreams.len());
    for upstream in &pool.upstreams {
        if !req.zones.contains(&upstream.zone_hash) || !upstream.is_usable(now) {
            continue;
        }
        if req.excluded.contains(&upstream.key) {
            continue;
        }
        usable.push(Candidate {
            upstream,
            rank: upstream.rank(req.object),
            list_index: upstream.recent.list_index(req.object),
        });
    }
    usable
}

/// Returns whether enough slots are free that an uncached object evicts none that is in use.
fn is_idle(u: &Upstream, now: Instant) -> bool {
    u.free(now).saturating_mul(IDLE_SLOTS_DIVISOR) >= u.limit()
}

/// Returns whether the upstream has a free slot and, if it is cold, may take another request from
/// this host now.
fn is_available(u: &Upstream, own_zone: u64, view: View, now: Instant) -> bool {
    if u.free(now) == 0 {
        return false;
    }
    // Without a scheduler, only the hosts of its zone send to a cold upstream and share its rate.
    let shares_cold_rate = view == View::Scheduler || u.zone_hash == own_zone;
    !u.is_cold(now) || (shares_cold_rate && u.cold_pace.is_available(now))
}
