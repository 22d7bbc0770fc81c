//! Claims: requests for a slot sent to the schedulers of other domains.

use std::{
    collections::HashMap,
    time::Duration, //
};

use tokio::time::Instant;

use super::{
    Dispatcher,
    Requester,
    WaitingRequest,
    domains::Scheduler, //
};
use crate::{
    edge::{
        datagram::{
            Claim,
            ClaimOutcome,
            ClaimReply,
            Datagram,
            Finished,
            Holding,
            RunId, //
        },
        message::AttemptEnded,
        metrics::TryLabels,
        model::Standing,
        peers::Domain,
        upstreams::{
            TryEnd,
            UpstreamKey, //
        },
    },
    util::id::HostName,
};

/// Reply time assumed for a claim until a round trip to the domain was measured: the round trip
/// between the most distant regions.
const REPLY_TIME_DEFAULT: Duration = Duration::from_millis(300);
/// Time a scheduler may take to reply, in addition to the network round trip.
const REPLY_MARGIN: Duration = Duration::from_millis(60);
/// Consecutive claims without a reply after which a scheduler counts as silent.
const MISSED_REPLIES_MAX: u32 = 2;
/// How long a silent scheduler is sent no claims.
const SILENT_BACKOFF: Duration = Duration::from_millis(500);
/// How long claims exclude an upstream whose slot was declined. By then the scheduler knows, too,
/// that it is unusable.
const DECLINED_KEPT: Duration = Duration::from_secs(2);
/// Margin added to the queueing time announced by the scheduler.
const QUEUE_MARGIN: Duration = Duration::from_millis(200);

/// A request waiting for a slot from another host's scheduler.
#[derive(Debug)]
pub(super) struct PendingClaim {
    waiting: WaitingRequest,
    scheduler: HostName,
    sent: Instant,
    /// When the reply is overdue.
    overdue_at: Instant,
    queued: bool,
}

/// All pending claims, and the reply times and failures of the schedulers.
#[derive(Debug, Default)]
pub(super) struct Claims {
    open: HashMap<RunId, PendingClaim>,
    /// Consecutive claims a scheduler did not reply to, and until when it is sent no claims.
    missed: HashMap<HostName, (u32, Option<Instant>)>,
    /// Shortest measured round trip to the scheduler of each domain.
    round_trips: HashMap<Domain, Duration>,
}

