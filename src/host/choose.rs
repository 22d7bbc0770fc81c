//! Where a started request goes: an upstream, or another gateway.

use rand::RngExt;
use smallvec::SmallVec;
use tokio::time::Instant;
use xtra::{
    Context,
    Handler, //
};

use crate::{
    budget::Attempt,
    explain::{
        self,
        Basis,
        Decision,
        Measurement,
        Subject, //
    },
    gateway::call::OpenTry,
    host::{
        Host,
        message::{
            AskRetry,
            Choice,
            Choose,
            Pay,
            Target,
            TryEnd,
            TryFinished, //
        },
    },
    link::{
        Admit,
        Payer, //
    },
    membership::PeerState,
    plan::WEIGHT_WHOLE,
    pool::upstream::Outcome,
    refusal::{
        Reason,
        Refusal, //
    },
    retry::{
        self,
        Retry, //
    },
    route::{
        self,
        Candidate, //
    },
    util::{
        id::{
            HostName,
            RegionName,
            ServiceName,
            ZoneName, //
        },
        units::ByteSize,
    },
};

/// The most bytes of a request that are held on a link before it starts. What is longer
/// is paid as it passes, so that a long upload is paced and not refused for its length.
const HELD_BYTES_MAX: u64 = 64 * 1024;
/// The length from which a request is known to run for long.
const LONG_BYTES: u64 = 1_000_000;
/// The one-way delay between zones of one region.
const ZONE_DELAY: std::time::Duration = std::time::Duration::from_millis(1);

impl Handler<Choose> for Host {
    type Return = Choice;

    async fn handle(&mut self, msg: Choose, _cx: &mut Context<Self>) -> Choice {
        let now = Instant::now();
        self.choose(now, &msg)
    }
}

impl Handler<AskRetry> for Host {
    type Return = Retry;

    async fn handle(&mut self, msg: AskRetry, _cx: &mut Context<Self>) -> Retry {
        retry::decide(&mut self.retries, Instant::now(), msg.0, &mut self.rng)
    }
}

impl Handler<TryFinished> for Host {
    type Return = ();

    async fn handle(&mut self, msg: TryFinished, _cx: &mut Context<Self>) {
        self.try_finished(Instant::now(), &msg);
    }
}

impl Handler<Pay> for Host {
    type Return = Option<Instant>;

    async fn handle(&mut self, msg: Pay, _cx: &mut Context<Self>) -> Option<Instant> {
        self.pay(Instant::now(), &msg)
    }
}

impl Host {
    fn choose(&mut self, now: Instant, msg: &Choose) -> Choice {
        if msg.tried.is_empty() && msg.first_try.is_none() {
            self.retries.earn();
        }
        let choice = match msg.local_only {
            true => self.choose_upstream(now, msg, explain::Choice::OwnZone, Basis::new()),
            false => self.choose_zone(now, msg),
        };
        if let Choice::Refused(refusal) = &choice {
            let decision = Decision::Refused {
                reason: refusal.reason,
                outcome: refusal.outcome,
                organisation: msg.organisation.clone(),
                service: Some(msg.service.clone()),
            };
            self.record(now, Some(&msg.id), decision, Basis::new());
        }
        choice
    }

    fn choose_zone(&mut self, now: Instant, msg: &Choose) -> Choice {
        let candidates = self.candidates(now, msg);
        let own = candidates.iter().position(|c| c.zone == self.cfg.zone);
        let Some(own) = own else {
            return Choice::Refused(Refusal::not_run(Reason::NotReady));
        };
        let request = route::Request {
            hops: 0,
            bytes: expected_bytes(msg.length),
            long: msg.length.is_none_or(|bytes| bytes >= LONG_BYTES),
        };
        let decision = route::choose(own, &candidates, request, &mut self.rng);
        let basis = basis(&decision);
        let why = match decision.reason {
            route::Reason::Planned => explain::Choice::Planned,
            route::Reason::SpillRegion => explain::Choice::SpillZone,
            route::Reason::SpillLink => explain::Choice::SpillRegion,
            _ if !msg.tried.is_empty() => explain::Choice::Retry,
            _ => explain::Choice::OwnZone,
        };
        match decision.to {
            route::Target::Own => self.choose_upstream(now, msg, why, basis),
            route::Target::Zone(zone) => self.choose_gateway(now, msg, &zone, why, basis),
            route::Target::Nowhere => self.nowhere(now, msg, decision.reason),
        }
    }

