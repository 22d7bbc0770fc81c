//! Slots that are asked of the schedulers of other domains.

use std::{
    collections::HashMap,
    time::Duration, //
};

use tokio::time::Instant;

use super::{
    Asker,
    Dispatcher,
    Waiting,
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
        message::Ended,
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

/// How long the answer to a claim may take where the way is not known: there and back between
/// the farthest regions.
const REPLY_MAX: Duration = Duration::from_millis(300);
/// The time that a scheduler may take beside the way itself.
const REPLY_SLACK: Duration = Duration::from_millis(60);
/// Claims in a row without an answer after which a scheduler is not asked for a while.
const MISSED_MAX: u32 = 2;
/// How long it is not asked then.
const SILENT_FOR: Duration = Duration::from_millis(500);
/// How much longer than the scheduler said a queued claim may take.
const QUEUE_SLACK: Duration = Duration::from_millis(200);

/// A request for which another host looks for a slot.
#[derive(Debug)]
pub(super) struct Claimed {
    waiting: Waiting,
    scheduler: HostName,
    sent: Instant,
    /// When the answer is overdue.
    limit: Instant,
    queued: bool,
}

/// All such requests, and what is known of the schedulers.
#[derive(Debug, Default)]
pub(super) struct Claims {
    open: HashMap<RunId, Claimed>,
    /// Claims in a row that a scheduler did not answer, and until when it is not asked.
    missed: HashMap<HostName, (u32, Option<Instant>)>,
    /// The shortest time to a domain's scheduler and back.
    trips: HashMap<Domain, Duration>,
}

impl Claims {
    /// Returns whether a scheduler did not answer lately.
    pub(super) fn is_silent(&self, now: Instant, host: &HostName) -> bool {
        let until = self.missed.get(host).and_then(|(_, until)| *until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the shortest time to a domain's scheduler and back.
    pub(super) fn trip(&self, domain: &Domain) -> Option<Duration> {
        self.trips.get(domain).copied()
    }

    /// Returns the shortest time to another region's schedulers and back; none are known at
    /// the start.
    pub(super) fn far_trip(&self, is_near: impl Fn(&Domain) -> bool) -> Duration {
        let far = self.trips.iter().filter(|(domain, _)| !is_near(domain));
        far.map(|(_, trip)| *trip).min().unwrap_or_default()
    }

    fn note_answer(&mut self, domain: &Domain, host: &HostName, took: Duration) {
        self.missed.remove(host);
        let trip = self.trips.entry(domain.clone()).or_insert(took);
        *trip = took.min(*trip);
    }

    fn note_missed(&mut self, now: Instant, host: &HostName) {
        let (missed, until) = self.missed.entry(host.clone()).or_default();
        *missed += 1;
        if *missed >= MISSED_MAX {
            log::info!(event = "scheduler-silent", host:%, missed = *missed; "");
            *until = Some(now + SILENT_FOR);
        }
    }
}

impl Dispatcher {
    pub(super) fn new_run(&mut self) -> RunId {
        self.next_run = self.next_run.wrapping_add(1);
        RunId(self.next_run)
    }

    /// Asks another host for a slot.
    pub(super) fn claim(&mut self, now: Instant, waiting: Waiting, domain: Domain, host: HostName) {
        let Some(address) = self.peers.address(&host) else {
            return self.wait_here(now, waiting, domain);
        };
        let run = self.new_run();
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
            lost_ms: ms(job.lost),
            aim_ms: ms(job.aim),
            left_ms: ms(job.deadline.saturating_duration_since(now)),
            tried: job.tried.clone(),
        };
        self.post_datagram(vec![address], Datagram::Claim(msg));
        let trip = self.claims.trip(&domain).unwrap_or(REPLY_MAX);
        let mut waiting = waiting;
        waiting.domain = Some(domain);
        let claimed = Claimed {
            waiting,
            scheduler: host,
            sent: now,
            limit: now + trip + REPLY_SLACK,
            queued: false,
        };
        self.claims.open.insert(run, claimed);
    }

    /// Takes in a scheduler's answer.
    pub(super) fn hear_reply(&mut self, now: Instant, msg: &ClaimReply) {
        let Some(mut claimed) = self.claims.open.remove(&msg.run) else {
            // Given up meanwhile; the slot is free again.
            if let ClaimOutcome::Granted { upstream, .. } = msg.outcome {
                self.return_slot(msg.from.host.clone(), msg.run, upstream);
            }
            return;
        };
        if let (false, Some(domain)) = (claimed.queued, &claimed.waiting.domain) {
            let took = now.saturating_duration_since(claimed.sent);
            self.claims.note_answer(domain, &msg.from.host, took);
        }
        match msg.outcome {
            ClaimOutcome::Queued { for_ms } => {
                claimed.queued = true;
                claimed.limit = now + Duration::from_millis(u64::from(for_ms)) + QUEUE_SLACK;
                self.claims.open.insert(msg.run, claimed);
            }
            ClaimOutcome::Full => self.decline(now, claimed.waiting),
            ClaimOutcome::Granted {
                upstream,
                place,
                load,
            } => {
                // A host that was paused hears of a slot that its scheduler may have given away.
                let is_overdue = now >= claimed.limit;
                if is_overdue || !self.may_send(upstream, &claimed.waiting) {
                    self.return_slot(msg.from.host.clone(), msg.run, upstream);
                    return self.decline(now, claimed.waiting);
                }
                let place = place.map(|p| p as usize);
                self.send_to(now, claimed.waiting, upstream, msg.run, Some((place, load)));
            }
        }
    }

    /// Returns whether this host itself knows nothing that speaks against an upstream.
    fn may_send(&self, key: UpstreamKey, waiting: &Waiting) -> bool {
        let Some(u) = self.upstreams.find(key) else {
            return false;
        };
        let is_wanted = match &waiting.asker {
            Asker::Own(reply) => !reply.is_closed(),
            Asker::Host(..) => true,
        };
        is_wanted
            && u.entry.standing == Standing::Ready
            && !u.is_gone()
            && !self.evacuated.contains(&u.entry.zone)
            && !waiting.job.tried.contains(&key)
    }

    /// Tells a scheduler that a try ends that never began.
    fn return_slot(&mut self, scheduler: HostName, run: RunId, upstream: UpstreamKey) {
        let msg = Finished {
            from: self.sender(),
            run,
            upstream,
            end: TryEnd::Abandoned,
            held_ms: 0,
            load: None,
        };
        if let Some(address) = self.peers.address(&scheduler) {
            self.post_datagram(vec![address], Datagram::Finished(msg));
        }
    }

    /// Ends claims whose callers left, and those that are overdue.
    pub(super) fn look_after_claims(&mut self, now: Instant) {
        let overdue: Vec<RunId> = self
            .claims
            .open
            .iter()
            .filter(|(_, c)| c.limit <= now || c.is_abandoned() || self.has_moved(now, c))
            .map(|(run, _)| *run)
            .collect();
        for run in overdue {
            let Some(claimed) = self.claims.open.remove(&run) else {
                continue;
            };
            let Claimed {
                waiting,
                scheduler,
                queued,
                limit,
                ..
            } = claimed;
            // It may be queued there, or its grant on the way.
            self.return_slot(scheduler.clone(), run, UpstreamKey::default());
            let domain = waiting.domain.clone();
            match domain {
                Some(domain) if !waiting.is_abandoned() => {
                    let is_missed = !queued && limit <= now;
                    if is_missed {
                        self.claims.note_missed(now, &scheduler);
                    }
                    match (is_missed, queued && limit <= now) {
                        (true, _) => self.wait_here(now, waiting, domain),
                        (false, true) => self.decline(now, waiting),
                        (false, false) => self.seek(now, waiting),
                    }
                }
                _ => self.forget(now, waiting),
            }
        }
    }

    /// Returns whether another host keeps the slots by now.
    fn has_moved(&self, now: Instant, claimed: &Claimed) -> bool {
        let Some(domain) = &claimed.waiting.domain else {
            return false;
        };
        match self.scheduler_of(now, domain, claimed.waiting.job.aim) {
            Scheduler::Host(host) => host != claimed.scheduler,
            Scheduler::Own => true,
            Scheduler::None => false,
        }
    }

    /// Notes the end of a try of this host, and tells who keeps the upstream's slots.
    pub(super) fn finish(&mut self, now: Instant, msg: &Ended) {
        let settings = self.settings.clone();
        let is_near = |zone: &_| settings.region_of(zone) == Some(&settings.region);
        self.upstreams.finished(now, msg, is_near);
        let labels = TryLabels {
            end: msg.end.as_str(),
        };
        self.metrics.tries.get_or_create(&labels).inc();
        if let Some(run) = self.own_runs.remove(&msg.run) {
            let held_ms = u32::try_from(msg.held.as_millis()).unwrap_or(u32::MAX);
            let finished = Finished {
                from: self.sender(),
                run: msg.run,
                upstream: msg.key,
                end: msg.end,
                held_ms,
                load: msg.load,
            };
            self.tell_scheduler(now, &run.domain, Datagram::Finished(finished));
        }
        let replaced = msg.end == TryEnd::Misdirected;
        if let Some(u) = self.upstreams.find(msg.key).filter(|_| replaced) {
            log::info!(event = "upstream-replaced", upstream:% = u.entry.id; "");
        }
        self.drain_queue(now, Some(msg.key));
    }

    /// Tells the host that keeps a domain's slots, where it is another one.
    pub(super) fn tell_scheduler(&self, now: Instant, domain: &Domain, msg: Datagram) {
        let scheduler = self.peers.scheduler(now, domain);
        // The own host has no address here.
        if let Some(address) = scheduler.and_then(|host| self.peers.address(host)) {
            self.post_datagram(vec![address], msg);
        }
    }

    /// Tells each scheduler what this host runs at its upstreams.
    pub(super) fn tell_holdings(&mut self, now: Instant) {
        let mut held: HashMap<Domain, Vec<(RunId, UpstreamKey)>> = HashMap::new();
        for (id, run) in &self.own_runs {
            let runs = held.entry(run.domain.clone()).or_default();
            runs.push((*id, run.upstream));
        }
        for (domain, runs) in held {
            let msg = Holding {
                from: self.sender(),
                runs,
            };
            self.tell_scheduler(now, &domain, Datagram::Holding(msg));
        }
    }
}

impl Claimed {
    fn is_abandoned(&self) -> bool {
        self.waiting.is_abandoned()
    }
}

impl Waiting {
    /// Returns whether the caller of a request of this host went away.
    pub(super) fn is_abandoned(&self) -> bool {
        match &self.asker {
            Asker::Own(reply) => reply.is_closed(),
            Asker::Host(..) => false,
        }
    }
}
