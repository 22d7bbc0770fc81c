//! Which part of a region's requests runs in which region.
//!
//! Demand is spread over the regions so that all are loaded alike: a region
//! serves its own callers up to its part of the whole, and sends the rest to
//! regions in proportion to what they have left. Requests that may run in one
//! region alone come first there, and all others fill up what these leave.
//! The parts move slowly, so that a region's work never jumps.

use std::{
    collections::BTreeMap,
    fmt,
    time::Duration, //
};

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{
    retry::DrainMeter,
    util::id::RegionName, //
};

/// The part of its slots up to which a region keeps its own callers while there is room
/// elsewhere and the way there takes no time. Beyond it requests often find the upstreams
/// busy that know their objects.
const KEEP_MIN: f64 = 0.5;
/// That part where the way takes long: near full, requests wait as long as it takes.
const KEEP_MAX: f64 = 0.85;
/// The part of the allowed pace at which requests return to their own region. The upstreams
/// elsewhere know their objects, and the way there costs less than strange work does.
const RETURN_PART: f64 = 0.2;

/// What one region has and what its callers ask, for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionLoad {
    /// Slots that can be used.
    pub slots: f64,
    /// Slots that its callers' requests would hold, if they may run in any region.
    pub demand: f64,
    /// Slots that the requests would hold that may run in this region alone.
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

/// The part of a region's requests that runs in each region; the parts add up to 1.
pub type Shares = BTreeMap<RegionName, f64>;

/// Returns the slots that the requests of one zone's callers are taken to hold, beside
/// those that were measured, `after` the first request was seen.
///
/// What callers will send is unknown at the start. Shares that fit the slots are
/// nearly right under load, where wrong ones cost most, and cost a crossing without.
pub fn unseen_demand(slots: f64, zones: usize, after: Option<Duration>) -> f64 {
    let unseen = after.map_or(1.0, DrainMeter::unseen_part);
    slots / zones.max(1) as f64 * unseen
}

/// Returns the part of its slots up to which a region keeps its own callers, where the way
/// to another region and back takes `trip`: the longer it is beside their aim, the fuller.
pub fn keep_at_home(trip: Duration, aim: Duration) -> f64 {
    let way = trip.as_secs_f64() / aim.as_secs_f64().max(f64::EPSILON);
    (KEEP_MIN + way).min(KEEP_MAX)
}

/// Returns the part of its slots that each region uses if all are loaded alike, by the work
/// that is bound to them and all other work together. A region with more bound work than
/// that takes no other work.
fn common_fill(loads: &BTreeMap<RegionName, RegionLoad>) -> f64 {
    let demand: f64 = loads.values().map(|l| l.demand).sum();
    let mut open: SmallVec<[&RegionLoad; 8]> = loads.values().filter(|l| l.slots > 0.0).collect();
    loop {
        let slots: f64 = open.iter().map(|l| l.slots).sum();
        let bound: f64 = open.iter().map(|l| l.bound).sum();
        if slots <= 0.0 {
            return 0.0;
        }
        let fill = (demand + bound) / slots;
        let before = open.len();
        open.retain(|l| l.bound < fill * l.slots);
        if open.len() == before {
            return fill;
        }
    }
}

/// Returns the shares of the requests from `home` that may run in any region; `keep` is the
/// part of its slots up to which a region keeps its own callers.
pub fn shares(home: &RegionName, loads: &BTreeMap<RegionName, RegionLoad>, keep: f64) -> Shares {
    let mut shares = Shares::new();
    let own = loads.get(home).copied().unwrap_or_default();
    let fill = common_fill(loads).max(keep);
    // What a region takes of the work that may run anywhere.
    let taken = |l: &RegionLoad| (l.slots * fill - l.bound).max(0.0);
    let spare = |l: &RegionLoad| (taken(l) - l.demand).max(0.0);
    let over = (own.demand - taken(&own)).max(0.0);
    let all_spare: f64 = loads.values().map(spare).sum();
    let mut kept = 1.0;
    for (region, load) in loads {
        if region == home || all_spare <= 0.0 || own.demand <= 0.0 {
            continue;
        }
        let part = over / own.demand * spare(load) / all_spare;
        if part > 0.0 {
            shares.insert(region.clone(), part);
            kept -= part;
        }
    }
    shares.insert(home.clone(), kept);
    shares
}

/// Shares that follow their target no faster than a bound.
#[derive(Clone, Debug)]
pub struct SlowShares {
    home: RegionName,
    shares: Shares,
    /// The shares when they were last told.
    told: Shares,
    at: Option<Instant>,
    per_second: f64,
}

impl SlowShares {
    /// Returns shares that keep all at home until the first target is known.
    ///
    /// At most `moved` of all requests change region in `window`.
    pub fn new(home: &RegionName, moved: f64, window: Duration) -> Self {
        Self {
            home: home.clone(),
            shares: Shares::from([(home.clone(), 1.0)]),
            told: Shares::new(),
            at: None,
            per_second: moved / window.as_secs_f64().max(f64::EPSILON),
        }
    }

    /// Moves towards a target. Where no request was sent yet, nothing has to move,
    /// and the target is taken over at once.
    pub fn follow(&mut self, now: Instant, target: &Shares, has_sent: bool) {
        let at = self.at.replace(now).filter(|_| has_sent);
        let Some(at) = at else {
            self.shares = target.clone();
            return;
        };
        let part = |shares: &Shares| shares.get(&self.home).copied().unwrap_or(0.0);
        let pace = match part(target) > part(&self.shares) {
            true => self.per_second * RETURN_PART,
            false => self.per_second,
        };
        let most = pace * now.saturating_duration_since(at).as_secs_f64();
        let mut regions: Vec<RegionName> = self.shares.keys().cloned().collect();
        regions.extend(
            target
                .keys()
                .filter(|r| !self.shares.contains_key(*r))
                .cloned(),
        );
        let gap = |region: &RegionName| {
            let to = target.get(region).copied().unwrap_or(0.0);
            to - self.shares.get(region).copied().unwrap_or(0.0)
        };
        let moved: f64 = regions.iter().map(|r| gap(r).max(0.0)).sum();
        let step = if moved > most { most / moved } else { 1.0 };
        let next: Shares = regions
            .iter()
            .map(|r| {
                let now = self.shares.get(r).copied().unwrap_or(0.0);
                (r.clone(), now + gap(r) * step)
            })
            .filter(|(_, part)| *part > 0.0)
            .collect();
        self.shares = next;
    }

    /// Takes over the shares of the host that decides them.
    pub fn adopt(&mut self, now: Instant, shares: &Shares) {
        self.shares.clone_from(shares);
        self.at = Some(now);
    }

    /// Returns whether a share differs by `least` from when this was last true.
    pub fn moved_by(&mut self, least: f64) -> bool {
        let part = |shares: &Shares, r| shares.get(r).copied().unwrap_or(0.0);
        let mut regions = self.shares.keys().chain(self.told.keys());
        let moved = regions.any(|r| (part(&self.shares, r) - part(&self.told, r)).abs() >= least);
        if moved {
            self.told.clone_from(&self.shares);
        }
        moved
    }

    /// Returns the shares in force.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Returns the region of the request at `point`, from 0 to 1: the home
    /// region takes the lowest points.
    pub fn region_at(&self, home: &RegionName, point: f64) -> RegionName {
        let mut upto = self.shares.get(home).copied().unwrap_or(0.0);
        if point < upto {
            return home.clone();
        }
        for (region, part) in &self.shares {
            if region == home {
                continue;
            }
            upto += part;
            if point < upto {
                return region.clone();
            }
        }
        home.clone()
    }
}
