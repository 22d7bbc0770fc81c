//! Decides on a request without sending it, to explain the decision in advance.
//!
//! All functions take the dispatcher by shared reference. Budgets and tokens that a decision would
//! take from are copied first.

use smallvec::SmallVec;
use tokio::{
    sync::oneshot,
    time::Instant, //
};
use xtra::{
    Context,
    Handler, //
};

use super::{
    Dispatcher, Requester, WaitingRequest,
    domains::{
        Scheduler,
        ZoneHashes, //
    },
    requests::{
        DomainCandidate,
        RETRY_AFTER_MIN, //
    },
};
use crate::edge::{
    explain::{
        Decision,
        Explanation,
        Inputs,
        RouteInfo,
        Target,
        UpstreamInput,
        WaitReason,
        millis, //
    },
    freshness::suspended_time,
    message::{
        Job,
        RefusalReason, //
    },
    peers::Domain,
    placement::{
        Homes,
        Pick,
        View, //
    },
    quota::Debit,
    region_balance,
    request_error::RequestError,
    upstreams::Upstream,
};

/// The most upstreams that an explanation lists.
const UPSTREAMS_MAX: usize = 64;

/// Asks what the dispatcher would do with a request. Changes nothing.
#[derive(Debug)]
pub struct Preview {
    /// The request, or the error that its head leads to.
    pub job: Result<Job, RequestError>,
    /// Whether the request is refused if this host cannot check keys.
    pub needs_fresh_keys: bool,
    /// The matched route, if there is one.
    pub route: Option<RouteInfo>,
    /// What the query left open.
    pub notes: Vec<String>,
}

impl Handler<Preview> for Dispatcher {
    type Return = Explanation;

    async fn handle(&mut self, msg: Preview, _: &mut Context<Self>) -> Explanation {
        self.preview(Instant::now(), msg)
    }
}

impl Dispatcher {
    fn preview(&self, now: Instant, msg: Preview) -> Explanation {
        let mut freshness = self.freshness.clone();
        freshness.observe_suspension(suspended_time());
        let is_fresh = freshness.is_fresh(now);
        let job = match msg.needs_fresh_keys && !is_fresh {
            true => Err(RequestError::NotReady),
            false => msg.job,
        };
        let mut explanation = Explanation {
            host: self.settings.host.to_string(),
            zone: self.settings.zone.to_string(),
            region: self.settings.region.to_string(),
            route: msg.route,
            organisation: None,
            decision: refusal(RequestError::NotReady),
            rate_limit: None,
            target: None,
            inputs: Inputs {
                configuration: self.version_in_force().map(|version| version.0),
                is_configuration_current: self.is_configuration_current,
                configuration_confirmed_ms_ago: freshness.age(now).map(millis),
                is_fresh,
                upstreams_read_ms_ago: self
                    .upstreams_read_at
                    .map(|at| millis(now.saturating_duration_since(at))),
                evacuated_zones: self
                    .evacuated_zones
                    .iter()
                    .map(ToString::to_string)
                    .collect(),
                upstream_count: 0,
                upstreams: Vec::new(),
            },
            notes: msg.notes,
        };
        match job {
            Err(error) => explanation.decision = refusal(error),
            Ok(job) => self.preview_job(now, job, &mut explanation),
        }
        explanation
    }

    fn preview_job(&self, now: Instant, mut job: Job, explanation: &mut Explanation) {
        job.bytes = self.transferred_bytes(&job);
        explanation.organisation = job.organisation.as_ref().map(ToString::to_string);
        let quota = job.organisation.as_ref();
        let quota = quota.and_then(|organisation| self.quotas.preview(now, organisation));
        explanation.rate_limit = quota.map(|(_, limit)| limit);
        // Nothing is sent through the channel.
        let (reply, _verdict) = oneshot::channel();
        let mut waiting = WaitingRequest {
            expires_at: self.wait_deadline(&job),
            region: self.region_of(now, &job),
            job,
            domain: None,
            zones: ZoneHashes::new(),
            view: View::Near,
            declined: SmallVec::new(),
            is_overflow: false,
            has_token: true,
            homes: Homes::default(),
            requester: Requester::Local(reply),
        };
        let debit = quota.map_or(Debit::Paid, |(debit, _)| debit);
        let (decision, scheduler) = match self.preview_admission(now, &waiting.job, debit) {
            Some(decision) => (decision, None),
            None => self.preview_slot(now, &mut waiting),
        };
        explanation.decision = decision;
        explanation.target = Some(self.target(&waiting, scheduler));
        self.list_upstreams(now, &waiting, &mut explanation.inputs);
    }

    /// Returns the decision on a request that would not look for a slot now.
    fn preview_admission(&self, now: Instant, job: &Job, debit: Debit) -> Option<Decision> {
        let refused = |reason, after| refusal(RequestError::NotRun(reason, after));
        if let Some(after) = self.quarantine.refused_for(now, job.suspect) {
            return Some(refused(RefusalReason::Quarantine, after));
        }
        match debit {
            Debit::Paid => {}
            Debit::Exhausted => return Some(refused(RefusalReason::Rate, RETRY_AFTER_MIN)),
            Debit::Pending => {
                let at_most = Self::token_deadline(job).saturating_duration_since(now);
                return Some(Decision::Wait {
                    reason: WaitReason::Token,
                    at_most_ms: millis(at_most),
                });
            }
        }
        let until = self.all_paused_until(now, job)?;
        let after = until.saturating_duration_since(now).max(RETRY_AFTER_MIN);
        Some(refused(RefusalReason::Paused, after))
    }

