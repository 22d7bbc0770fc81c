//! Selects where a request looks for a slot: its region, the scheduling domains there, and the
//! hosts that schedule them.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Dispatcher,
    WaitingRequest, //
};
use crate::{
    edge::{
        message::Job,
        peers::Domain,
        placement::{
            View,
            needs_home_per_zone, //
        },
        upstreams::{
            UpstreamKey,
            zone_hash, //
        },
        zone_cache,
    },
    quarantine::UpstreamStart,
    util::id::{
        HostName,
        RegionName,
        ZoneName, //
    },
};

/// Minimum ratio of a request's latency target to the round trip to a scheduler in another
/// region. Below it, the request is sent to the object's first home upstream there without a
/// claim.
const AIM_PER_ROUND_TRIP_MIN: u32 = 8;

/// Hashes of zone names, as returned by [`zone_hash`].
pub(super) type ZoneHashes = SmallVec<[u64; 4]>;

/// A run in progress that this host sent to an upstream.
#[derive(Clone, Debug)]
pub(super) struct LocalRun {
    pub(super) upstream: UpstreamKey,
    /// The start of the upstream that the run was sent to.
    pub(super) start: UpstreamStart,
    pub(super) domain: Domain,
}

/// The host that schedules the slots of a domain.
pub(super) enum Scheduler {
    /// This host schedules the domain.
    Local,
    /// Another host schedules the domain.
    Remote(HostName),
    /// No scheduler is known, or it cannot reply in time.
    Unavailable,
}

impl Dispatcher {
    /// Returns the zones of a domain.
    fn zones_of(&self, domain: &Domain) -> SmallVec<[ZoneName; 4]> {
        match domain {
            Domain::Zone(zone) => SmallVec::from_iter([zone.clone()]),
            Domain::Region(region) => {
                let zones = self.settings.regions.iter().filter(|(_, r)| *r == region);
                zones.map(|(zone, _)| zone.clone()).collect()
            }
        }
    }

    /// Returns the hashes of a domain's zones that are not evacuated.
    pub(super) fn active_zones(&self, domain: &Domain) -> ZoneHashes {
        let zones = self.zones_of(domain);
        let open = zones.iter().filter(|z| !self.evacuated_zones.contains(*z));
        open.map(zone_hash).collect()
    }

    /// Returns whether a domain belongs to this host's region.
    pub(super) fn is_own_region(&self, domain: &Domain) -> bool {
        let region = match domain {
            Domain::Zone(zone) => self.settings.region_of(zone),
            Domain::Region(region) => Some(region),
        };
        region == Some(&self.settings.region)
    }

