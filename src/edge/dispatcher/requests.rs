//! Admission of requests: rate-limit tokens, choice of region and domain, and refusals.

use std::time::Duration;

use rand::RngExt;
use smallvec::SmallVec;
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use super::{
    Dispatcher, Requester, WaitingRequest,
    domains::{
        LocalRun,
        Scheduler,
        ZoneHashes, //
    },
};
use crate::{
    edge::{
        datagram::{
            Datagram,
            RunId,
            Started, //
        },
        forward::{
            LATE_ANSWER_GRACE,
            STOPPING_RETRY_AFTER, //
        },
        log_limit::comma_separated,
        message::{
            AttemptEnded,
            Job,
            PlacementDecision,
            RefusalReason,
            Refused,
            ReservedSlot,
            Submit, //
        },
        metrics::PlacementLabels,
        peers::Domain,
        placement::{
            Homes,
            View, //
        },
        quota::Debit,
        region_balance,
        shutdown::ShutdownSchedule,
        upstreams::{
            TryEnd,
            Upstream,
            UpstreamKey,
            zone_hash, //
        },
    },
    util::{
        id::{
            RegionName,
            ServiceName, //
        },
        time::SaturatingAdd,
    },
};

/// A request always waits for a slot for at least its latency target divided by this number.
const WAIT_MIN_AIM_DIVISOR: u32 = 8;
/// A request waits for a token for at most its latency target divided by this number.
const TOKEN_WAIT_AIM_DIVISOR: u32 = 4;
/// Time a response takes in addition to the upstream's work.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);
/// Minimum retry delay given to a refused caller.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);
/// Maximum random delay added to [`RETRY_AFTER_MIN`] to spread out retries.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(500);

/// Maximum number of domains in a region that a request tries.
const DOMAINS_PER_REGION_MAX: usize = 2;

/// A domain that may have a slot for a request.
pub(super) enum DomainCandidate {
    /// A domain of the request's region.
    InRegion(Domain),
    /// A domain of another region.
    Overflow {
        domain: Domain,
        region: RegionName,
        /// Whether the request's region has upstreams, so that leaving it uses the overflow budget.
        needs_budget: bool,
        /// Whether the domain's scheduler can be asked for a slot.
        is_claimed: bool,
    },
}

impl Dispatcher {
    pub(super) fn submit(&mut self, now: Instant, msg: Submit) {
        let Submit { mut job, reply } = msg;
        job.bytes = self.transferred_bytes(&job);
        let mut has_token = true;
        if let Some(verdict) = self.quarantine_refusal(now, &job) {
            self.refund_retry(now, &job);
            send_verdict(reply, verdict);
            return;
        }
        if job.tried.is_empty() {
            if let Some(organisation) = &job.organisation {
                self.quotas.record_arrival(now, organisation);
                has_token = self.quotas.debit(now, organisation) == Debit::Paid;
            }
            let demand = self.demand_mut(&job.service, now);
            demand.retry_allowance.deposit();
            demand.overflow_budget.deposit();
        } else if !self
            .demand_mut(&job.service, now)
            .retry_allowance
            .try_withdraw()
        {
            self.refund(now, &job);
            send_verdict(reply, self.refusal(now, &job, RefusalReason::RetryBudget));
            return;
        }
        let region = self.region_of(now, &job);
        if has_token && job.tried.is_empty() {
            self.demand_mut(&job.service, now)
                .record(now, &job, &region);
        }
        let waiting = WaitingRequest {
            expires_at: self.wait_deadline(&job),
            job,
            region,
            domain: None,
            zones: ZoneHashes::new(),
            view: View::Near,
            declined: SmallVec::new(),
            is_overflow: false,
            has_token,
            homes: Homes::default(),
            requester: Requester::Local(reply),
        };
        match has_token {
            true => self.find_slot(now, waiting),
            false => self.queue.push(waiting),
        }
        self.request_tokens(now);
    }

