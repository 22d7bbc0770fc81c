//! Chooses the target of a started request: an upstream or another gateway.

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
    gateway::call::TryGuard,
    host::{
        Host,
        message::{
            Choice,
            Choose,
            DebitLink,
            RequestRetry,
            Target,
            TryEnd,
            TryFinished, //
        },
    },
    link::{
        LinkAdmission,
        SendAllowance, //
    },
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
        self, //
    },
    util::{
        id::{
            ServiceName,
            ZoneName, //
        },
        units::ByteSize,
    },
};

/// Most bytes that are reserved on a link before a request starts. Bytes beyond this are
/// debited as they pass, so that a long upload is paced rather than refused for its
/// length.
const LINK_HOLD_BYTES_MAX: u64 = 64 * 1024;
/// Body length from which a request counts as long-running. A body of unknown length
/// always does.
const LONG_REQUEST_BYTES_MIN: u64 = 1_000_000;

impl Handler<Choose> for Host {
    type Return = Choice;

    async fn handle(&mut self, msg: Choose, _cx: &mut Context<Self>) -> Choice {
        let now = Instant::now();
        self.choose(now, &msg)
    }
}

impl Handler<RequestRetry> for Host {
    type Return = Retry;

    async fn handle(&mut self, msg: RequestRetry, _cx: &mut Context<Self>) -> Retry {
        retry::decide(
            &mut self.retry_allowance,
            Instant::now(),
            msg.0,
            &mut self.rng,
        )
    }
}

impl Handler<TryFinished> for Host {
    type Return = ();

    async fn handle(&mut self, msg: TryFinished, _cx: &mut Context<Self>) {
        self.try_finished(Instant::now(), &msg);
    }
}

impl Handler<DebitLink> for Host {
    type Return = Option<Instant>;

    async fn handle(&mut self, msg: DebitLink, _cx: &mut Context<Self>) -> Option<Instant> {
        self.pay(Instant::now(), &msg)
    }
}