    /// Returns the domains of a region that may take a request, in order of preference.
    ///
    /// Each object has a preferred zone; objects are distributed over the zones in proportion to
    /// their slots. A request with a large body prefers this host's zone.
    pub(super) fn domains(&self, job: &Job, region: &RegionName) -> SmallVec<[Domain; 4]> {
        let Some(pool) = self.upstreams.pool(&job.service) else {
            return SmallVec::new();
        };
        let needs_home_per_zone = needs_home_per_zone(job.bytes, pool.work_of(job.route));
        let mut ranked: SmallVec<[(f64, &ZoneName); 4]> = SmallVec::new();
        for (zone, zone_region) in &self.settings.regions {
            if zone_region != region || self.evacuated_zones.contains(zone) {
                continue;
            }
            let hash = zone_hash(zone);
            let slots = pool.slots_in(hash);
            if slots == 0 {
                continue;
            }
            let is_own = needs_home_per_zone && *zone == self.settings.zone;
            let rank = if is_own {
                0.0
            } else {
                weighted_rank(job.object, hash, slots)
            };
            ranked.push((rank, zone));
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut domains: SmallVec<[Domain; 4]> = SmallVec::new();
        for (_, zone) in ranked {
            let domain = self.peers.domain_of(zone);
            if !domains.contains(&domain) {
                domains.push(domain);
            }
        }
        domains
    }

    /// Returns whether the zone that a large request would stay in cannot keep its object cached, so
    /// that the zone of the region that the object prefers should serve it.
    pub(super) fn is_kept_elsewhere(&self, now: Instant, waiting: &WaitingRequest) -> bool {
        let Some(Domain::Zone(zone)) = &waiting.domain else {
            return false;
        };
        let (job, hash) = (&waiting.job, zone_hash(zone));
        let is_scheduled_here = waiting.view == View::Scheduler && job.has_object;
        if !is_scheduled_here || job.bytes == 0 || self.serving_zone(waiting) != zone {
            return false;
        }
        let Some(pool) = self.upstreams.pool(&job.service) else {
            return false;
        };
        if !needs_home_per_zone(job.bytes, pool.work_of(job.route)) {
            return false;
        }
        let region = self.settings.region_of(zone);
        let (mut slots, mut preferred) = (0, None);
        for (other, other_region) in &self.settings.regions {
            let other_hash = zone_hash(other);
            let other_slots = pool.slots_in(other_hash);
            let is_open = other_slots > 0 && !self.evacuated_zones.contains(other);
            if Some(other_region) != region || !is_open {
                continue;
            }
            slots += other_slots;
            let rank = weighted_rank(job.object, other_hash, other_slots);
            if preferred.is_none_or(|(least, _)| rank < least) {
                preferred = Some((rank, other));
            }
        }
        if preferred.is_none_or(|(_, preferred)| preferred == zone) {
            return false;
        }
        let preferring = f64::from(pool.slots_in(hash)) / f64::from(slots.max(1));
        !zone_cache::keeps_object(pool, hash, job.route, job.object, preferring, now)
    }

    /// Returns another region that may have a slot for a request. All requests for an object
    /// overflow to the same region; objects are distributed in proportion to the slots.
    ///
    /// A region whose hosts are not heard may be cut off from this one, which costs a request the
    /// time to connect, or only its hosts may be gone. It is tried only if `is_last_resort`.
    pub(super) fn overflow_region(
        &self,
        now: Instant,
        job: &Job,
        full_region: &RegionName,
        is_last_resort: bool,
    ) -> Option<RegionName> {
        let pool = self.upstreams.pool(&job.service)?;
        let mut best: Option<(bool, f64, &RegionName)> = None;
        for (zone, region) in &self.settings.regions {
            let hash = zone_hash(zone);
            let slots = pool.slots_in(hash);
            let is_open =
                region != full_region && slots > 0 && !self.evacuated_zones.contains(zone);
            let is_unheard = self.is_region_unreachable(now, region);
            if !is_open || (is_unheard && !is_last_resort) {
                continue;
            }
            let rank = weighted_rank(job.object, hash, slots);
            if best.is_none_or(|(unheard, least, _)| (is_unheard, rank) < (unheard, least)) {
                best = Some((is_unheard, rank, region));
            }
        }
        best.map(|(.., region)| region.clone())
    }

    /// Returns which host schedules a domain, for a request with this latency target.
    pub(super) fn scheduler_of(
        &self,
        now: Instant,
        domain: &Domain,
        latency_target: Duration,
    ) -> Scheduler {
        let Some(host) = self.peers.scheduler(now, domain) else {
            return Scheduler::Unavailable;
        };
        if *host == self.settings.host {
            return Scheduler::Local;
        }
        if self.claims.is_silent(now, host) {
            return Scheduler::Unavailable;
        }
        let round_trip = self.claims.round_trip(domain).unwrap_or_default();
        match !self.is_own_region(domain) && round_trip * AIM_PER_ROUND_TRIP_MIN > latency_target {
            true => Scheduler::Unavailable,
            false => Scheduler::Remote(host.clone()),
        }
    }

    /// Returns whether no zone leader of another region can be reached.
    pub(super) fn is_region_unreachable(&self, now: Instant, region: &RegionName) -> bool {
        if *region == self.settings.region {
            return false;
        }
        let zones = self.settings.regions.iter().filter(|(_, r)| *r == region);
        let is_reachable = |zone: &ZoneName| {
            let leader = self.peers.leader(now, zone);
            leader.is_some_and(|host| !self.claims.is_silent(now, host))
        };
        !zones.map(|(zone, _)| zone).any(is_reachable)
    }

    /// Returns the view this host has of a domain's upstreams without asking the scheduler.
    pub(super) fn view_without_scheduler(&self, domain: &Domain) -> View {
        match self.is_own_region(domain) {
            true => View::Near,
            false => View::Far,
        }
    }

    /// Assigns a request to the upstreams of a domain.
    pub(super) fn assign_domain(&self, waiting: &mut WaitingRequest, domain: Domain, view: View) {
        waiting.zones = self.active_zones(&domain);
        waiting.domain = Some(domain);
        waiting.view = view;
    }
}

/// Returns the weighted rendezvous rank of a zone for an object; the lowest rank is preferred.
/// Each zone is preferred for a fraction of the objects proportional to its slots.
fn weighted_rank(object: u64, zone: u64, slots: u32) -> f64 {
    let hash = xxh3_64_with_seed(&zone.to_le_bytes(), object);
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -unit.ln() / f64::from(slots)
}
