//! What upstreams say about themselves in their answers: that they leave, or that they want no
//! requests from this host for a while.

use std::time::Duration;

use rand::RngExt;
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
            Datagram,
            Leaving, //
        },
        message::{
            Job,
            UpstreamNotice,
            UpstreamSaid, //
        },
        metrics::NoticeLabels,
        upstreams::UpstreamKey,
    },
    quarantine::UpstreamStart,
    util::time::SaturatingAdd,
};

/// Largest random extension of a pause, as a fraction of it, so that hosts that were told the same
/// time do not return at the same time.
const PAUSE_JITTER_FRACTION: f64 = 0.25;
/// Largest random extension of a pause.
const PAUSE_JITTER_MAX: Duration = Duration::from_secs(1);

/// Keys of upstreams that a request must not be sent to.
pub(super) type ExcludedUpstreams = SmallVec<[UpstreamKey; 4]>;

impl Dispatcher {
    pub(super) fn record_notice(&mut self, now: Instant, msg: &UpstreamSaid) {
        let kind = match msg.notice {
            UpstreamNotice::Leaving => {
                self.record_leaving(now, msg.key, msg.upstream);
                self.tell_scheduler(now, msg);
                "leaving"
            }
            UpstreamNotice::Pause(pause) => {
                self.record_pause(now, msg, pause);
                "pause"
            }
        };
        self.metrics
            .upstream_notices
            .get_or_create(&NoticeLabels { kind })
            .inc();
    }

    fn record_leaving(&mut self, now: Instant, key: UpstreamKey, upstream: UpstreamStart) {
        if self.upstreams.record_leaving(now, key, upstream) {
            log::info!(event = "upstream-leaving", upstream:% = upstream.address, key; "");
        }
    }

    /// Tells the host that schedules the upstream's domain, which would otherwise go on granting its
    /// slots.
    fn tell_scheduler(&mut self, now: Instant, msg: &UpstreamSaid) {
        let zone = self.upstreams.find(msg.key).map(|u| &u.registration.zone);
        let Some(domain) = zone.map(|zone| self.peers.domain_of(zone)) else {
            return;
        };
        let leaving = Leaving {
            from: self.sender(),
            key: msg.key,
            upstream: msg.upstream,
        };
        self.notify_scheduler(now, &domain, Datagram::Leaving(leaving));
    }

    pub(super) fn handle_leaving(&mut self, now: Instant, msg: &Leaving) {
        self.record_leaving(now, msg.key, msg.upstream);
    }

    fn record_pause(&mut self, now: Instant, msg: &UpstreamSaid, pause: Duration) {
        let jitter = pause.mul_f64(PAUSE_JITTER_FRACTION).min(PAUSE_JITTER_MAX);
        let jitter = jitter.mul_f64(self.rng.random::<f64>());
        let until = now.saturating_add(pause).saturating_add(jitter);
        let until = self
            .upstreams
            .record_pause(now, msg.key, msg.upstream, until);
        if self.refused_log_budget.allows("upstream-paused") {
            log::info!(
                event = "upstream-paused",
                upstream:% = msg.upstream.address,
                for_ms = until.saturating_duration_since(now).as_millis() as u64;
                ""
            );
        }
    }

    /// Returns the upstreams that a waiting request must not be sent to: those that it was sent to
    /// before, and those that want no requests from the host that received it. Another host lists
    /// these in its claim.
    pub(super) fn excluded_upstreams(
        &self,
        now: Instant,
        waiting: &WaitingRequest,
    ) -> ExcludedUpstreams {
        match waiting.requester {
            Requester::Local(_) => self.excluded_for_own(now, &waiting.job),
            Requester::Remote(..) => waiting.job.tried.iter().copied().collect(),
        }
    }

    /// Returns the upstreams that this host must not send a request to, with those whose slots it
    /// has declined recently.
    pub(super) fn excluded_for_own(&self, now: Instant, job: &Job) -> ExcludedUpstreams {
        let mut excluded: ExcludedUpstreams = job.tried.iter().copied().collect();
        let pool = self.upstreams.pool(&job.service);
        let paused = pool.iter().flat_map(|p| &p.upstreams);
        excluded.extend(paused.filter(|u| u.is_paused(now)).map(|u| u.key));
        excluded.extend(self.declined_upstreams.keys().copied());
        excluded
    }

    /// Returns when the first upstream that may run a request accepts requests of this host again;
    /// `None` if one does now, or if no upstream is paused.
    pub(super) fn all_paused_until(&self, now: Instant, job: &Job) -> Option<Instant> {
        let mut first: Option<Instant> = None;
        for u in &self.upstreams.pool(&job.service)?.upstreams {
            let region = self.settings.region_of(&u.registration.zone);
            let is_allowed =
                job.regions.is_empty() || region.is_some_and(|r| job.regions.contains(r));
            let takes_work = u.ready_slots() > 0
                && !u.is_replaced()
                && !self.evacuated_zones.contains(&u.registration.zone);
            if !is_allowed || !takes_work || job.tried.contains(&u.key) {
                continue;
            }
            let until = u.paused_until(now)?;
            first = Some(first.map_or(until, |f| f.min(until)));
        }
        first
    }
}