    /// Returns until when a request may wait for an upstream: as long as the response can still
    /// meet the latency target, but at least a fraction of that target, and never beyond the
    /// deadline.
    pub(super) fn wait_deadline(&self, job: &Job) -> Instant {
        let pool = self.upstreams.pool(&job.service);
        let work = pool.map_or(0.0, |p| p.work_of(job.route).expected_seconds(Some(0)));
        let work = Duration::from_secs_f64(work) + RESPONSE_MARGIN;
        let in_time = job.latency_target.saturating_sub(job.lost_time + work);
        let wait = in_time.max(job.latency_target / WAIT_MIN_AIM_DIVISOR);
        job.received.saturating_add(wait).min(job.deadline)
    }

    /// Returns the region in which a request runs.
    pub(super) fn region_of(&self, now: Instant, job: &Job) -> RegionName {
        let home = self.settings.region.clone();
        // The position depends only on the object, so that all hosts of a region send requests
        // for an object to the same region.
        let region_at = |position| match self.demand.get(&job.service) {
            Some(demand) => demand.shares.region_at(&home, position),
            None => home.clone(),
        };
        let mut region = region_at(region_balance::position(job.object));
        if !job.lost_time.is_zero()
            && region_balance::is_small(self.region_slots(&job.service, &region))
        {
            region = region_at(region_balance::position_of_returning(job.object));
        }
        let is_allowed = |r: &RegionName| job.regions.is_empty() || job.regions.contains(r);
        if is_allowed(&region) && !self.is_region_unreachable(now, &region) {
            return region;
        }
        match is_allowed(&home) {
            true => home,
            false => job.regions[0].clone(),
        }
    }

    /// Returns the registered slots of a service's ready upstreams in a region.
    fn region_slots(&self, service: &ServiceName, region: &RegionName) -> u32 {
        let Some(pool) = self.upstreams.pool(service) else {
            return 0;
        };
        let zones = self.settings.regions.iter();
        let zones = zones.filter(|(_, r)| *r == region);
        zones.map(|(zone, _)| pool.slots_in(zone_hash(zone))).sum()
    }

    /// Looks for a slot in the next domain that may have one. Refuses the request if no domain is
    /// left.
    pub(super) fn find_slot(&mut self, now: Instant, waiting: WaitingRequest) {
        let Some(mut waiting) = self.refuse_unservable(now, waiting) else {
            return;
        };
        if let Some(until) = self.all_paused_until(now, &waiting.job) {
            self.refund(now, &waiting.job);
            let verdict = self.paused_refusal(now, &waiting.job, until);
            return finish_waiting(waiting, verdict);
        }
        let Some(domain) = self.next_domain(now, &mut waiting) else {
            let reason = match waiting.declined.is_empty() {
                true => RefusalReason::NoUpstream,
                false => RefusalReason::Busy,
            };
            self.refund(now, &waiting.job);
            let verdict = self.refusal(now, &waiting.job, reason);
            return finish_waiting(waiting, verdict);
        };
        let job = &waiting.job;
        match self.scheduler_of(now, &domain, job.latency_target) {
            Scheduler::Local => {
                self.assign_domain(&mut waiting, domain, View::Scheduler);
                self.place_or_enqueue(now, waiting);
            }
            Scheduler::Remote(host) => self.claim(now, waiting, domain, host),
            Scheduler::Unavailable => self.wait_locally(now, waiting, domain),
        }
    }

    /// Returns the next domain that may have a slot for a request: first those of its region,
    /// then one of another region, as far as the overflow budget allows.
    fn next_domain(&mut self, now: Instant, waiting: &mut WaitingRequest) -> Option<Domain> {
        match self.domain_candidate(now, waiting)? {
            DomainCandidate::InRegion(domain) => Some(domain),
            DomainCandidate::Overflow {
                domain,
                region,
                needs_budget,
                is_claimed,
            } => {
                let demand = self.demand_mut(&waiting.job.service, now);
                let may_leave = is_claimed && demand.overflow_budget.try_withdraw();
                if needs_budget && !may_leave {
                    return None;
                }
                waiting.is_overflow = true;
                waiting.region = region;
                Some(domain)
            }
        }
    }

