//! Processing of a request after routing: transfer, upstream work and response.

use std::time::Duration;

use cardamomroad::{
    budget::Attempt,
    link::{
        CHUNK_BYTES,
        PayResult,
        SendAllowance, //
    },
    pool::upstream::Outcome,
    util::units::ByteSize, //
};

use crate::policy::{
    deployment::{
        ZONE_DELAY,
        region_of,
        server_address, //
    },
    scenario::FAULT_AT,
    setup::link_index,
    world::{
        Event,
        Req,
        World, //
    },
};

/// The bandwidth reserved on a link for an upload, in bytes per second.
const RESERVED_RATE: ByteSize = ByteSize(250_000);

/// The direction of a transfer between regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    /// From the entry host to the upstream's region.
    ToUpstream,
    /// From the upstream's region to the entry host.
    ToEntryHost,
}

impl World {
    /// Starts a request at an upstream; returns false if its zone is down or all
    /// its slots are in use.
    pub(super) fn begin(&mut self, id: usize, gateway: usize, zone: usize, i: usize) -> bool {
        let Some(req) = &self.reqs[id] else {
            return true;
        };
        let (service, host) = (req.service, req.host);
        let own = self.hosts[host].zone;
        let region = region_of(own);
        if self.is_dead(zone) {
            return false;
        }
        if !self.servers[zone][service][i].start(region) {
            self.tally.overloads += 1;
            return false;
        }
        let crosses = region_of(zone) != region;
        let hop = match (crosses, zone != own) {
            (true, _) => self.d.delay,
            (false, true) => ZONE_DELAY,
            (false, false) => Duration::ZERO,
        };
        self.hosts[host].spilled[zone][service] += 1;
        let size = self.d.services[service].request + req.size as u64;
        let transfer = self.transfer(service, req.size);
        let now = self.now;
        let work = self.work(id, zone, i);
        let Some(req) = &mut self.reqs[id] else {
            return true;
        };
        req.gateway = gateway;
        req.server = (zone, i);
        req.holds_slot = true;
        req.crosses = crosses;
        req.hop_delay += hop * 2;
        req.bytes_left = size;
        req.work = work;
        req.started_at = now;
        req.since = None;
        if crosses {
            self.reserve(id);
            self.at(Duration::ZERO, Event::Send(id));
        } else {
            self.at(transfer + work, Event::Served(id));
        }
        true
    }

    fn transfer(&self, service: usize, bytes: f64) -> Duration {
        let upload = self.d.services[service].upload.as_ref();
        Duration::from_secs_f64(upload.map_or(0.0, |u| bytes / u.uplink))
    }

    fn work(&self, id: usize, zone: usize, i: usize) -> Duration {
        let Some(req) = &self.reqs[id] else {
            return Duration::ZERO;
        };
        let region = region_of(self.hosts[req.host].zone);
        let server = &self.servers[zone][req.service][i];
        req.work.mul_f64(server.slowness(region))
    }

    /// Reserves link bandwidth for an upload.
    fn reserve(&mut self, id: usize) {
        let Some(req) = &mut self.reqs[id] else {
            return;
        };
        if req.size == 0.0 || !self.policy.uses_library() {
            return;
        }
        let (from, to) = (self.hosts[req.host].zone, req.server.0);
        let link = &self.set.links[link_index(region_of(from), region_of(to))].name;
        let h = &mut self.hosts[req.host];
        req.reserved = h
            .links
            .reserve(self.now, &mut h.budgets, link, RESERVED_RATE);
    }

    /// Sends the next chunk of a request over the link.
    pub(super) fn send(&mut self, id: usize) {
        if self.is_broken(id) {
            self.lose(id);
            return;
        }
        let Some(req) = &self.reqs[id] else {
            return;
        };
        let bytes = req.bytes_left.min(CHUNK_BYTES);
        let service = req.service;
        let work = req.work;
        if !self.pay(id, Direction::ToUpstream, bytes, Event::Send(id)) {
            return;
        }
        let Some(req) = &mut self.reqs[id] else {
            return;
        };
        req.bytes_left -= bytes;
        let wait = if req.bytes_left > 0 {
            Duration::ZERO
        } else {
            work
        };
        let next = if req.bytes_left > 0 {
            Event::Send(id)
        } else {
            Event::Served(id)
        };
        let transfer = self.transfer(service, bytes as f64);
        self.at(transfer + wait, next);
    }