    /// Returns the decision on a request that looks for a slot, and the host that schedules the
    /// domain. Sets the region and the domain of the request.
    fn preview_slot(
        &self,
        now: Instant,
        waiting: &mut WaitingRequest,
    ) -> (Decision, Option<String>) {
        while let Some(domain) = self.preview_domain(now, waiting) {
            let scheduler = self.scheduler_of(now, &domain, waiting.job.latency_target);
            let view = match scheduler {
                Scheduler::Local => View::Scheduler,
                Scheduler::Remote(_) | Scheduler::Unavailable => {
                    self.view_without_scheduler(&domain)
                }
            };
            self.assign_domain(waiting, domain.clone(), view);
            match scheduler {
                Scheduler::Remote(host) => {
                    let decision = Decision::Claim {
                        scheduler: host.to_string(),
                        local_view: Box::new(self.preview_pick(now, waiting)),
                    };
                    return (decision, Some(host.to_string()));
                }
                Scheduler::Local | Scheduler::Unavailable
                    if self.would_expire_in_queue(now, waiting) =>
                {
                    waiting.declined.push(domain);
                }
                Scheduler::Local => {
                    let host = self.settings.host.to_string();
                    return (self.preview_pick(now, waiting), Some(host));
                }
                Scheduler::Unavailable => return (self.preview_pick(now, waiting), None),
            }
        }
        let reason = match waiting.declined.is_empty() {
            true => RefusalReason::NoUpstream,
            false => RefusalReason::Busy,
        };
        let error = RequestError::NotRun(reason, RETRY_AFTER_MIN);
        (refusal(error), None)
    }

    /// Returns the next domain that a request would try.
    fn preview_domain(&self, now: Instant, waiting: &mut WaitingRequest) -> Option<Domain> {
        match self.domain_candidate(now, waiting)? {
            DomainCandidate::InRegion(domain) => Some(domain),
            DomainCandidate::Overflow {
                domain,
                region,
                needs_budget,
                is_claimed,
            } => {
                let demand = self.demand.get(&waiting.job.service);
                let has_budget =
                    || demand.is_some_and(|d| d.overflow_budget.clone().try_withdraw());
                if needs_budget && !(is_claimed && has_budget()) {
                    return None;
                }
                waiting.is_overflow = true;
                waiting.region = region;
                Some(domain)
            }
        }
    }

    fn preview_pick(&self, now: Instant, waiting: &WaitingRequest) -> Decision {
        let wait = Decision::Wait {
            reason: WaitReason::Slot,
            at_most_ms: millis(waiting.expires_at.saturating_duration_since(now)),
        };
        let Pick::Upstream(key) = self.pick(now, waiting, waiting.expires_at <= now) else {
            return wait;
        };
        self.upstreams
            .find(key)
            .map_or(wait, |u| Decision::Upstream {
                id: u.registration.id.to_string(),
                address: u.registration.address.to_string(),
                zone: u.registration.zone.to_string(),
            })
    }

    fn target(&self, waiting: &WaitingRequest, scheduler: Option<String>) -> Target {
        let demand = self.demand.get(&waiting.job.service);
        let shares = demand.map(|d| d.shares.shares().iter());
        let is_same_service = |w: &&WaitingRequest| w.job.service == waiting.job.service;
        Target {
            region: waiting.region.to_string(),
            is_overflow: waiting.is_overflow,
            position: region_balance::position(waiting.job.object),
            shares: shares
                .into_iter()
                .flatten()
                .map(|(region, share)| (region.to_string(), *share))
                .collect(),
            domain: waiting.domain.as_ref().map(ToString::to_string),
            scheduler,
            waiting: self.queue.iter().filter(is_same_service).count(),
        }
    }

    /// Lists the upstreams of the request's domain, or of the service if it has no domain.
    fn list_upstreams(&self, now: Instant, waiting: &WaitingRequest, inputs: &mut Inputs) {
        let in_domain =
            |u: &&Upstream| waiting.domain.is_none() || waiting.zones.contains(&u.zone_hash);
        let pool = self.upstreams.pool(&waiting.job.service);
        let mut upstreams: Vec<&Upstream> = pool
            .iter()
            .flat_map(|p| &p.upstreams)
            .filter(in_domain)
            .collect();
        inputs.upstream_count = upstreams.len();
        upstreams.sort_unstable_by_key(|u| std::cmp::Reverse(u.rank(waiting.job.object)));
        let listed = upstreams.into_iter().take(UPSTREAMS_MAX);
        inputs.upstreams = listed.map(|u| input(u, &waiting.job, now)).collect();
    }
}

/// Returns the refusal with an error that a caller would get.
fn refusal(error: RequestError) -> Decision {
    Decision::Refused {
        reason: error.as_str().to_owned(),
        status: error.status().as_u16(),
        retry_after_ms: error.retry_after().map(millis),
    }
}

fn input(u: &Upstream, job: &Job, now: Instant) -> UpstreamInput {
    let paused = u.paused_until(now);
    UpstreamInput {
        id: u.registration.id.to_string(),
        zone: u.registration.zone.to_string(),
        slots: u.registration.slots,
        free: u.free(now),
        running: u.running,
        remote_running: u.remote_running,
        report_age_ms: u.report_age(now).map(millis),
        is_usable: u.is_usable(now),
        paused_ms: paused.map(|until| millis(until.saturating_duration_since(now))),
        cold_ms: u
            .is_cold(now)
            .then(|| millis(u.cold_until.saturating_duration_since(now))),
        slowness: u.slowness.factor(now),
        slowness_age_ms: millis(u.slowness.age(now)),
        object_position: u.recent.list_index(job.object),
    }
}