    /// Returns the next domain that may have a slot for a request, before the overflow budget is
    /// considered.
    pub(super) fn domain_candidate(
        &self,
        now: Instant,
        waiting: &WaitingRequest,
    ) -> Option<DomainCandidate> {
        let domains = self.domains(&waiting.job, &waiting.region);
        let has_slots = !domains.is_empty();
        let mut untried = domains
            .into_iter()
            .filter(|d| !waiting.declined.contains(d));
        if let Some(domain) = untried.next()
            && waiting.declined.len() < DOMAINS_PER_REGION_MAX
        {
            return Some(DomainCandidate::InRegion(domain));
        }
        if !waiting.job.regions.is_empty() || waiting.is_overflow {
            return None;
        }
        let region = self.overflow_region(now, &waiting.job, &waiting.region, !has_slots)?;
        let domain = self.domains(&waiting.job, &region).into_iter().next()?;
        // Without a scheduler the free slots are unknown, and under overload a wrong guess evicts
        // cached objects.
        let scheduler = self.scheduler_of(now, &domain, waiting.job.latency_target);
        Some(DomainCandidate::Overflow {
            domain,
            region,
            needs_budget: has_slots,
            is_claimed: matches!(scheduler, Scheduler::Remote(_)),
        })
    }

    /// Returns until when a request may wait for a token.
    pub(super) fn token_deadline(job: &Job) -> Instant {
        let token_wait = job.latency_target / TOKEN_WAIT_AIM_DIVISOR;
        job.received.saturating_add(token_wait)
    }

    /// Continues with the next domain after one had no slot in time.
    pub(super) fn try_next_domain(&mut self, now: Instant, mut waiting: WaitingRequest) {
        waiting.declined.extend(waiting.domain.take());
        self.find_slot(now, waiting);
    }

    /// Takes a token for a waiting request. Refuses the request if none is available in time.
    pub(super) fn acquire_token(
        &mut self,
        now: Instant,
        mut waiting: WaitingRequest,
    ) -> Option<WaitingRequest> {
        let Some(organisation) = &waiting.job.organisation else {
            waiting.has_token = true;
            return Some(waiting);
        };
        let token_deadline = Self::token_deadline(&waiting.job);
        match self.quotas.debit(now, organisation) {
            Debit::Paid => waiting.has_token = true,
            Debit::Pending if now < token_deadline => {}
            Debit::Pending | Debit::Exhausted => {
                let verdict = self.refusal(now, &waiting.job, RefusalReason::Rate);
                finish_waiting(waiting, verdict);
                return None;
            }
        }
        Some(waiting)
    }

    /// Sends a request of this host to an upstream. `from_scheduler` holds the object's place
    /// among the upstream's recent objects and the upstream's load, as reported by the scheduler;
    /// `None` if this host chose the upstream itself.
    pub(super) fn send_to(
        &mut self,
        now: Instant,
        waiting: WaitingRequest,
        key: UpstreamKey,
        run: RunId,
        from_scheduler: Option<(Option<usize>, u32)>,
    ) {
        let WaitingRequest { job, requester, .. } = waiting;
        let Requester::Local(reply) = requester else {
            return;
        };
        let cold = match from_scheduler {
            Some(_) => None,
            None => self.cold_rate_limit(now, &job.service, key, waiting.view),
        };
        let local_list_index =
            self.upstreams
                .record_start(now, &job.service, key, job.affinity_hash(), cold);
        let Some(u) = self.upstreams.get(&job.service, key) else {
            let verdict = self.refusal(now, &job, RefusalReason::NoUpstream);
            return send_verdict(reply, verdict);
        };
        let registration = u.registration.clone();
        let domain = self.peers.domain_of(&u.registration.zone);
        let (list_index, load) = from_scheduler.unwrap_or((local_list_index, u.load(now)));
        if from_scheduler.is_none() {
            let msg = Started {
                from: self.sender(),
                run,
                upstream: key,
                route: job.route,
                object: job.affinity_hash(),
            };
            self.notify_scheduler(now, &domain, Datagram::Started(msg));
        }
        let local_run = LocalRun {
            upstream: key,
            start: registration.start(),
            domain,
        };
        self.local_runs.insert(run, local_run);
        self.quarantine.record_run(now, job.suspect);
        self.record_placement(now, &job, key, list_index, load);
        let ended = AttemptEnded {
            run,
            service: job.service.clone(),
            key,
            route: job.route,
            list_index,
            end: TryEnd::Abandoned,
            held: Duration::ZERO,
            load: None,
            answered: None,
            answer_bytes: None,
        };
        let placed = ReservedSlot::new(&registration, ended, self.actor_address.clone());
        // If the caller disconnected, `ReservedSlot` is dropped here, which releases the slot.
        send_verdict(reply, PlacementDecision::Send(Box::new(placed)));
    }

