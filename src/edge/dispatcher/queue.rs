//! Queue of requests waiting for a slot, and claims received from other hosts.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::{
    Dispatcher,
    Requester,
    WaitingRequest, //
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
            RunId,
            Sender,
            Started, //
        },
        message::Job,
        model::{
            Priority,
            Regions,
            Registration, //
        },
        peers::Domain,
        placement::{
            self,
            Homes,
            Pick,
            PlacementRequest,
            View, //
        },
        queue_order,
        remote_runs::Run,
        upstreams::{
            RunEnd,
            Upstream,
            UpstreamKey,
            zone_hash, //
        }, //
    },
    quarantine::Suspect,
    util::id::ZoneName,
};

impl Dispatcher {
    /// Places or queues a request for a domain without asking the domain's scheduler.
    pub(super) fn wait_locally(
        &mut self,
        now: Instant,
        mut waiting: WaitingRequest,
        domain: Domain,
    ) {
        let view = self.view_without_scheduler(&domain);
        self.assign_domain(&mut waiting, domain, view);
        self.place_or_enqueue(now, waiting);
    }

    /// Places a request, queues it, or ends its wait at once if it would expire in the queue.
    pub(super) fn place_or_enqueue(&mut self, now: Instant, waiting: WaitingRequest) {
        if self.would_expire_in_queue(now, &waiting) || self.is_kept_elsewhere(now, &waiting) {
            return self.expire_wait(now, waiting);
        }
        let Some(waiting) = self.try_place(now, waiting) else {
            return;
        };
        if let Requester::Remote(sender, run) = &waiting.requester {
            let left = waiting.expires_at.saturating_duration_since(now);
            let for_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            self.reply(sender.clone(), *run, ClaimOutcome::Queued { for_ms });
        }
        self.queue.push(waiting);
    }

    /// Returns whether a request would expire before its turn, given the queue length.
    pub(super) fn would_expire_in_queue(&self, now: Instant, waiting: &WaitingRequest) -> bool {
        let Some(pool) = self.upstreams.pool(&waiting.job.service) else {
            return false;
        };
        let is_ahead = |w: &&WaitingRequest| {
            w.domain == waiting.domain
                && w.job.service == waiting.job.service
                && w.rank() <= waiting.rank()
        };
        let ahead = self.queue.iter().filter(is_ahead).count();
        let slots: f64 = waiting
            .zones
            .iter()
            .map(|z| f64::from(pool.slots_within_limits(*z)))
            .sum();
        let wait = ahead as f64 * pool.work() / slots.max(1.0);
        Duration::from_secs_f64(wait) > waiting.expires_at.saturating_duration_since(now)
    }

    /// Tries to place a request. Returns it if it has to keep waiting.
    pub(super) fn try_place(
        &mut self,
        now: Instant,
        mut waiting: WaitingRequest,
    ) -> Option<WaitingRequest> {
        if waiting.is_abandoned() {
            self.drop_abandoned(now, waiting);
            return None;
        }
        waiting = self.refuse_unservable(now, waiting)?;
        if !waiting.has_token {
            waiting = self.acquire_token(now, waiting)?;
            if !waiting.has_token {
                return Some(waiting);
            }
            let WaitingRequest { job, region, .. } = &waiting;
            self.demand_mut(&job.service, now).record(now, job, region);
            self.find_slot(now, waiting);
            return None;
        }
        let late = waiting.expires_at <= now;
        match self.pick(now, &waiting, late) {
            Pick::Upstream(key) => {
                self.place(now, waiting, key);
                return None;
            }
            Pick::Wait(homes) => waiting.homes = homes,
        }
        if !late {
            return Some(waiting);
        }
        self.expire_wait(now, waiting);
        None
    }

    pub(super) fn pick(&self, now: Instant, waiting: &WaitingRequest, late: bool) -> Pick {
        let job = &waiting.job;
        let excluded = self.excluded_upstreams(now, waiting);
        let wish = PlacementRequest {
            object: job.object,
            route: job.route,
            bytes: job.bytes,
            zones: &waiting.zones,
            excluded: &excluded,
            late,
            view: waiting.view,
        };
        match self.upstreams.pool(&job.service) {
            Some(pool) => placement::pick(pool, zone_hash(self.serving_zone(waiting)), &wish, now),
            None => Pick::Wait(Homes::default()),
        }
    }