    /// Lets a request wait that finds no room anywhere.
    fn nowhere(&mut self, now: Instant, msg: &Choose, reason: route::Reason) -> Choice {
        if reason == route::Reason::NoLink && !self.pools.contains_key(&msg.service) {
            let after = self.retry_after(now, &msg.service);
            return Choice::Refused(Refusal::not_run(Reason::Link).with_retry_after(after));
        }
        let (name, weight) = self.claimant(msg.organisation.as_ref());
        self.wait_for_slot(now, msg, &name, weight)
    }

    fn choose_gateway(
        &mut self,
        now: Instant,
        msg: &Choose,
        zone: &ZoneName,
        why: explain::Choice,
        basis: Basis,
    ) -> Choice {
        let Some(host) = self.roomiest(now, &msg.service, zone) else {
            return Choice::Refused(Refusal::not_run(Reason::Unreachable));
        };
        let Some(target) = self.gateway(host.clone(), zone.clone()) else {
            return Choice::Refused(Refusal::not_run(Reason::Unreachable));
        };
        if let Some(refused) = self.admit_to_link(now, msg, &target) {
            return refused;
        }
        self.loads.spilled(&msg.service, zone);
        self.record_gateway(now, msg, &target, why, basis);
        self.open_try(msg, target)
    }

    /// Holds the expected bytes of a request on the link that it would cross.
    fn admit_to_link(&mut self, now: Instant, msg: &Choose, target: &Target) -> Option<Choice> {
        let Target::Gateway {
            over_link_to: Some(region),
            ..
        } = target
        else {
            return None;
        };
        let link = self.link_to(region)?;
        let estimate = expected_bytes(msg.length);
        let attempt = match msg.first_try {
            None => Attempt::First,
            Some(since) => Attempt::Again { since },
        };
        let admit = self
            .links
            .admit(now, &mut self.budgets, &link, estimate, attempt);
        match admit {
            Admit::Go => None,
            Admit::Wait { until } => {
                self.ask_for_loans(now);
                Some(Choice::Wait(until))
            }
            Admit::Refused { retry_after } => {
                let refusal = Refusal::not_run(Reason::Link);
                Some(Choice::Refused(refusal.with_retry_after(retry_after)))
            }
        }
    }

    /// Returns the choice of a target, as a try that is open until it is dropped.
    pub(super) fn open_try(&self, msg: &Choose, target: Target) -> Choice {
        Choice::Send(Box::new(OpenTry::new(
            self.me.clone(),
            msg.service.clone(),
            target,
            msg.organisation.clone(),
            msg.suspect,
        )))
    }

    fn pay(&mut self, now: Instant, msg: &Pay) -> Option<Instant> {
        let link = self.link_to(&msg.to)?;
        let attempt = match msg.first_try {
            None => Attempt::First,
            Some(since) => Attempt::Again { since },
        };
        let pay = self.links.pay(
            now,
            &mut self.budgets,
            &link,
            Payer::Shared,
            ByteSize(msg.bytes),
            attempt,
        );
        match pay {
            crate::link::Pay::Go => {
                self.count_link_bytes(&link, msg.bytes);
                None
            }
            crate::link::Pay::Wait { until } => {
                self.ask_for_loans(now);
                Some(until)
            }
        }
    }

    fn try_finished(&mut self, now: Instant, msg: &TryFinished) {
        self.loads
            .moved(now, &msg.service, msg.bytes_out, msg.bytes_in);
        match &msg.target {
            Target::Upstream(address) => self.upstream_finished(now, msg, *address),
            Target::Gateway { zone, .. } => self.loads.spill_ended(&msg.service, zone),
        }
    }