    /// Returns the request rate that a cold upstream may receive and the number of hosts that
    /// share it; `None` if the upstream is warm or the rate is not configured.
    pub(super) fn cold_rate_limit(
        &self,
        now: Instant,
        service: &ServiceName,
        key: UpstreamKey,
        view: View,
    ) -> Option<(f64, usize)> {
        let u = self.upstreams.find(key).filter(|u| u.is_cold(now))?;
        let cfg = self.configuration.load();
        let rate = cfg.as_ref()?.services.get(service)?.cold_rate;
        let hosts = match view {
            View::Scheduler => {
                let domain = self.peers.domain_of(&u.registration.zone);
                self.peers.possible_schedulers(now, &domain)
            }
            View::Near | View::Far => self.peers.registered_in(&u.registration.zone).max(1),
        };
        Some((rate, hosts))
    }

    /// Logs and counts the placement of a request and the data it was based on.
    pub(super) fn record_placement(
        &mut self,
        now: Instant,
        job: &Job,
        key: UpstreamKey,
        place: Option<usize>,
        load: u32,
    ) {
        let Some(u) = self.upstreams.find(key) else {
            return;
        };
        let (id, zone, slots) = (
            &u.registration.id,
            &u.registration.zone,
            u.registration.slots,
        );
        let waited = now.saturating_duration_since(job.received);
        self.metrics.waiting.observe(waited.as_secs_f64());
        let labels = PlacementLabels {
            place: self.place_of(zone),
            object: if place.is_some() { "known" } else { "strange" },
        };
        self.metrics.placed.get_or_create(&labels).inc();
        if self.placed_log_budget.allows("placed") {
            log::info!(
                event = "placed",
                id:% = job.id,
                service:% = job.service,
                organisation:% = job.organisation_text(),
                upstream:% = id,
                zone:%,
                load,
                slots,
                pace_percent:? = u.pace.percent(now),
                object_place:? = place,
                lost_ms = job.lost_time.as_millis() as u64,
                waited_ms = waited.as_millis() as u64;
                ""
            );
        }
    }

    pub(super) fn refund(&mut self, now: Instant, job: &Job) {
        if let (Some(organisation), false) = (&job.organisation, job.may_have_run) {
            self.quotas.refund(now, organisation);
        }
    }

    pub(super) fn refusal(
        &mut self,
        now: Instant,
        job: &Job,
        reason: RefusalReason,
    ) -> PlacementDecision {
        self.log_refused(now, job, reason);
        let spread = RETRY_AFTER_JITTER.mul_f64(self.rng.random::<f64>());
        PlacementDecision::Refused(Refused {
            reason,
            retry_after: RETRY_AFTER_MIN + spread,
        })
    }

    /// Refuses a request that no upstream accepts before `until`.
    fn paused_refusal(&mut self, now: Instant, job: &Job, until: Instant) -> PlacementDecision {
        self.log_refused(now, job, RefusalReason::Paused);
        let spread = RETRY_AFTER_JITTER.mul_f64(self.rng.random::<f64>());
        let retry_after = until.saturating_duration_since(now).max(RETRY_AFTER_MIN) + spread;
        PlacementDecision::Refused(Refused {
            reason: RefusalReason::Paused,
            retry_after,
        })
    }

