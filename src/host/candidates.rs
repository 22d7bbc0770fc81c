//! Selects the candidate zones and gateways for a request.

use rand::RngExt;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{
    host::{
        Host,
        message::{
            Choose,
            Target, //
        },
    },
    membership::PeerState,
    plan::WEIGHT_SUM,
    route::Candidate,
    util::id::{
        HostName,
        RegionName,
        ServiceName,
        ZoneName, //
    },
};

/// Assumed one-way delay between zones of one region.
const ZONE_DELAY: std::time::Duration = std::time::Duration::from_millis(1);

impl Host {
    /// Returns the zones that could serve the request, weighted by the region's plan. The
    /// own zone is always among them.
    pub(super) fn candidates(&self, now: Instant, msg: &Choose) -> Vec<Candidate> {
        let Some(index) = &self.index else {
            return Vec::new();
        };
        let steer = self.plan_of_region();
        let steer = steer.and_then(|plan| plan.steer(&self.cfg.zone, &msg.service));
        let mut candidates = Vec::new();
        for pool in index.pools(&msg.service) {
            let is_own = pool.zone == self.cfg.zone;
            let weight = match steer {
                Some(steer) => {
                    let found = steer.weights.iter().find(|w| w.zone == pool.zone);
                    found.map_or(0, |w| w.weight)
                }
                None if is_own => WEIGHT_SUM,
                None => 0,
            };
            if let Some(c) = self.candidate(now, msg, &pool.zone, weight) {
                candidates.push(c);
            }
        }
        if !candidates.iter().any(|c| c.zone == self.cfg.zone) {
            candidates.extend(self.own_zone_without_pool());
        }
        candidates
    }

    /// Returns a zone as a candidate; none if its region is not configured or the own
    /// region is unknown.
    pub(super) fn candidate(
        &self,
        now: Instant,
        msg: &Choose,
        zone: &ZoneName,
        weight: u16,
    ) -> Option<Candidate> {
        let index = self.index.as_ref()?;
        let region = index.region_of(zone)?.clone();
        let own_region = self.region.as_ref()?;
        let (delay, headroom) = match index.link(own_region, &region) {
            Some(link) => {
                let available = self.headroom.get(&link.name).copied();
                (link.delay, Some(available.unwrap_or_default()))
            }
            None => (ZONE_DELAY, None),
        };
        let (free, age, reachable) = self.free_slots_in(now, &msg.service, zone);
        let is_draining = self.is_drained(zone, &msg.service);
        let tried = |t: &Target| matches!(t, Target::Gateway { zone: z, .. } if z == zone);
        Some(Candidate {
            zone: zone.clone(),
            region,
            weight,
            free,
            age,
            spilled: self.loads.spilled_to(&msg.service, zone),
            spilled_at_report: self.loads.spilled_at_report(&msg.service, zone),
            sending_gateways: self.zone_gateway_count(),
            delay,
            headroom,
            // A draining own zone still serves until the plan has moved its work away.
            drained: is_draining && *zone != self.cfg.zone,
            draining: is_draining,
            reachable: reachable && !msg.tried.iter().any(tried),
        })
    }

    /// Returns a candidate for the own zone when it has no upstreams of the service.
    pub(super) fn own_zone_without_pool(&self) -> Option<Candidate> {
        Some(Candidate {
            zone: self.cfg.zone.clone(),
            region: self.region.clone()?,
            weight: 0,
            free: 0,
            age: std::time::Duration::ZERO,
            spilled: 0,
            spilled_at_report: 0,
            sending_gateways: 1,
            delay: std::time::Duration::ZERO,
            headroom: None,
            drained: false,
            draining: false,
            reachable: true,
        })
    }

    /// Returns a zone's free slots, the age of that figure, and whether a gateway there
    /// is reachable.
    pub(super) fn free_slots_in(
        &self,
        now: Instant,
        service: &ServiceName,
        zone: &ZoneName,
    ) -> (u32, std::time::Duration, bool) {
        if *zone == self.cfg.zone {
            let own = self.pools.get(service).map_or(0, |p| p.free_slots(now));
            return (
                own + self.free_slots_of_peers(service),
                std::time::Duration::ZERO,
                true,
            );
        }
        let mut free = 0;
        let mut age = std::time::Duration::MAX;
        for (host, report) in self.loads.reports_of_zone(zone) {
            if !self.is_routable(now, host) {
                continue;
            }
            age = age.min(now.saturating_duration_since(report.received_at));
            let loads = report.loads.iter().filter(|l| l.service == *service);
            free += loads.map(|l| l.free).sum::<u32>();
        }
        (free, age, age != std::time::Duration::MAX)
    }

    /// Returns the free slots that the other gateways of the own zone reported.
    pub(super) fn free_slots_of_peers(&self, service: &ServiceName) -> u32 {
        let reports = self.loads.reports_of_zone(&self.cfg.zone);
        let loads = reports.flat_map(|(_, r)| r.loads.iter().filter(|l| l.service == *service));
        loads.map(|l| l.free).sum()
    }

    /// Draws a reachable gateway of a zone at random, weighted by its reported free
    /// slots.
    pub(super) fn draw_gateway(
        &mut self,
        now: Instant,
        service: &ServiceName,
        zone: &ZoneName,
    ) -> Option<HostName> {
        let mut hosts: SmallVec<[(HostName, u32); 4]> = SmallVec::new();
        for (host, report) in self.loads.reports_of_zone(zone) {
            if !self.is_routable(now, host) {
                continue;
            }
            let loads = report.loads.iter().filter(|l| l.service == *service);
            // A host that reported no free slots may have one by now.
            let free: u32 = loads.map(|l| l.free).sum();
            hosts.push((host.clone(), free.max(1)));
        }
        hosts.sort();
        let total: u32 = hosts.iter().map(|(_, free)| free).sum();
        if total == 0 {
            return None;
        }
        let mut point = self.rng.random_range(0..total);
        for (host, free) in hosts {
            match point.checked_sub(free) {
                Some(rest) => point = rest,
                None => return Some(host),
            }
        }
        None
    }

    /// Returns whether membership considers a host able to take requests.
    pub(super) fn is_routable(&self, now: Instant, host: &HostName) -> bool {
        match self.membership.state(now, host) {
            Some(PeerState::Live | PeerState::Suspect) => true,
            Some(PeerState::Leaving | PeerState::Unreachable | PeerState::Gone) | None => false,
        }
    }

    /// Returns a host as a target; none if membership does not know it.
    pub(super) fn gateway(&self, host: HostName, zone: ZoneName) -> Option<Target> {
        let peer = self.membership.peer(&host)?;
        Some(Target::Gateway {
            peers: peer.contact.peers,
            link_region: self.billed_region(&zone),
            host,
            zone,
        })
    }

    /// Returns the region of a zone if reaching it crosses a billed link.
    pub(super) fn billed_region(&self, zone: &ZoneName) -> Option<RegionName> {
        let region = self.index.as_ref()?.region_of(zone)?;
        match self.region.as_ref() == Some(region) {
            true => None,
            false => Some(region.clone()),
        }
    }

    /// Returns the number of gateways in the own zone, by the latest member list of its
    /// ledger.
    pub(super) fn zone_gateway_count(&self) -> u32 {
        let members = self.ledger.as_ref().and_then(|l| l.members.last());
        let n = members.map_or(1, |m| m.hosts.len().max(1));
        u32::try_from(n).unwrap_or(u32::MAX)
    }
}