    fn upstream_finished(
        &mut self,
        now: Instant,
        msg: &TryFinished,
        address: std::net::SocketAddr,
    ) {
        let outcome = match msg.end {
            TryEnd::Whole => Outcome::Answered,
            TryEnd::NotStarted if msg.draining => Outcome::Draining,
            TryEnd::NotStarted => Outcome::Shed,
            TryEnd::NotSent => Outcome::Refused,
            TryEnd::Lost | TryEnd::Broken => Outcome::Failed,
            TryEnd::TimedOut => Outcome::TimedOut,
            TryEnd::Abandoned => Outcome::Cancelled,
        };
        if let Some(pool) = self.pools.get_mut(&msg.service) {
            pool.finished(now, address, outcome);
        }
        let (name, _) = self.claimant(msg.organisation.as_ref());
        self.finish_claim(&msg.service, &name);
        self.serve_queue(now, &msg.service);
        if self.alone.get(&address) == Some(&msg.suspect) {
            self.alone.remove(&address);
            self.quarantine.end_alone(address);
        }
        match msg.end {
            TryEnd::Whole => self.quarantine.on_answer(msg.suspect),
            TryEnd::Lost | TryEnd::Broken => {
                self.quarantine.on_death(now, address, &[msg.suspect]);
                self.tell_suspects(now);
            }
            _ => {}
        }
    }