    /// Returns the zone of the host that serves the caller; the body and the answer pass between
    /// that zone and the upstream's.
    pub(super) fn serving_zone(&self, waiting: &WaitingRequest) -> &ZoneName {
        let zone = match &waiting.requester {
            Requester::Local(_) => None,
            Requester::Remote(sender, _) => self.peers.zone(&sender.host),
        };
        zone.unwrap_or(&self.settings.zone)
    }

    /// Assigns the slot of an upstream to a request or to another host's claim.
    fn place(&mut self, now: Instant, waiting: WaitingRequest, key: UpstreamKey) {
        let Requester::Remote(sender, id) = &waiting.requester else {
            let run = self.allocate_run_id();
            return self.send_to(now, waiting, key, run, None);
        };
        let job = &waiting.job;
        let cold = self.cold_rate_limit(now, &job.service, key, waiting.view);
        let list_index = self
            .upstreams
            .record_grant(now, key, job.affinity_hash(), cold);
        let upstream = self.upstreams.find(key);
        let load = upstream.map_or(0, |u| u.load(now));
        let run = Run {
            upstream: key,
            start: upstream.map(|u| u.registration.start()),
            route: Some(job.route),
            list_index,
            since: now,
        };
        let changes = self.runs.start(&sender.host, sender.incarnation, *id, run);
        self.upstreams.change_remote_running(&changes);
        let outcome = ClaimOutcome::Granted {
            upstream: key,
            place: list_index.and_then(|p| u32::try_from(p).ok()),
            load,
        };
        self.reply(sender.clone(), *id, outcome);
    }

    /// Ends the wait of a request that got no slot in time: tries the next domain, or replies to
    /// the claim that the domain is full.
    fn expire_wait(&mut self, now: Instant, waiting: WaitingRequest) {
        match &waiting.requester {
            Requester::Local(_) => self.try_next_domain(now, waiting),
            Requester::Remote(sender, run) => {
                self.log_declined(now, &waiting);
                self.reply(sender.clone(), *run, ClaimOutcome::Full);
            }
        }
    }

    fn log_declined(&self, now: Instant, waiting: &WaitingRequest) {
        if !self.refused_log_budget.allows("declined") {
            return;
        }
        let (job, pool) = (&waiting.job, self.upstreams.pool(&waiting.job.service));
        let in_zones = |u: &&Upstream| waiting.zones.contains(&u.zone_hash);
        let usable = pool.iter().flat_map(|p| &p.upstreams).filter(in_zones);
        let (slots, free) = usable.fold((0_u64, 0_u64), |(slots, free), u| {
            (
                slots + u64::from(u.registration.slots),
                free + u64::from(u.free(now)),
            )
        });
        let domain = waiting.domain.as_ref();
        log::info!(
            event = "declined",
            id:% = job.id,
            domain:% = domain.map_or_else(|| "-".to_owned(), Domain::to_string),
            service:% = job.service,
            rank = job.priority.0,
            slots,
            free,
            queue = self.queue.len(),
            waited_ms = now.saturating_duration_since(job.received).as_millis() as u64;
            ""
        );
    }

    fn reply(&mut self, to: Sender, run: RunId, outcome: ClaimOutcome) {
        let msg = ClaimReply {
            from: self.sender(),
            run,
            outcome,
            answers: to.incarnation,
        };
        if let Some(address) = self.peers.address(&to.host) {
            self.send_datagram(vec![address], Datagram::ClaimReply(msg));
        }
    }

    /// Handles a claim for a slot from another host.
    pub(super) fn handle_claim(&mut self, now: Instant, msg: Claim) {
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let job = Job {
            id: msg.id,
            service: msg.service,
            organisation: None,
            priority: msg.priority,
            route_priority: msg.route_priority,
            route: msg.route,
            bytes: msg.bytes,
            object: msg.object,
            has_object: msg.has_object,
            regions: Regions::new(),
            received: now.checked_sub(ms(msg.waited_ms)).unwrap_or(now),
            suspect: Suspect(0),
            lost_time: ms(msg.lost_ms),
            latency_target: ms(msg.aim_ms),
            deadline: now + ms(msg.left_ms),
            tried: msg.tried,
            may_have_run: false,
        };
        let zones = self.active_zones(&msg.domain);
        let waiting = WaitingRequest {
            expires_at: self.wait_deadline(&job),
            job,
            region: self.settings.region.clone(),
            domain: Some(msg.domain),
            zones,
            view: View::Scheduler,
            declined: SmallVec::new(),
            is_overflow: false,
            has_token: true,
            homes: Homes::default(),
            requester: Requester::Remote(msg.from, msg.run),
        };
        self.place_or_enqueue(now, waiting);
    }

