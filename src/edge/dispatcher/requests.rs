//! Requests: their tokens, their regions, their upstreams, and who waits.

use std::time::Duration;

use rand::RngExt;
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use super::{
    Dispatcher,
    Waiting, //
};
use crate::{
    edge::{
        datagram::RunEvent,
        lines::listed,
        message::{
            Ended,
            Job,
            Placed,
            Refused,
            Submit,
            Verdict,
            Why, //
        },
        metrics::PlaceLabels,
        placement::{
            self,
            Homes,
            Pick,
            Places,
            Wish, //
        },
        quota::Debit,
        upstreams::{
            TryEnd,
            Upstream,
            UpstreamKey, //
        },
        waiting, //
    },
    util::id::{
        RegionName,
        ServiceName,
        UpstreamId, //
    },
};

/// The part of its aim that a request waits in any case, one in this many.
const WAIT_PART: u32 = 8;
/// The part of its aim that a request waits for a token, one in this many.
const TOKEN_WAIT_PART: u32 = 4;
/// Time that an answer takes beside the work itself.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);
/// The shortest time after which a refused caller comes back.
const RETURN_MIN: Duration = Duration::from_millis(250);
/// The further time over which returning callers are spread.
const RETURN_SPREAD: Duration = Duration::from_millis(500);
/// When a caller comes back whose request crashes upstreams.
const QUARANTINE_RETURN: Duration = Duration::from_secs(60);

/// Whether a request found an upstream.
enum Sent {
    /// It did, and its slot is taken.
    Placed(Placed),
    /// It did not; these are its object's homes.
    Not(Homes),
}

impl Dispatcher {
    pub(super) fn submit(&mut self, now: Instant, msg: Submit) {
        let Submit { job, reply } = msg;
        let mut paid = true;
        if self.quarantine.is_refused(now, job.suspect) {
            self.refund_later_try(now, &job);
            answer(reply, self.quarantined());
            return;
        }
        if job.tried.is_empty() {
            if let Some(organisation) = &job.organisation {
                self.quotas.arrived(now, organisation);
                paid = self.quotas.debit(now, organisation) == Debit::Paid;
            }
            self.demand_mut(&job.service, now).budget.earn();
        } else if !self.demand_mut(&job.service, now).budget.take() {
            self.refund(now, &job);
            answer(reply, self.refused(now, &job, Why::RetryBudget));
            return;
        }
        let region = self.region_of(now, &job);
        if paid && job.tried.is_empty() {
            self.demand_mut(&job.service, now).count(now, &job, &region);
        }
        let until = self.wait_until(&job);
        let waiting = Waiting {
            job,
            region,
            until,
            paid,
            homes: Homes::default(),
            reply,
        };
        if let Some(waiting) = self.try_place(now, waiting) {
            self.queue.push(waiting);
        }
        self.ask_for_tokens(now);
    }

    /// Returns until when a request waits for an upstream: as long as it can
    /// still be answered in time, and a little in any case.
    pub(super) fn wait_until(&self, job: &Job) -> Instant {
        let pool = self.upstreams.pool(&job.service);
        let work = pool.map_or(0.0, |p| p.work_of(job.route).expect(Some(0)));
        let work = Duration::from_secs_f64(work) + ANSWER_MARGIN;
        let in_time = job.aim.saturating_sub(job.lost + work);
        let wait = in_time.max(job.aim / WAIT_PART);
        (job.received + wait).min(job.deadline)
    }

    /// Returns the region in which a request runs.
    pub(super) fn region_of(&mut self, now: Instant, job: &Job) -> RegionName {
        let home = self.settings.region.clone();
        // The same object spills from all hosts of a region to the same one.
        let point = (job.object >> 11) as f64 / (1u64 << 53) as f64;
        let region = self
            .demand_mut(&job.service, now)
            .shares
            .region_at(&home, point);
        if job.regions.is_empty() || job.regions.contains(&region) {
            return region;
        }
        match job.regions.contains(&home) {
            true => home,
            false => job.regions[0].clone(),
        }
    }

