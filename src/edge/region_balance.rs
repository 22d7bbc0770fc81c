//! Distribution of each region's requests over the regions.
//!
//! Demand is balanced so that all regions have the same utilisation: a region serves its own
//! callers up to its share of the total, and sends the rest to other regions in proportion to their
//! spare capacity. Requests that are bound to a region have precedence there, and all others use
//! the remaining slots. The shares change slowly, so a region's load never jumps.

use std::{
    collections::BTreeMap,
    fmt,
    time::Duration, //
};

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{
    retry::RateMeter,
    util::id::RegionName, //
};

/// Utilisation up to which a region serves its own callers although other regions have room, if the
/// round trip to those takes no time. Above it, requests often find the upstreams busy that have
/// their objects cached.
const LOCAL_UTILISATION_MIN: f64 = 0.5;
/// That utilisation if the round trip is long: in a region that is nearly full, requests wait in
/// the queue about as long as a round trip takes.
const LOCAL_UTILISATION_MAX: f64 = 0.85;
/// Speed at which requests return to their own region, as a fraction of the permitted speed. The
/// upstreams elsewhere have the objects cached, and the round trip costs less than handling
/// uncached objects at home.
const RETURN_SPEED_FRACTION: f64 = 0.2;

/// Rotation of an object's hash for requests of returning callers, in bits. Half of the hash, so that
/// the leading bits of both points are independent.
const RETURNING_ROTATION_BITS: u32 = 32;

/// Slots of a service up to which a region counts as small. The standard deviation of random
/// arrivals is a sixth or more of their mean there.
const SMALL_REGION_SLOTS_MAX: u32 = 36;

/// Capacity and demand of one region, for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionLoad {
    /// Usable slots.
    pub slots: f64,
    /// Slots that the requests of the region's callers need, counting those that may run in any
    /// region.
    pub demand: f64,
    /// Slots needed by requests that may run in this region only.
    pub bound: f64,
}

impl fmt::Display for RegionLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            slots,
            demand,
            bound,
        } = self;
        write!(f, "{slots}/{demand:.1}/{bound:.1}")
    }
}

/// Fraction of a region's requests that runs in each region; the fractions add up to 1.
pub type Shares = BTreeMap<RegionName, f64>;