    /// Charges bytes to a link's budget. If the budget is exhausted, returns false
    /// and schedules `retry` for the time at which to retry.
    fn pay(&mut self, id: usize, direction: Direction, bytes: u64, retry: Event) -> bool {
        let Some(req) = &self.reqs[id] else {
            return false;
        };
        let (here, there) = (self.hosts[req.host].zone, req.server.0);
        let (payer, from, to) = match direction {
            Direction::ToUpstream => (req.host, region_of(here), region_of(there)),
            Direction::ToEntryHost => (req.gateway, region_of(there), region_of(here)),
        };
        let link = link_index(from, to);
        if self.policy.uses_library() {
            let attempt = match req.since {
                None => Attempt::First,
                Some(since) => Attempt::Retry { since },
            };
            let by = match (direction, req.reserved) {
                (Direction::ToUpstream, Some(id)) => SendAllowance::Reserved(id),
                _ => SendAllowance::Shared,
            };
            let name = self.set.links[link].name.clone();
            let h = &mut self.hosts[payer];
            let size = ByteSize(bytes);
            let paid = h
                .links
                .pay(self.now, &mut h.budgets, &name, by, size, attempt);
            if let PayResult::Wait { until } = paid {
                if let Some(req) = &mut self.reqs[id] {
                    req.since.get_or_insert(self.now);
                }
                self.at(until - self.now, retry);
                return false;
            }
        }
        if let Some(req) = &mut self.reqs[id] {
            req.since = None;
        }
        let at = self.offset();
        self.links[link].add(at, bytes);
        true
    }

    /// Handles the completion of a request at its upstream.
    pub(super) fn served(&mut self, id: usize) {
        if self.is_broken(id) {
            self.lose(id);
            return;
        }
        let Some(req) = self.reqs[id].clone() else {
            return;
        };
        self.release(&req);
        if let Some(req) = &mut self.reqs[id] {
            req.holds_slot = false;
        }
        match req.crosses {
            true => self.at(Duration::ZERO, Event::Answer(id)),
            false => self.done(id),
        }
        for host in [req.gateway, req.host] {
            self.pump(host, req.service);
        }
    }

    /// Sends the response back over the link.
    pub(super) fn answer(&mut self, id: usize) {
        if self.is_broken(id) {
            self.lose(id);
            return;
        }
        let Some(req) = &self.reqs[id] else {
            return;
        };
        let bytes = self.d.services[req.service].answer;
        if self.pay(id, Direction::ToEntryHost, bytes, Event::Answer(id)) {
            self.done(id);
        }
    }

    /// Returns whether the entry host or the upstream's zone is down, or the two
    /// cannot reach each other.
    fn is_broken(&self, id: usize) -> bool {
        let Some(req) = &self.reqs[id] else {
            return false;
        };
        let own = self.hosts[req.host].zone;
        !self.reaches(own, own) || !self.reaches(own, req.server.0)
    }

    /// Releases the slot, queue share and reservation of a running request.
    pub(super) fn release(&mut self, req: &Req) {
        let (zone, i) = req.server;
        let service = req.service;
        self.servers[zone][service][i].end();
        self.record_drained(zone);
        if req.measured {
            self.tally.held[service] += (self.now - req.started_at).as_secs_f64();
            self.tally.finished[service] += 1;
        }
        let spilled = &mut self.hosts[req.host].spilled[zone][service];
        *spilled = spilled.saturating_sub(1);
        if !self.policy.uses_library() {
            return;
        }
        let address = server_address(zone, service, i);
        let pool = &mut self.hosts[req.gateway].pools[service];
        pool.finished(self.now, address, Outcome::Answered);
        if let Some(by) = req.forwarded_by {
            let peer = self.hosts[req.gateway].name.clone();
            self.hosts[by].pools[service].finish_forwarded(&peer);
        }
        let name = &self.set.organisations[req.organisation].name;
        self.hosts[req.host].queues[service].finish(name);
        if let Some(id) = req.reserved {
            let here = region_of(self.hosts[req.host].zone);
            let link = &self.set.links[link_index(here, region_of(zone))].name;
            let h = &mut self.hosts[req.host];
            h.links.end_reservation(self.now, &mut h.budgets, link, id);
        }
    }

    /// Records when a request last finished in the drained zone.
    fn record_drained(&mut self, zone: usize) {
        let at = self.offset();
        if self.scenario.is_leaving(at, zone) {
            self.tally.drained_at = Some(at - FAULT_AT);
        }
    }
}