    /// Places a request, refuses it, or returns it where it has to wait.
    pub(super) fn try_place(&mut self, now: Instant, mut waiting: Waiting) -> Option<Waiting> {
        if waiting.reply.is_closed() {
            if waiting.paid {
                self.refund(now, &waiting.job);
            }
            return None;
        }
        if !waiting.paid {
            waiting = self.pay(now, waiting)?;
            if !waiting.paid {
                return Some(waiting);
            }
            let Waiting { job, region, .. } = &waiting;
            self.demand_mut(&job.service, now).count(now, job, region);
        }
        let late = waiting.until <= now;
        match self.pick(now, &waiting.job, &waiting.region, late) {
            Sent::Placed(placed) => {
                // A caller that went away drops the place, which gives it back.
                answer(waiting.reply, Verdict::Send(placed));
                return None;
            }
            Sent::Not(homes) => waiting.homes = homes,
        }
        if !late {
            return Some(waiting);
        }
        self.refund(now, &waiting.job);
        let verdict = self.refused(now, &waiting.job, Why::Busy);
        answer(waiting.reply, verdict);
        None
    }

    /// Takes a waiting request's token, or refuses it where none is to be had.
    pub(super) fn pay(&mut self, now: Instant, mut waiting: Waiting) -> Option<Waiting> {
        let Some(organisation) = &waiting.job.organisation else {
            waiting.paid = true;
            return Some(waiting);
        };
        let patience = waiting.job.received + waiting.job.aim / TOKEN_WAIT_PART;
        match self.quotas.debit(now, organisation) {
            Debit::Paid => waiting.paid = true,
            Debit::Short if now < patience => {}
            Debit::Short | Debit::Spent => {
                let verdict = self.refused(now, &waiting.job, Why::Rate);
                answer(waiting.reply, verdict);
                return None;
            }
        }
        Some(waiting)
    }

    /// Picks an upstream and starts a request there, or returns its object's homes.
    fn pick(&mut self, now: Instant, job: &Job, region: &RegionName, late: bool) -> Sent {
        let places = Places {
            zone: &self.settings.zone,
            regions: &self.settings.regions,
            evacuated: &self.evacuated,
        };
        let wish = Wish {
            object: job.object,
            route: job.route,
            bytes: job.bytes,
            region,
            tried: &job.tried,
            late,
        };
        let Some(pool) = self.upstreams.pool(&job.service) else {
            return Sent::Not(Homes::default());
        };
        let key = match placement::pick(pool, places, &wish, now) {
            Pick::Upstream(key) => key,
            Pick::Wait(homes) => return Sent::Not(homes),
        };
        let cold = self.cold_share(now, &job.service, key);
        let object = job.object;
        let place = self.upstreams.started(now, &job.service, key, object, cold);
        self.announce(&job.service, key, RunEvent::Started { object });
        let me = self.me.clone();
        let Some(u) = self.upstreams.get_mut(&job.service, key) else {
            return Sent::Not(Homes::default());
        };
        let (address, id) = (u.entry.address, u.entry.id.clone());
        self.note_placed(now, job, &id, key, place);
        let ended = Ended {
            service: job.service.clone(),
            key,
            route: job.route,
            place,
            end: TryEnd::Abandoned,
            held: Duration::ZERO,
            load: None,
        };
        Sent::Placed(Placed::new(address, id, ended, me))
    }

    /// Returns the rate that a cold upstream bears, and how many hosts share it;
    /// none where it is not cold or its rate is not known.
    fn cold_share(
        &self,
        now: Instant,
        service: &ServiceName,
        key: UpstreamKey,
    ) -> Option<(f64, usize)> {
        self.upstreams.find(key).filter(|u| u.is_cold(now))?;
        let cfg = self.configuration.load();
        let rate = cfg.as_ref()?.services.get(service)?.cold_rate;
        Some((rate, self.peers.registered_in(&self.settings.zone) + 1))
    }