    /// Returns the zones that could serve a service.
    fn candidates(&self, now: Instant, msg: &Choose) -> Vec<Candidate> {
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
                None if is_own => WEIGHT_WHOLE,
                None => 0,
            };
            if let Some(c) = self.candidate(now, msg, &pool.zone, weight) {
                candidates.push(c);
            }
        }
        if !candidates.iter().any(|c| c.zone == self.cfg.zone) {
            candidates.extend(self.empty_own_zone());
        }
        candidates
    }

    fn candidate(
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
                let left = self.headroom.get(&link.name).copied();
                (link.delay, Some(left.unwrap_or_default()))
            }
            None => (ZONE_DELAY, None),
        };
        let (free, age, reachable) = self.free_in(now, &msg.service, zone);
        let is_draining = self.is_drained(zone, &msg.service);
        let tried = |t: &Target| matches!(t, Target::Gateway { zone: z, .. } if z == zone);
        Some(Candidate {
            zone: zone.clone(),
            region,
            weight,
            free,
            age,
            spilled: self.loads.spilled_to(&msg.service, zone),
            spilled_then: self.loads.spilled_then(&msg.service, zone),
            senders: self.zone_size(),
            delay,
            headroom,
            // The own zone goes on until the plan has moved its work away.
            drained: is_draining && *zone != self.cfg.zone,
            draining: is_draining,
            reachable: reachable && !msg.tried.iter().any(tried),
        })
    }

    /// Returns the own zone as a candidate that has no upstreams of the service.
    fn empty_own_zone(&self) -> Option<Candidate> {
        Some(Candidate {
            zone: self.cfg.zone.clone(),
            region: self.region.clone()?,
            weight: 0,
            free: 0,
            age: std::time::Duration::ZERO,
            spilled: 0,
            spilled_then: 0,
            senders: 1,
            delay: std::time::Duration::ZERO,
            headroom: None,
            drained: false,
            draining: false,
            reachable: true,
        })
    }

    /// Returns a zone's free slots, their age, and whether a gateway there can be reached.
    fn free_in(
        &self,
        now: Instant,
        service: &ServiceName,
        zone: &ZoneName,
    ) -> (u32, std::time::Duration, bool) {
        if *zone == self.cfg.zone {
            let own = self.pools.get(service).map_or(0, |p| p.free_slots(now));
            return (
                own + self.free_of_peers(service),
                std::time::Duration::ZERO,
                true,
            );
        }
        let mut free = 0;
        let mut age = std::time::Duration::MAX;
        for (host, report) in self.loads.of_zone(zone) {
            if !self.is_routable(now, host) {
                continue;
            }
            age = age.min(now.saturating_duration_since(report.heard));
            let loads = report.loads.iter().filter(|l| l.service == *service);
            free += loads.map(|l| l.free).sum::<u32>();
        }
        (free, age, age != std::time::Duration::MAX)
    }

    fn free_of_peers(&self, service: &ServiceName) -> u32 {
        let reports = self.loads.of_zone(&self.cfg.zone);
        let loads = reports.flat_map(|(_, r)| r.loads.iter().filter(|l| l.service == *service));
        loads.map(|l| l.free).sum()
    }

    /// Draws a reachable gateway of a zone by the free slots that each reported.
    fn roomiest(
        &mut self,
        now: Instant,
        service: &ServiceName,
        zone: &ZoneName,
    ) -> Option<HostName> {
        let mut hosts: SmallVec<[(HostName, u32); 4]> = SmallVec::new();
        for (host, report) in self.loads.of_zone(zone) {
            if !self.is_routable(now, host) {
                continue;
            }
            let loads = report.loads.iter().filter(|l| l.service == *service);
            // A host without free slots may still have one soon.
            let free: u32 = loads.map(|l| l.free).sum();
            hosts.push((host.clone(), free.max(1)));
        }
        hosts.sort();
        let whole: u32 = hosts.iter().map(|(_, free)| free).sum();
        if whole == 0 {
            return None;
        }
        let mut point = self.rng.random_range(0..whole);
        for (host, free) in hosts {
            match point.checked_sub(free) {
                Some(left) => point = left,
                None => return Some(host),
            }
        }
        None
    }

    fn is_routable(&self, now: Instant, host: &HostName) -> bool {
        match self.membership.state(now, host) {
            Some(PeerState::Live | PeerState::Suspect) => true,
            Some(PeerState::Leaving | PeerState::Unreachable | PeerState::Gone) | None => false,
        }
    }

    pub(super) fn gateway(&self, host: HostName, zone: ZoneName) -> Option<Target> {
        let peer = self.membership.peer(&host)?;
        Some(Target::Gateway {
            peers: peer.contact.peers,
            over_link_to: self.billed_region(&zone),
            host,
            zone,
        })
    }

    /// Returns the region of a zone where a billed link leads there.
    pub(super) fn billed_region(&self, zone: &ZoneName) -> Option<RegionName> {
        let region = self.index.as_ref()?.region_of(zone)?;
        match self.region.as_ref() == Some(region) {
            true => None,
            false => Some(region.clone()),
        }
    }

    /// Returns the gateways of the own zone.
    fn zone_size(&self) -> u32 {
        let members = self.ledger.as_ref().and_then(|l| l.members.last());
        let n = members.map_or(1, |m| m.hosts.len().max(1));
        u32::try_from(n).unwrap_or(u32::MAX)
    }

    pub(super) fn retry_after(&self, now: Instant, service: &ServiceName) -> std::time::Duration {
        let pool = self.pools.get(service);
        pool.map_or(retry::RETRY_AFTER_MIN, |p| p.retry_after(now))
    }

    pub(super) fn record_route(
        &mut self,
        now: Instant,
        msg: &Choose,
        target: explain::Target,
        choice: explain::Choice,
        basis: Basis,
    ) {
        let decision = Decision::Routed {
            service: msg.service.clone(),
            organisation: msg.organisation.clone(),
            route: msg.route.clone(),
            target,
            choice,
        };
        self.record(now, Some(&msg.id), decision, basis);
    }

    pub(super) fn record_gateway(
        &mut self,
        now: Instant,
        msg: &Choose,
        target: &Target,
        choice: explain::Choice,
        basis: Basis,
    ) {
        if let Target::Gateway { host, zone, .. } = target {
            let target = explain::Target::Host(host.clone(), zone.clone());
            self.record_route(now, msg, target, choice, basis);
        }
    }
}

/// Returns the bytes that are held for a request on a link.
fn expected_bytes(length: Option<u64>) -> ByteSize {
    ByteSize(length.unwrap_or(HELD_BYTES_MAX).min(HELD_BYTES_MAX))
}

/// Returns the measurements that a route was chosen from.
fn basis(decision: &route::Decision) -> Basis {
    let mut basis = Basis::new();
    for c in &decision.considered {
        basis.push(Measurement {
            subject: Subject::FreeSlots(c.zone.clone()),
            value: i64::from(c.free),
            age: c.age,
        });
    }
    basis
}