    /// Records that another host sent a request to an upstream without a claim.
    pub(super) fn handle_started(&mut self, now: Instant, msg: &Started) {
        let list_index = self
            .upstreams
            .record_grant(now, msg.upstream, msg.object, None);
        let upstream = self.upstreams.find(msg.upstream);
        let run = Run {
            upstream: msg.upstream,
            start: upstream.map(|u| u.registration.start()),
            route: Some(msg.route),
            list_index,
            since: now,
        };
        let from = &msg.from;
        let changes = self.runs.start(&from.host, from.incarnation, msg.run, run);
        self.upstreams.change_remote_running(&changes);
    }

    /// Handles the end of another host's run. If the run is not known, drops its queued claim.
    pub(super) fn handle_finished(&mut self, now: Instant, msg: &Finished) {
        let from = &msg.from;
        let Some(run) = self.runs.finish(&from.host, from.incarnation, msg.run) else {
            self.queue.retain(|w| match &w.requester {
                Requester::Remote(sender, run) => {
                    *run != msg.run
                        || sender.host != from.host
                        || sender.incarnation != from.incarnation
                }
                Requester::Local(_) => true,
            });
            return;
        };
        self.upstreams.change_remote_running(&[(run.upstream, -1)]);
        let upstream = self.upstreams.find(run.upstream).map(|u| &u.registration);
        let start = upstream.map(Registration::start);
        if run.start.is_some() && run.start != start {
            // The upstream has restarted: the end says nothing about its present process.
            return self.drain_queue(now, Some(run.upstream));
        }
        let region = upstream.and_then(|u| self.settings.region_of(&u.zone));
        let from = self.peers.zone(&msg.from.host);
        let is_same_region =
            region.is_some() && from.and_then(|z| self.settings.region_of(z)) == region;
        let end = RunEnd {
            key: run.upstream,
            route: run.route,
            list_index: run.list_index,
            end: msg.end,
            held: Duration::from_millis(u64::from(msg.held_ms)),
            load: msg.load,
        };
        self.upstreams.record_run_end(now, &end, is_same_region);
        self.drain_queue(now, Some(run.upstream));
    }

    /// Replaces the known runs of another host at upstreams that this host schedules.
    pub(super) fn handle_holding(&mut self, now: Instant, msg: &Holding) {
        let from = &msg.from;
        let changes = self
            .runs
            .reconcile(now, &from.host, from.incarnation, &msg.runs);
        self.upstreams.change_remote_running(&changes);
        if changes.iter().any(|(_, change)| *change < 0) {
            self.drain_queue(now, None);
        }
    }

    /// Tries to place queued requests again. If `freed` names an upstream with a freed slot, only
    /// requests that it can take and expired ones are tried; otherwise all are.
    pub(super) fn drain_queue(&mut self, now: Instant, freed: Option<UpstreamKey>) {
        if self.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut self.queue);
        if let Some(key) = freed {
            let u = self.upstreams.find(key);
            let can_take = |u: &Upstream, w: &WaitingRequest| {
                w.zones.contains(&u.zone_hash)
                    && u.registration.service == w.job.service
                    && placement::may_use_freed_slot(u, &w.homes, w.job.object, now)
            };
            let is_eligible =
                |w: &WaitingRequest| w.expires_at <= now || u.is_some_and(|u| can_take(u, w));
            (queue, self.queue) = queue.into_iter().partition(is_eligible);
        }
        self.drain_rounds = self.drain_rounds.wrapping_add(1);
        queue_order::sort_waiting(self.drain_rounds, &mut queue, |w| {
            (w.rank(), w.job.received)
        });
        for waiting in queue {
            if let Some(waiting) = self.try_place(now, waiting) {
                self.queue.push(waiting);
            }
        }
    }
}

impl WaitingRequest {
    /// Returns the rank among waiting requests: that of the organisation, then that of the route.
    fn rank(&self) -> (Priority, Priority) {
        (self.job.priority, self.job.route_priority)
    }
}