    /// Logs and counts where a request goes, and from what that was decided.
    pub(super) fn note_placed(
        &mut self,
        now: Instant,
        job: &Job,
        id: &UpstreamId,
        key: UpstreamKey,
        place: Option<usize>,
    ) {
        let Some(u) = self.upstreams.get_mut(&job.service, key) else {
            return;
        };
        let (zone, load, slots) = (u.entry.zone.clone(), u.load(now), u.entry.slots);
        let waited = now.saturating_duration_since(job.received);
        self.metrics.waiting.observe(waited.as_secs_f64());
        let labels = PlaceLabels {
            place: match () {
                () if zone == self.settings.zone => "zone",
                () if self.settings.region_of(&zone) == Some(&self.settings.region) => "region",
                () => "other-region",
            },
            object: if place.is_some() { "known" } else { "strange" },
        };
        self.metrics.placed.get_or_create(&labels).inc();
        if self.placed_lines.allows("placed") {
            log::info!(
                event = "placed",
                id:% = job.id,
                service:% = job.service,
                organisation:% = job.organisation_text(),
                upstream:% = id,
                zone:%,
                load,
                slots,
                object_place:? = place,
                lost_ms = job.lost.as_millis() as u64,
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

    pub(super) fn refused(&mut self, now: Instant, job: &Job, why: Why) -> Verdict {
        self.note_refused(now, job, why);
        let spread = RETURN_SPREAD.mul_f64(self.rng.random::<f64>());
        Verdict::Refused(Refused {
            why,
            after: RETURN_MIN + spread,
        })
    }

    /// Logs a refusal with what decided it.
    fn note_refused(&self, now: Instant, job: &Job, why: Why) {
        if !self.refused_lines.allows("refused") {
            return;
        }
        let pool = self.upstreams.pool(&job.service);
        let in_regions = |u: &&Upstream| {
            let region = self.settings.region_of(&u.entry.zone);
            job.regions.is_empty() || region.is_some_and(|r| job.regions.contains(r))
        };
        let usable = pool.iter().flat_map(|p| &p.upstreams).filter(in_regions);
        let (slots, free) = usable.fold((0, 0), |(slots, free), u| {
            (slots + u.entry.slots, free + u.free(now))
        });
        let organisation = job.organisation.as_ref();
        let share = match why {
            Why::Rate => organisation.map(|o| self.quotas.describe(o)),
            _ => None,
        };
        log::info!(
            event = "refused",
            id:% = job.id,
            why = why.as_str(),
            service:% = job.service,
            organisation:% = job.organisation_text(),
            rank = job.priority.0,
            regions:% = listed(&job.regions),
            slots,
            free,
            share:% = share.unwrap_or_default(),
            lost_ms = job.lost.as_millis() as u64,
            waited_ms = now.saturating_duration_since(job.received).as_millis() as u64;
            ""
        );
    }

    /// Gives the token of a request back that was tried before and is not sent again.
    pub(super) fn refund_later_try(&mut self, now: Instant, job: &Job) {
        if !job.tried.is_empty() {
            self.refund(now, job);
        }
    }

    pub(super) fn quarantined(&self) -> Verdict {
        Verdict::Refused(Refused {
            why: Why::Quarantine,
            after: QUARANTINE_RETURN,
        })
    }

    /// Gives waiting requests another chance: those that may go to an upstream
    /// with a freed slot, where it is named, and those that wait no longer.
    pub(super) fn drain_queue(&mut self, now: Instant, freed: Option<UpstreamKey>) {
        if self.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut self.queue);
        if let Some(key) = freed {
            let u = self.upstreams.find(key);
            let region = u.and_then(|u| self.settings.region_of(&u.entry.zone));
            let takes = |u: &Upstream, w: &Waiting| {
                u.entry.service == w.job.service
                    && region == Some(&w.region)
                    && (!w.paid || placement::may_take(u, &w.homes, w.job.object, now))
            };
            let fits = |w: &Waiting| w.until <= now || u.is_some_and(|u| takes(u, w));
            (queue, self.queue) = queue.into_iter().partition(fits);
        }
        self.turn = self.turn.wrapping_add(1);
        waiting::order(self.turn, &mut queue, |w| (w.job.priority, w.job.received));
        for waiting in queue {
            if let Some(waiting) = self.try_place(now, waiting) {
                self.queue.push(waiting);
            }
        }
    }
}

/// Sends a verdict; a caller that is gone needs none.
fn answer(reply: oneshot::Sender<Verdict>, verdict: Verdict) {
    drop(reply.send(verdict));
}
