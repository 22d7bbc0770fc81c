//! Request rates, traffic shares and budgets per service.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use tokio::time::Instant;

use super::Dispatcher;
use crate::{
    edge::{
        answer_size::MeanBytes,
        datagram::OfferedRate,
        message::Job,
        region_balance::RateLimitedShares,
        settings::SHIFT_WINDOW, //
    },
    retry::{
        Budget,
        RateMeter, //
    },
    util::id::{
        RegionName,
        ServiceName, //
    },
};

/// Fraction of [`crate::edge::settings::Bounds::max_shift`] that changes of the region shares may
/// use. The rest allows for overflow and random variation.
const SHIFT_FRACTION: f64 = 0.6;
/// Initial value of the mean latency target, before any request.
const AIM_INITIAL: Duration = Duration::from_millis(500);
/// Weight of one request in the moving average of the latency target.
const AIM_SAMPLE_WEIGHT: f64 = 0.02;
/// Fraction of [`crate::edge::settings::Bounds::max_shift`] reserved for requests that find no slot
/// in their region, in addition to [`SHIFT_FRACTION`].
const OVERFLOW_FRACTION: f64 = 0.2;
/// Maximum overflow budget that a host can accumulate, in thousandths of a request.
const OVERFLOW_BURST_MILLI: u64 = 2000;

/// Demand and budgets of one service on this host.
#[derive(Debug)]
pub(super) struct Demand {
    /// Rate of this host's callers' requests that may run in any region.
    pub(super) unbound: RateMeter,
    /// Rate of this host's callers' requests that are restricted to certain regions, by the
    /// region in which they run.
    pub(super) bound: BTreeMap<RegionName, RateMeter>,
    /// When a request for the service was first seen, on this host or in a report of another one.
    pub(super) first_seen: Option<Instant>,
    /// Moving average of the target response time of this host's callers' requests.
    pub(super) latency_target: Duration,
    /// Mean size of the answers that this host has forwarded.
    pub(super) answer_size: MeanBytes,
    pub(super) shares: RateLimitedShares,
    pub(super) retry_allowance: Budget,
    /// Budget for requests that leave their region because it has no slot for them.
    pub(super) overflow_budget: Budget,
}

impl Demand {
    /// Records a request that has its token.
    pub(super) fn record(&mut self, now: Instant, job: &Job, region: &RegionName) {
        self.latency_target = self.latency_target.mul_f64(1.0 - AIM_SAMPLE_WEIGHT)
            + job.latency_target.mul_f64(AIM_SAMPLE_WEIGHT);
        if job.regions.is_empty() {
            self.unbound.record(now);
            return;
        }
        let meter = self.bound.entry(region.clone());
        let meter = meter.or_insert_with(|| RateMeter::new(now));
        meter.record(now);
    }

    /// Returns whether this host's callers have sent a request that may run in any region.
    pub(super) fn has_unbound_requests(&self, now: Instant) -> bool {
        self.unbound.rate_at(now) > 0.0
    }

    /// Returns the request rates of this host's callers for the service.
    pub(super) fn offered(&self, now: Instant, service: &ServiceName) -> Vec<OfferedRate> {
        let unbound = (None, &self.unbound);
        let bound = self.bound.iter().map(|(r, m)| (Some(r.clone()), m));
        let all = std::iter::once(unbound).chain(bound);
        all.map(|(bound_to, meter)| OfferedRate {
            service: service.clone(),
            bound_to,
            rate: meter.rate_at(now) as f32,
        })
        .collect()
    }
}

impl Dispatcher {
    pub(super) fn demand_mut(&mut self, service: &ServiceName, now: Instant) -> &mut Demand {
        let settings = &self.settings;
        let hosts = self.peers.len() + 1;
        self.demand.entry(service.clone()).or_insert_with(|| {
            let bounds = &settings.bounds;
            Demand {
                unbound: RateMeter::new(now),
                bound: BTreeMap::new(),
                first_seen: None,
                latency_target: AIM_INITIAL,
                answer_size: MeanBytes::default(),
                shares: RateLimitedShares::new(
                    &settings.region,
                    bounds.max_shift * SHIFT_FRACTION,
                    SHIFT_WINDOW,
                ),
                retry_allowance: bounds.host_retry_allowance(hosts),
                overflow_budget: Budget::with_limits(
                    (bounds.max_shift * OVERFLOW_FRACTION * 1000.0) as u64,
                    OVERFLOW_BURST_MILLI,
                ),
            }
        })
    }
}
