//! What callers ask of each service.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use tokio::time::Instant;

use super::Dispatcher;
use crate::{
    edge::{
        datagram::Offered,
        message::Job,
        settings::SHIFT_WINDOW,
        spill::SlowShares, //
    },
    retry::{
        Budget,
        DrainMeter, //
    },
    util::id::{
        RegionName,
        ServiceName, //
    },
};

/// The part of [`crate::edge::settings::Bounds::shift`] that the shares use; the rest is for chance.
const SHIFT_FRACTION: f64 = 0.6;
/// The aim that callers are taken to have before any was seen.
const AIM_INITIAL: Duration = Duration::from_millis(500);
/// The weight of one request in the mean aim.
const AIM_SAMPLE_WEIGHT: f64 = 0.02;
/// The part that requests use which find no slot in their region, beside [`SHIFT_PART`].
const OVERFLOW_FRACTION: f64 = 0.2;
/// Thousandths of such a request that a host may save up.
const OVERFLOW_BURST_MILLI: u64 = 2000;

/// The state of one service.
#[derive(Debug)]
pub(super) struct Demand {
    /// Requests of the own callers that may run in any region.
    pub(super) unbound: DrainMeter,
    /// Those that may run in one region alone.
    pub(super) bound: BTreeMap<RegionName, DrainMeter>,
    /// When requests for the service were first seen, here or at another host.
    pub(super) first_seen: Option<Instant>,
    /// The mean time within which the own callers want their answers.
    pub(super) aim: Duration,
    pub(super) shares: SlowShares,
    pub(super) retry_budget: Budget,
    /// Requests that may leave a region that has no slot for them.
    pub(super) overflow_budget: Budget,
}

impl Demand {
    /// Counts a request whose token was taken.
    pub(super) fn record(&mut self, now: Instant, job: &Job, region: &RegionName) {
        self.aim = self.aim.mul_f64(1.0 - AIM_SAMPLE_WEIGHT) + job.aim.mul_f64(AIM_SAMPLE_WEIGHT);
        if job.regions.is_empty() {
            self.unbound.finished(now);
            return;
        }
        let meter = self.bound.entry(region.clone());
        let meter = meter.or_insert_with(|| DrainMeter::new(now));
        meter.finished(now);
    }

    /// Returns whether the own callers sent a request that may run in any region.
    pub(super) fn has_unbound_requests(&self, now: Instant) -> bool {
        self.unbound.rate_at(now) > 0.0
    }

    /// Returns what the own callers send to the service.
    pub(super) fn offered(&self, now: Instant, service: &ServiceName) -> Vec<Offered> {
        let unbound = (None, &self.unbound);
        let bound = self.bound.iter().map(|(r, m)| (Some(r.clone()), m));
        let all = std::iter::once(unbound).chain(bound);
        all.map(|(bound_to, meter)| Offered {
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
                unbound: DrainMeter::new(now),
                bound: BTreeMap::new(),
                first_seen: None,
                aim: AIM_INITIAL,
                shares: SlowShares::new(
                    &settings.region,
                    bounds.shift * SHIFT_FRACTION,
                    SHIFT_WINDOW,
                ),
                retry_budget: bounds.budget_of_one(hosts),
                overflow_budget: Budget::with_limits(
                    (bounds.shift * OVERFLOW_FRACTION * 1000.0) as u64,
                    OVERFLOW_BURST_MILLI,
                ),
            }
        })
    }
}