impl Claims {
    /// Returns whether a scheduler is sent no claims because it failed to reply.
    pub(super) fn is_silent(&self, now: Instant, host: &HostName) -> bool {
        let until = self.missed.get(host).and_then(|(_, until)| *until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the shortest measured round trip to a domain's scheduler.
    pub(super) fn round_trip(&self, domain: &Domain) -> Option<Duration> {
        self.round_trips.get(domain).copied()
    }

    /// Returns the shortest measured round trip to a scheduler outside this host's region, or zero
    /// before the first measurement.
    pub(super) fn far_round_trip(&self, is_own_region: impl Fn(&Domain) -> bool) -> Duration {
        let far = self
            .round_trips
            .iter()
            .filter(|(domain, _)| !is_own_region(domain));
        far.map(|(_, round_trip)| *round_trip)
            .min()
            .unwrap_or_default()
    }

    fn record_reply(&mut self, domain: &Domain, host: &HostName, elapsed: Duration) {
        self.missed.remove(host);
        let round_trip = self.round_trips.entry(domain.clone()).or_insert(elapsed);
        *round_trip = elapsed.min(*round_trip);
    }

    fn record_missed_reply(&mut self, now: Instant, host: &HostName) {
        let (missed, until) = self.missed.entry(host.clone()).or_default();
        *missed += 1;
        if *missed >= MISSED_REPLIES_MAX {
            log::info!(event = "scheduler-silent", host:%, missed = *missed; "");
            *until = Some(now + SILENT_BACKOFF);
        }
    }
}

impl Dispatcher {
    pub(super) fn allocate_run_id(&mut self) -> RunId {
        self.next_run = self.next_run.wrapping_add(1);
        RunId(self.next_run)
    }

    /// Sends a claim for a slot to the scheduler `host` of `domain`.
    pub(super) fn claim(
        &mut self,
        now: Instant,
        waiting: WaitingRequest,
        domain: Domain,
        host: HostName,
    ) {
        let Some(address) = self.peers.address(&host) else {
            return self.wait_locally(now, waiting, domain);
        };
        let run = self.allocate_run_id();
        let from = self.sender();
        let ms = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
        let job = &waiting.job;
        let msg = Claim {
            from,
            run,
            domain: domain.clone(),
            id: job.id.clone(),
            service: job.service.clone(),
            priority: job.priority,
            route: job.route,
            object: job.object,
            has_object: job.has_object,
            bytes: job.bytes,
            waited_ms: ms(now.saturating_duration_since(job.received)),
            lost_ms: ms(job.lost_time),
            aim_ms: ms(job.latency_target),
            left_ms: ms(job.deadline.saturating_duration_since(now)),
            tried: self.excluded_for_own(now, job).into_iter().collect(),
            route_priority: job.route_priority,
        };
        self.send_datagram(vec![address], Datagram::Claim(msg));
        let round_trip = self
            .claims
            .round_trip(&domain)
            .unwrap_or(REPLY_TIME_DEFAULT);
        let mut waiting = waiting;
        waiting.domain = Some(domain);
        let pending = PendingClaim {
            waiting,
            scheduler: host,
            sent: now,
            overdue_at: now + round_trip + REPLY_MARGIN,
            queued: false,
        };
        self.claims.open.insert(run, pending);
    }

    /// Handles a scheduler's reply to a claim.
    pub(super) fn handle_claim_reply(&mut self, now: Instant, msg: &ClaimReply) {
        if msg.answers != self.incarnation {
            // The scheduler releases the slot once it hears from this process.
            log::info!(
                event = "claim-reply-of-earlier-process",
                scheduler:% = msg.from.host,
                run = msg.run.0;
                ""
            );
            return;
        }
        if self.local_runs.contains_key(&msg.run) {
            // The same grant has arrived before, and its slot is in use.
            return;
        }
        let Some(mut pending) = self.claims.open.remove(&msg.run) else {
            // The claim was dropped in the meantime, so a granted slot is released.
            if let ClaimOutcome::Granted { upstream, .. } = msg.outcome {
                self.release_slot(msg.from.host.clone(), msg.run, upstream);
            }
            return;
        };
        if let (false, Some(domain)) = (pending.queued, &pending.waiting.domain) {
            let elapsed = now.saturating_duration_since(pending.sent);
            self.claims.record_reply(domain, &msg.from.host, elapsed);
        }
        match msg.outcome {
            ClaimOutcome::Queued { for_ms } => {
                pending.queued = true;
                pending.overdue_at = now + Duration::from_millis(u64::from(for_ms)) + QUEUE_MARGIN;
                self.claims.open.insert(msg.run, pending);
            }
            ClaimOutcome::Full => self.try_next_domain(now, pending.waiting),
            ClaimOutcome::Granted {
                upstream,
                place,
                load,
            } => {
                // If this host was paused, the scheduler may have reassigned the slot since.
                let is_overdue = now >= pending.overdue_at;
                if is_overdue || !self.may_send(now, upstream, &pending.waiting) {
                    self.release_slot(msg.from.host.clone(), msg.run, upstream);
                    return self.decline_grant(now, pending.waiting, upstream, is_overdue);
                }
                let place = place.map(|p| p as usize);
                self.send_to(now, pending.waiting, upstream, msg.run, Some((place, load)));
            }
        }
    }

    /// Returns whether a granted request is still wanted and the upstream is usable according to
    /// this host's own state.
    fn may_send(&self, now: Instant, key: UpstreamKey, waiting: &WaitingRequest) -> bool {
        !waiting.is_abandoned()
            && self.is_usable(now, key, waiting)
            && !self.may_exit_before_end(now, &waiting.job)
            && !self.quarantine.is_refused(now, waiting.job.suspect)
    }

    /// Returns whether this host's own state permits to send a request to an upstream.
    fn is_usable(&self, now: Instant, key: UpstreamKey, waiting: &WaitingRequest) -> bool {
        let Some(u) = self.upstreams.get(&waiting.job.service, key) else {
            return false;
        };
        u.registration.standing == Standing::Ready
            && !u.is_replaced()
            && !self.evacuated_zones.contains(&u.registration.zone)
            && !waiting.job.tried.contains(&key)
            && !u.is_paused(now)
    }

    /// Looks for another slot for a request whose granted one is not used. If the scheduler does not
    /// know yet that the upstream is unusable, the request tries the other upstreams of the domain.
    fn decline_grant(
        &mut self,
        now: Instant,
        waiting: WaitingRequest,
        key: UpstreamKey,
        is_overdue: bool,
    ) {
        if waiting.is_abandoned() {
            return self.drop_abandoned(now, waiting);
        }
        if is_overdue || now >= waiting.expires_at || self.is_usable(now, key, &waiting) {
            return self.try_next_domain(now, waiting);
        }
        if self.refused_log_budget.allows("grant-declined") {
            log::info!(event = "grant-declined", id:% = waiting.job.id, upstream = key; "");
        }
        self.declined_upstreams.insert(key, now + DECLINED_KEPT);
        self.find_slot(now, waiting);
    }

    /// Looks for slots again for the claims that an earlier process of a scheduler has queued.
    pub(super) fn repeat_queued_claims(&mut self, now: Instant, scheduler: &HostName) {
        let open = self.claims.open.iter();
        let lost = open.filter(|(_, c)| c.queued && c.scheduler == *scheduler);
        let lost: Vec<RunId> = lost.map(|(run, _)| *run).collect();
        for run in lost {
            if let Some(pending) = self.claims.open.remove(&run) {
                self.find_slot(now, pending.waiting);
            }
        }
    }

    /// Releases a slot, or cancels a queued claim, by reporting the run as abandoned.
    fn release_slot(&mut self, scheduler: HostName, run: RunId, upstream: UpstreamKey) {
        let msg = Finished {
            from: self.sender(),
            run,
            upstream,
            end: TryEnd::Abandoned,
            held_ms: 0,
            load: None,
        };
        if let Some(address) = self.peers.address(&scheduler) {
            self.send_datagram(vec![address], Datagram::Finished(msg));
        }
    }

    /// Drops claims that are overdue, whose caller disconnected or whose scheduler changed, and those
    /// that this host cannot wait for because it stops.
    pub(super) fn expire_claims(&mut self, now: Instant) {
        let overdue: Vec<RunId> = self
            .claims
            .open
            .iter()
            .filter(|(_, c)| {
                c.overdue_at <= now
                    || c.is_abandoned()
                    || self.scheduler_changed(now, c)
                    || self.may_exit_before_end(now, &c.waiting.job)
            })
            .map(|(run, _)| *run)
            .collect();
        for run in overdue {
            let Some(pending) = self.claims.open.remove(&run) else {
                continue;
            };
            let PendingClaim {
                waiting,
                scheduler,
                queued,
                overdue_at,
                ..
            } = pending;
            // The claim may be queued at the scheduler, or its grant in transit.
            self.release_slot(scheduler.clone(), run, UpstreamKey::default());
            let domain = waiting.domain.clone();
            match domain {
                Some(domain) if !waiting.is_abandoned() => {
                    let is_missed = !queued && overdue_at <= now;
                    if is_missed {
                        self.claims.record_missed_reply(now, &scheduler);
                    }
                    match (is_missed, queued && overdue_at <= now) {
                        (true, _) => self.wait_locally(now, waiting, domain),
                        (false, true) => self.try_next_domain(now, waiting),
                        (false, false) => self.find_slot(now, waiting),
                    }
                }
                _ => self.drop_abandoned(now, waiting),
            }
        }
    }

    /// Returns whether another host schedules the domain now.
    fn scheduler_changed(&self, now: Instant, pending: &PendingClaim) -> bool {
        let Some(domain) = &pending.waiting.domain else {
            return false;
        };
        match self.scheduler_of(now, domain, pending.waiting.job.latency_target) {
            Scheduler::Remote(host) => host != pending.scheduler,
            Scheduler::Local => true,
            Scheduler::Unavailable => false,
        }
    }

    /// Records the end of a run of this host and reports it to the upstream's scheduler.
    pub(super) fn finish_run(&mut self, now: Instant, msg: &AttemptEnded) {
        let settings = self.settings.clone();
        let is_own_region = |zone: &_| settings.region_of(zone) == Some(&settings.region);
        let run = self.local_runs.remove(&msg.run);
        let upstream = self.upstreams.find(msg.key).map(|u| u.registration.start());
        match &run {
            Some(run) if upstream.is_some_and(|start| start != run.start) => {
                self.upstreams.record_end_at_earlier_start(msg.key);
            }
            _ => self.upstreams.record_end(now, msg, is_own_region),
        }
        if let Some(suspect) = msg.answered {
            self.quarantine.on_answer(now, suspect);
        }
        self.record_answer(now, msg);
        let labels = TryLabels {
            end: msg.end.as_str(),
        };
        self.metrics.tries.get_or_create(&labels).inc();
        if let Some(run) = run {
            let held_ms = u32::try_from(msg.held.as_millis()).unwrap_or(u32::MAX);
            let finished = Finished {
                from: self.sender(),
                run: msg.run,
                upstream: msg.key,
                end: msg.end,
                held_ms,
                load: msg.load,
            };
            self.notify_scheduler(now, &run.domain, Datagram::Finished(finished));
        }
        let replaced = msg.end == TryEnd::Misdirected;
        if let Some(u) = self.upstreams.find(msg.key).filter(|_| replaced) {
            log::info!(event = "upstream-replaced", upstream:% = u.registration.id; "");
        }
        self.drain_queue(now, Some(msg.key));
    }

    /// Sends a message to the host that schedules a domain, unless that is this host.
    pub(super) fn notify_scheduler(&self, now: Instant, domain: &Domain, msg: Datagram) {
        let scheduler = self.peers.scheduler(now, domain);
        // `address` returns `None` for this host itself.
        if let Some(address) = scheduler.and_then(|host| self.peers.address(host)) {
            self.send_datagram(vec![address], msg);
        }
    }

    /// Sends each scheduler the list of this host's runs at its upstreams.
    pub(super) fn send_holdings(&mut self, now: Instant) {
        let mut held: HashMap<Domain, Vec<(RunId, UpstreamKey)>> = HashMap::new();
        for (id, run) in &self.local_runs {
            let runs = held.entry(run.domain.clone()).or_default();
            runs.push((*id, run.upstream));
        }
        for (domain, runs) in held {
            let msg = Holding {
                from: self.sender(),
                runs,
            };
            self.notify_scheduler(now, &domain, Datagram::Holding(msg));
        }
    }
}

impl PendingClaim {
    fn is_abandoned(&self) -> bool {
        self.waiting.is_abandoned()
    }
}

impl WaitingRequest {
    /// Returns whether the local caller disconnected; always false for claims of other hosts.
    pub(super) fn is_abandoned(&self) -> bool {
        match &self.requester {
            Requester::Local(reply) => reply.is_closed(),
            Requester::Remote(..) => false,
        }
    }
}