/// Returns the point, from 0 to 1, by which the regions' shares assign an object's requests.
pub fn position(object: u64) -> f64 {
    // A float holds 53 bits exactly.
    (object >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the point for callers that a small region has refused.
///
/// Random peaks of the demand are largest in small regions, so that these refuse most. If their
/// callers returned to the same region, it would refuse them again, and the mixture of regions would
/// change as soon as mostly such callers send requests.
pub fn position_of_returning(object: u64) -> f64 {
    position(object.rotate_left(RETURNING_ROTATION_BITS))
}

/// Returns whether random peaks of the demand exceed the slots of a region often.
pub fn is_small(slots: u32) -> bool {
    slots <= SMALL_REGION_SLOTS_MAX
}

/// Returns the assumed demand of one zone's callers, in slots, to add to the measured demand.
/// `after` is the time since the first request, if there was one.
///
/// Before the first requests the demand is unknown, so it is assumed to fill the slots. The
/// resulting shares are nearly right under load, where wrong ones are most expensive; without load
/// they cost some requests a round trip to another region.
pub fn assumed_demand(slots: f64, zones: usize, after: Option<Duration>) -> f64 {
    let unmeasured = after.map_or(1.0, RateMeter::unmeasured_fraction);
    slots / zones.max(1) as f64 * unmeasured
}

/// Returns the utilisation up to which a region serves its own callers, given the round-trip time
/// `trip` to another region. It rises with the ratio of `trip` to the latency target.
pub fn local_utilisation_limit(trip: Duration, latency_target: Duration) -> f64 {
    let trip_ratio = trip.as_secs_f64() / latency_target.as_secs_f64().max(f64::EPSILON);
    (LOCAL_UTILISATION_MIN + trip_ratio).min(LOCAL_UTILISATION_MAX)
}

/// Returns the utilisation of each region if the total work, bound or not, is balanced. A region
/// with more bound work than that takes no other work.
fn balanced_utilisation(loads: &BTreeMap<RegionName, RegionLoad>) -> f64 {
    let demand: f64 = loads.values().map(|l| l.demand).sum();
    let mut open: SmallVec<[&RegionLoad; 8]> = loads.values().filter(|l| l.slots > 0.0).collect();
    loop {
        let slots: f64 = open.iter().map(|l| l.slots).sum();
        let bound: f64 = open.iter().map(|l| l.bound).sum();
        if slots <= 0.0 {
            return 0.0;
        }
        let utilisation = (demand + bound) / slots;
        let before = open.len();
        open.retain(|l| l.bound < utilisation * l.slots);
        if open.len() == before {
            return utilisation;
        }
    }
}

/// Returns the shares of those requests from `home` that may run in any region. `local_max` is the
/// utilisation up to which a region serves its own callers.
pub fn shares(
    home: &RegionName,
    loads: &BTreeMap<RegionName, RegionLoad>,
    local_max: f64,
) -> Shares {
    let mut shares = Shares::new();
    let own = loads.get(home).copied().unwrap_or_default();
    let utilisation = balanced_utilisation(loads).max(local_max);
    // Slots of a region that are available to work that may run anywhere.
    let available = |l: &RegionLoad| (l.slots * utilisation - l.bound).max(0.0);
    let spare = |l: &RegionLoad| (available(l) - l.demand).max(0.0);
    let overflow = (own.demand - available(&own)).max(0.0);
    let all_spare: f64 = loads.values().map(spare).sum();
    let mut kept = 1.0;
    for (region, load) in loads {
        if region == home || all_spare <= 0.0 || own.demand <= 0.0 {
            continue;
        }
        let share = overflow / own.demand * spare(load) / all_spare;
        if share > 0.0 {
            shares.insert(region.clone(), share);
            kept -= share;
        }
    }
    shares.insert(home.clone(), kept);
    shares
}

/// Shares that move towards their target at a limited speed.
#[derive(Clone, Debug)]
pub struct RateLimitedShares {
    home: RegionName,
    shares: Shares,
    /// The shares when `take_change` last returned true.
    reported: Shares,
    updated_at: Option<Instant>,
    per_second: f64,
}

impl RateLimitedShares {
    /// Creates shares that keep all requests in `home` until the first target is known.
    ///
    /// At most the fraction `moved_max` of all requests changes region within `window`.
    pub fn new(home: &RegionName, moved_max: f64, window: Duration) -> Self {
        Self {
            home: home.clone(),
            shares: Shares::from([(home.clone(), 1.0)]),
            reported: Shares::new(),
            updated_at: None,
            per_second: moved_max / window.as_secs_f64().max(f64::EPSILON),
        }
    }

    /// Moves the shares towards a target. If no request has been sent yet, the target is adopted
    /// immediately, since there is no load to move.
    pub fn move_towards(&mut self, now: Instant, target: &Shares, has_sent: bool) {
        let updated_at = self.updated_at.replace(now).filter(|_| has_sent);
        let Some(updated_at) = updated_at else {
            self.shares = target.clone();
            return;
        };
        let share = |shares: &Shares| shares.get(&self.home).copied().unwrap_or(0.0);
        let speed = match share(target) > share(&self.shares) {
            true => self.per_second * RETURN_SPEED_FRACTION,
            false => self.per_second,
        };
        let step_max = speed * now.saturating_duration_since(updated_at).as_secs_f64();
        let mut regions: Vec<RegionName> = self.shares.keys().cloned().collect();
        regions.extend(
            target
                .keys()
                .filter(|r| !self.shares.contains_key(*r))
                .cloned(),
        );
        let gap = |region: &RegionName| {
            let target_share = target.get(region).copied().unwrap_or(0.0);
            target_share - self.shares.get(region).copied().unwrap_or(0.0)
        };
        let moved: f64 = regions.iter().map(|r| gap(r).max(0.0)).sum();
        let step = if moved > step_max {
            step_max / moved
        } else {
            1.0
        };
        let next: Shares = regions
            .iter()
            .map(|r| {
                let now = self.shares.get(r).copied().unwrap_or(0.0);
                (r.clone(), now + gap(r) * step)
            })
            .filter(|(_, share)| *share > 0.0)
            .collect();
        self.shares = next;
    }

    /// Adopts the shares that the deciding host has computed.
    pub fn adopt(&mut self, now: Instant, shares: &Shares) {
        self.shares.clone_from(shares);
        self.updated_at = Some(now);
    }

    /// Returns whether a share has changed by at least `threshold` since this method last returned
    /// true, and makes the present shares the new reference if so.
    pub fn take_change(&mut self, threshold: f64) -> bool {
        let share = |shares: &Shares, r| shares.get(r).copied().unwrap_or(0.0);
        let mut regions = self.shares.keys().chain(self.reported.keys());
        let moved =
            regions.any(|r| (share(&self.shares, r) - share(&self.reported, r)).abs() >= threshold);
        if moved {
            self.reported.clone_from(&self.shares);
        }
        moved
    }

    /// Returns the current shares.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Returns the region for a request whose hash maps to `point`, from 0 to 1. The home region
    /// takes the lowest points.
    pub fn region_at(&self, home: &RegionName, point: f64) -> RegionName {
        let mut upper_bound = self.shares.get(home).copied().unwrap_or(0.0);
        if point < upper_bound {
            return home.clone();
        }
        for (region, share) in &self.shares {
            if region == home {
                continue;
            }
            upper_bound += share;
            if point < upper_bound {
                return region.clone();
            }
        }
        home.clone()
    }
}