impl Host {
    fn choose(&mut self, now: Instant, msg: &Choose) -> Choice {
        if msg.tried.is_empty() && msg.first_asked_at.is_none() {
            self.retry_allowance.deposit();
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

    /// Chooses the zone by plan, free slots and link headroom.
    fn choose_zone(&mut self, now: Instant, msg: &Choose) -> Choice {
        // A plan that moved the work away must not keep a recovered upstream from being found.
        let pool = self.pools.get(&msg.service);
        if pool.is_some_and(|p| p.has_recovery_probe(now))
            && !self.is_drained(&self.cfg.zone, &msg.service)
        {
            return self.choose_upstream(now, msg, explain::Choice::OwnZone, Basis::new());
        }
        let candidates = self.candidates(now, msg);
        let own = candidates.iter().position(|c| c.zone == self.cfg.zone);
        let Some(own) = own else {
            return Choice::Refused(Refusal::not_run(Reason::NotReady));
        };
        let request = route::Request {
            hops: 0,
            bytes: expected_bytes(msg.length),
            long_running: msg
                .length
                .is_none_or(|bytes| bytes >= LONG_REQUEST_BYTES_MIN),
        };
        let decision = route::choose(own, &candidates, request, &mut self.rng);
        let basis = basis(&decision);
        let journal_choice = match decision.reason {
            route::Reason::Planned => explain::Choice::Planned,
            route::Reason::SpillRegion => explain::Choice::SpillZone,
            route::Reason::SpillLink => explain::Choice::SpillRegion,
            _ if !msg.tried.is_empty() => explain::Choice::Retry,
            _ => explain::Choice::OwnZone,
        };
        match decision.to {
            route::Target::OwnZone => self.choose_upstream(now, msg, journal_choice, basis),
            route::Target::Zone(zone) => {
                self.choose_gateway(now, msg, &zone, journal_choice, basis)
            }
            route::Target::NoZone => self.queue_or_refuse(now, msg, decision.reason),
        }
    }

    /// Queues a request for which no zone has a free slot. Refuses it if only the link is
    /// full and this zone has no upstreams of the service.
    fn queue_or_refuse(&mut self, now: Instant, msg: &Choose, reason: route::Reason) -> Choice {
        if reason == route::Reason::NoLinkHeadroom && !self.pools.contains_key(&msg.service) {
            let after = self.retry_after(now, &msg.service);
            return Choice::Refused(Refusal::not_run(Reason::Link).with_retry_after(after));
        }
        let (name, weight) = self.queue_organisation(msg.organisation.as_ref());
        self.wait_for_slot(now, msg, &name, weight)
    }

    /// Sends a request to a gateway of another zone.
    fn choose_gateway(
        &mut self,
        now: Instant,
        msg: &Choose,
        zone: &ZoneName,
        journal_choice: explain::Choice,
        basis: Basis,
    ) -> Choice {
        let Some(host) = self.draw_gateway(now, &msg.service, zone) else {
            return Choice::Refused(Refusal::not_run(Reason::Unreachable));
        };
        let Some(target) = self.gateway(host.clone(), zone.clone()) else {
            return Choice::Refused(Refusal::not_run(Reason::Unreachable));
        };
        if let Some(refused) = self.admit_to_link(now, msg, &target) {
            return refused;
        }
        self.loads.spilled(&msg.service, zone);
        self.record_gateway(now, msg, &target, journal_choice, basis);
        self.open_try(msg, target)
    }

    /// Reserves the expected bytes of a request on the link that it would cross. Returns
    /// the choice to answer with if the link does not admit it.
    fn admit_to_link(&mut self, now: Instant, msg: &Choose, target: &Target) -> Option<Choice> {
        let Target::Gateway {
            link_region: Some(region),
            ..
        } = target
        else {
            return None;
        };
        let link = self.link_to(region)?;
        let estimate = expected_bytes(msg.length);
        let attempt = match msg.first_asked_at {
            None => Attempt::First,
            Some(since) => Attempt::Retry { since },
        };
        let admit = self
            .links
            .admit(now, &mut self.budgets, &link, estimate, attempt);
        match admit {
            LinkAdmission::Admitted => None,
            LinkAdmission::Wait { until } => {
                self.ask_for_loans(now);
                Some(Choice::Wait(until))
            }
            LinkAdmission::Refused { retry_after } => {
                let refusal = Refusal::not_run(Reason::Link);
                Some(Choice::Refused(refusal.with_retry_after(retry_after)))
            }
        }
    }

    /// Returns the choice to send to a target. The try stays open until it is dropped.
    pub(super) fn open_try(&self, msg: &Choose, target: Target) -> Choice {
        Choice::Send(Box::new(TryGuard::new(
            self.own_address.clone(),
            msg.service.clone(),
            target,
            msg.organisation.clone(),
            msg.suspect,
        )))
    }

    /// Debits bytes from a link's budget; returns when to ask again if they must wait.
    fn pay(&mut self, now: Instant, msg: &DebitLink) -> Option<Instant> {
        let link = self.link_to(&msg.to)?;
        let attempt = match msg.first_asked_at {
            None => Attempt::First,
            Some(since) => Attempt::Retry { since },
        };
        let pay = self.links.pay(
            now,
            &mut self.budgets,
            &link,
            SendAllowance::Shared,
            ByteSize(msg.bytes),
            attempt,
        );
        match pay {
            crate::link::PayResult::Paid => {
                self.count_link_bytes(&link, msg.bytes);
                None
            }
            crate::link::PayResult::Wait { until } => {
                self.ask_for_loans(now);
                Some(until)
            }
        }
    }

    /// Updates the counters for a try that ended.
    fn try_finished(&mut self, now: Instant, msg: &TryFinished) {
        self.loads
            .count_bytes(now, &msg.service, msg.bytes_out, msg.bytes_in);
        match &msg.target {
            Target::Upstream(address) => self.upstream_finished(now, msg, *address),
            Target::Gateway { zone, .. } => self.loads.spill_ended(&msg.service, zone),
        }
    }

    /// Frees the slot of a try, serves the queue, and updates the quarantine.
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
        let (name, _) = self.queue_organisation(msg.organisation.as_ref());
        self.release_queue_slot(&msg.service, &name);
        self.serve_queue(now, &msg.service);
        if self.isolated_suspects.get(&address) == Some(&msg.suspect) {
            self.isolated_suspects.remove(&address);
            self.quarantine.end_alone(address);
        }
        match msg.end {
            TryEnd::Whole => self.quarantine.on_answer(now, msg.suspect),
            TryEnd::Lost | TryEnd::Broken => {
                self.quarantine.on_death(now, address, &[msg.suspect]);
                self.send_suspects(now);
            }
            _ => {}
        }
    }

    /// Returns the delay to name in a refusal for a busy service.
    pub(super) fn retry_after(&self, now: Instant, service: &ServiceName) -> std::time::Duration {
        let pool = self.pools.get(service);
        pool.map_or(retry::RETRY_AFTER_MIN, |p| p.retry_after(now))
    }

    /// Records a routing decision in the journal.
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

    /// Records the choice of a gateway in the journal.
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

/// Returns the bytes to reserve on a link for a request.
fn expected_bytes(length: Option<u64>) -> ByteSize {
    ByteSize(
        length
            .unwrap_or(LINK_HOLD_BYTES_MAX)
            .min(LINK_HOLD_BYTES_MAX),
    )
}

/// Returns the measurements behind a routing decision, for the journal.
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