    /// Logs a refusal and the data it was based on.
    fn log_refused(&self, now: Instant, job: &Job, reason: RefusalReason) {
        if !self.refused_log_budget.allows("refused") {
            return;
        }
        let pool = self.upstreams.pool(&job.service);
        let in_regions = |u: &&Upstream| {
            let region = self.settings.region_of(&u.registration.zone);
            job.regions.is_empty() || region.is_some_and(|r| job.regions.contains(r))
        };
        let usable = pool.iter().flat_map(|p| &p.upstreams).filter(in_regions);
        let (slots, free) = usable.fold((0_u64, 0_u64), |(slots, free), u| {
            (
                slots + u64::from(u.registration.slots),
                free + u64::from(u.free(now)),
            )
        });
        let organisation = job.organisation.as_ref();
        let share = match reason {
            RefusalReason::Rate => organisation.map(|o| self.quotas.describe(o)),
            _ => None,
        };
        log::info!(
            event = "refused",
            id:% = job.id,
            why = reason.as_str(),
            service:% = job.service,
            organisation:% = job.organisation_text(),
            rank = job.priority.0,
            regions:% = comma_separated(&job.regions),
            slots,
            free,
            share:% = share.unwrap_or_default(),
            lost_ms = job.lost_time.as_millis() as u64,
            waited_ms = now.saturating_duration_since(job.received).as_millis() as u64;
            ""
        );
    }

    /// Refunds the token of a retry that is not sent.
    pub(super) fn refund_retry(&mut self, now: Instant, job: &Job) {
        if !job.tried.is_empty() {
            self.refund(now, job);
        }
    }

    /// Returns the refusal of a request whose fingerprint has crashed too many upstreams; `None` if
    /// the request may run.
    fn quarantine_refusal(&self, now: Instant, job: &Job) -> Option<PlacementDecision> {
        let retry_after = self.quarantine.refused_for(now, job.suspect)?;
        self.log_refused(now, job, RefusalReason::Quarantine);
        Some(PlacementDecision::Refused(Refused {
            reason: RefusalReason::Quarantine,
            retry_after,
        }))
    }

    /// Returns whether this host may exit before a request ends that is sent to an upstream now.
    pub(super) fn may_exit_before_end(&self, now: Instant, job: &Job) -> bool {
        let Some(stopped_at) = self.stopped_at else {
            return false;
        };
        let pool = self.upstreams.pool(&job.service);
        let work = pool.and_then(|p| p.work_of(job.route).longest_seconds());
        let work = work.map(Duration::from_secs_f64);
        let deadline = job.deadline.saturating_add(LATE_ANSWER_GRACE);
        !ShutdownSchedule::new(stopped_at, &self.settings.bounds).ends_in_time(now, deadline, work)
    }

    /// Returns the refusal of a request of this host that may not end before the host exits.
    fn stopping_refusal(
        &self,
        now: Instant,
        waiting: &WaitingRequest,
    ) -> Option<PlacementDecision> {
        let is_own = matches!(waiting.requester, Requester::Local(_));
        if !is_own || !self.may_exit_before_end(now, &waiting.job) {
            return None;
        }
        self.log_refused(now, &waiting.job, RefusalReason::Stopping);
        Some(PlacementDecision::Refused(Refused {
            reason: RefusalReason::Stopping,
            retry_after: STOPPING_RETRY_AFTER,
        }))
    }

    /// Refuses a request that must not be sent any more: since it began to wait, its fingerprint has
    /// crashed too many upstreams, or this host has begun to stop. Returns the request if it may
    /// run.
    pub(super) fn refuse_unservable(
        &mut self,
        now: Instant,
        waiting: WaitingRequest,
    ) -> Option<WaitingRequest> {
        let refusal = self.quarantine_refusal(now, &waiting.job);
        let Some(verdict) = refusal.or_else(|| self.stopping_refusal(now, &waiting)) else {
            return Some(waiting);
        };
        if waiting.has_token {
            self.refund(now, &waiting.job);
        }
        finish_waiting(waiting, verdict);
        None
    }

    /// Drops a request whose caller disconnected before it was sent, and refunds its token.
    pub(super) fn drop_abandoned(&mut self, now: Instant, waiting: WaitingRequest) {
        if waiting.has_token {
            self.refund(now, &waiting.job);
        }
    }
}

/// Sends the verdict if the request came from a local caller.
fn finish_waiting(waiting: WaitingRequest, verdict: PlacementDecision) {
    if let Requester::Local(reply) = waiting.requester {
        send_verdict(reply, verdict);
    }
}

/// Sends a verdict; a failure means that the caller disconnected, and is ignored.
fn send_verdict(reply: oneshot::Sender<PlacementDecision>, verdict: PlacementDecision) {
    drop(reply.send(verdict));
}
