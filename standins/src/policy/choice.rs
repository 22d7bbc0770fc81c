//! Selects the zone and the upstream for a request under each policy.

use std::time::Duration;

use cardamomroad::{
    budget::Attempt,
    link::LinkAdmission,
    plan::WEIGHT_SUM,
    pool::{
        Pick,
        upstream::Outcome, //
    },
    route::{
        self,
        Candidate,
        Request,
        Target, //
    },
    util::units::ByteSize, //
};
use rand::RngExt;

use crate::policy::{
    deployment::{
        HOSTS_PER_ZONE,
        ZONE_DELAY,
        ZONES,
        region_of,
        server_at, //
    },
    scenario::{
        Policy,
        Scenario, //
    },
    setup::link_index,
    tally::Refused,
    world::World,
};

/// The most bytes that a request asks a link's budget to admit before it starts.
const ESTIMATE_MAX_BYTES: u64 = 1_000_000;
/// The number of zones that a gateway tries for a request before it queues it.
const ZONE_ATTEMPTS: usize = 3;
/// The attempts of a baseline policy to find an upstream with a free slot.
const BASELINE_ATTEMPTS: usize = 3;

impl World {
    /// Starts or queues a request whose rate budget has been debited.
    pub(super) fn start_or_queue(&mut self, id: usize) {
        if !self.policy.uses_library() {
            self.start_simply(id);
            return;
        }
        let Some(req) = &self.reqs[id] else {
            return;
        };
        let (host, service, organisation) = (req.host, req.service, req.organisation);
        let deadline = req.deadline;
        let name = self.set.organisations[organisation].name.clone();
        let queue = &mut self.hosts[host].queues[service];
        if queue.start(&name, 1) {
            if self.try_start(id) {
                return;
            }
            self.hosts[host].queues[service].finish(&name);
        }
        let queue = &mut self.hosts[host].queues[service];
        if queue.push(self.now, &name, 1, deadline, id).is_err() {
            self.refuse(id, Refused::Overload);
        }
    }

    /// Starts queued requests of a gateway until one finds no free capacity.
    pub(super) fn pump(&mut self, host: usize, service: usize) {
        while let Some(&id) = self.hosts[host].queues[service].peek() {
            if !self.try_start(id) {
                return;
            }
            self.hosts[host].queues[service].pop();
        }
    }

    /// Starts a request in the zone that `route::choose` selects; returns false if
    /// no zone has capacity.
    fn try_start(&mut self, id: usize) -> bool {
        let Some(req) = &self.reqs[id] else {
            return true;
        };
        let (host, service) = (req.host, req.service);
        let size = req.size;
        let bytes = self.estimate(service, size);
        let own = self.hosts[host].zone;
        let mut candidates = self.candidates(host, service);
        let request = Request {
            hops: 0,
            bytes,
            long_running: size > 0.0,
        };
        for _ in 0..ZONE_ATTEMPTS {
            let (zone, placed) = match route::choose(own, &candidates, request, &mut self.rng).to {
                Target::OwnZone => (own, self.local(id, host, false)),
                Target::Zone(name) => {
                    let zone = candidates.iter().position(|c| c.zone == name);
                    let zone = zone.unwrap_or(own);
                    (zone, self.remote(id, host, zone, bytes))
                }
                Target::NoZone => return false,
            };
            if placed {
                return true;
            }
            candidates[zone].drained = true;
        }
        false
    }

    fn estimate(&self, service: usize, size: f64) -> ByteSize {
        let request = self.d.services[service].request + size as u64;
        ByteSize(request.min(ESTIMATE_MAX_BYTES))
    }

    /// Returns the candidate zones from the point of view of a gateway.
    fn candidates(&mut self, host: usize, service: usize) -> Vec<Candidate> {
        let own = self.hosts[host].zone;
        let region = region_of(own);
        let steer =
            self.plans[region].steer(&self.set.zones[own].name, &self.set.services[service].name);
        let weight = |zone: usize| match steer {
            None => u16::from(zone == own) * WEIGHT_SUM,
            Some(s) => {
                let found = s
                    .weights
                    .iter()
                    .find(|w| w.zone == self.set.zones[zone].name);
                found.map_or(0, |w| w.weight)
            }
        };
        let weights: Vec<u16> = (0..ZONES).map(weight).collect();
        let mut candidates = Vec::with_capacity(ZONES);
        for (zone, &weight) in weights.iter().enumerate() {
            candidates.push(self.candidate(host, service, zone, weight));
        }
        candidates
    }

    fn candidate(&mut self, host: usize, service: usize, zone: usize, weight: u16) -> Candidate {
        let own = self.hosts[host].zone;
        let far = region_of(zone) != region_of(own);
        let (free, age) = match zone == own {
            true => (
                self.hosts[host].pools[service].zone_free_slots(self.now),
                Duration::ZERO,
            ),
            false => self.observed.free(self.now, zone, service),
        };
        let headroom = far.then(|| {
            let link = self.set.links[link_index(region_of(own), region_of(zone))]
                .name
                .clone();
            let h = &mut self.hosts[host];
            h.links.headroom(self.now, &mut h.budgets, &link)
        });
        let drains = self.scenario.is_drained(self.offset(), zone, service);
        Candidate {
            zone: self.set.zones[zone].name.clone(),
            region: self.set.zones[zone].region.clone(),
            weight,
            free,
            age,
            spilled: self.hosts[host].spilled[zone][service],
            spilled_at_report: self.hosts[host].spilled_at_report[1][zone][service],
            sending_gateways: u32::try_from(HOSTS_PER_ZONE).unwrap_or(1),
            delay: if far { self.d.delay } else { ZONE_DELAY },
            headroom,
            drained: drains && weight == 0,
            draining: drains && weight > 0,
            reachable: !self.is_known_dead(zone) && !self.scenario.is_cut(self.offset(), own, zone),
        }
    }

    /// Starts a request at an upstream of a gateway, or forwards it to a peer of
    /// the same zone; returns false if neither has a free slot.
    fn local(&mut self, id: usize, gateway: usize, forwarded: bool) -> bool {
        let Some(req) = &self.reqs[id] else {
            return true;
        };
        let service = req.service;
        let pool = &mut self.hosts[gateway].pools[service];
        match pool.pick(self.now, forwarded, &mut self.rng).pick {
            Pick::Upstream { address, .. } => {
                pool.started(self.now, address);
                let (zone, _, i) = server_at(address);
                if self.begin(id, gateway, zone, i) {
                    return true;
                }
                let pool = &mut self.hosts[gateway].pools[service];
                pool.finished(self.now, address, Outcome::Shed);
                false
            }
            Pick::Forward { host } => {
                let peer = self.hosts.iter().position(|h| h.name == host);
                let placed = peer.is_some_and(|p| self.local(id, p, true));
                if !placed {
                    self.hosts[gateway].pools[service].finish_forwarded(&host);
                    return false;
                }
                if let Some(req) = &mut self.reqs[id] {
                    req.forwarded_by = Some(gateway);
                }
                true
            }
            Pick::Busy { .. } => false,
        }
    }

    /// Sends a request to a random gateway of another zone; returns false if the
    /// zone is unreachable, the link refuses it or no slot is free.
    fn remote(&mut self, id: usize, host: usize, zone: usize, bytes: ByteSize) -> bool {
        let own = self.hosts[host].zone;
        if !self.reaches(own, zone) {
            return false;
        }
        let gateway = self.rng.random_range(Scenario::hosts(zone));
        let (from, to) = (region_of(own), region_of(zone));
        if from == to {
            return self.local(id, gateway, false);
        }
        let link = self.set.links[link_index(from, to)].name.clone();
        let h = &mut self.hosts[host];
        let first = Attempt::First;
        let admit = h.links.admit(self.now, &mut h.budgets, &link, bytes, first);
        if admit != LinkAdmission::Admitted {
            return false;
        }
        if self.local(id, gateway, false) {
            return true;
        }
        self.hosts[host].links.release(&link, bytes);
        false
    }

    /// Starts a request under a baseline policy, which has no queue and no link budget.
    fn start_simply(&mut self, id: usize) {
        for _ in 0..BASELINE_ATTEMPTS {
            let Some((zone, i)) = self.simple_choice(id) else {
                break;
            };
            let gateway = self.rng.random_range(Scenario::hosts(zone));
            if self.begin(id, gateway, zone, i) {
                return;
            }
        }
        self.refuse(id, Refused::Overload);
    }

    fn simple_choice(&mut self, id: usize) -> Option<(usize, usize)> {
        let req = self.reqs[id].as_ref()?;
        let (host, service) = (req.host, req.service);
        let own = self.hosts[host].zone;
        let open = |w: &Self, z: usize| {
            let drained = w.scenario.is_drained(w.offset(), z, service);
            !drained && w.reaches(own, z) && !w.is_known_dead(z)
        };
        let zones: Vec<usize> = (0..ZONES).filter(|z| open(self, *z)).collect();
        if zones.is_empty() {
            return None;
        }
        let zone = match self.policy {
            Policy::Even => zones[self.rng.random_range(0..zones.len())],
            Policy::Reported => return self.least_reported(&zones, service),
            _ => *zones.iter().min_by_key(|z| {
                let same = region_of(**z) == region_of(own);
                (**z != own, !same, **z)
            })?,
        };
        let servers = self.servers[zone][service].len();
        Some((zone, self.rng.random_range(0..servers)))
    }

    /// Draws an upstream at random, weighted by the free slots of its last report.
    fn least_reported(&mut self, zones: &[usize], service: usize) -> Option<(usize, usize)> {
        let slots = self.d.services[service].slots;
        let mut weighted = Vec::new();
        for &zone in zones {
            for i in 0..self.servers[zone][service].len() {
                let used = self.observed.reported(zone, service, i);
                weighted.push((zone, i, slots.saturating_sub(used)));
            }
        }
        let total: u32 = weighted.iter().map(|(_, _, w)| w).sum();
        if total == 0 {
            let (zone, i, _) = weighted[self.rng.random_range(0..weighted.len())];
            return Some((zone, i));
        }
        let mut point = self.rng.random_range(0..total);
        for (zone, i, w) in weighted {
            if point < w {
                return Some((zone, i));
            }
            point -= w;
        }
        None
    }
}
