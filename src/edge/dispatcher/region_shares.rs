//! Share of each service's requests that runs in each region.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use tokio::time::Instant;

use super::Dispatcher;
use crate::{
    edge::{
        datagram::{
            Digest,
            OfferedRate, //
        },
        log_limit::comma_separated,
        model::Standing,
        placement,
        region_balance::{
            self,
            RegionLoad,
            Shares, //
        }, //
    },
    util::id::{
        RegionName,
        ServiceName, //
    },
};

/// Interval between updates of the region shares.
const SHARES_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum change of a share that is logged.
const SHARE_LOG_THRESHOLD: f64 = 0.05;

impl Dispatcher {
    /// Adopts the shares sent by the host that decides them for this region.
    pub(super) fn adopt_shares(&mut self, now: Instant, msg: &Digest) {
        if !self.peers.accepts_shares_from(now, &msg.from.host) {
            return;
        }
        for (service, shares) in &msg.shares {
            self.demand_mut(service, now).shares.adopt(now, shares);
        }
    }

    /// Returns the current shares of all services.
    pub(super) fn all_shares(&self) -> Vec<(ServiceName, Shares)> {
        let all = self.demand.iter();
        all.map(|(service, d)| (service.clone(), d.shares.shares().clone()))
            .collect()
    }

    /// Moves the region shares of each service towards the target for the current loads.
    pub(super) fn update_shares(&mut self, now: Instant) {
        if self
            .shares_updated_at
            .is_some_and(|at| now < at + SHARES_INTERVAL)
        {
            return;
        }
        self.shares_updated_at = Some(now);
        let decides = self.peers.decides_shares(now);
        let services: Vec<ServiceName> = self.upstreams.pools().map(|(s, _)| s.clone()).collect();
        for service in services {
            let saved_milli = self
                .settings
                .bounds
                .saved_retries_max_milli(self.peers.len() + 1);
            self.demand_mut(&service, now)
                .retry_allowance
                .set_max(saved_milli);
            if !decides {
                continue;
            }
            let loads = self.loads(now, &service);
            let round_trip = self
                .claims
                .far_round_trip(|domain| self.is_own_region(domain));
            let demand = self.demand_mut(&service, now);
            let latency_target = demand.latency_target;
            // Bytes between regions are billed, so a transfer counts like a longer round trip.
            let transfer = placement::transfer_cost(demand.answer_size.large_bytes());
            let keep = region_balance::local_utilisation_limit(
                round_trip.saturating_add(transfer),
                latency_target,
            );
            let target = region_balance::shares(&self.settings.region, &loads, keep);
            let demand = self.demand_mut(&service, now);
            let has_unbound_requests = demand.has_unbound_requests(now);
            let shares = &mut demand.shares;
            shares.move_towards(now, &target, has_unbound_requests);
            if shares.take_change(SHARE_LOG_THRESHOLD) {
                log::info!(
                    event = "share-moved",
                    service:%,
                    shares:% = comma_separated(shares.shares().iter().map(|(r, s)| format!("{r}:{s:.2}"))),
                    target:% = comma_separated(target.iter().map(|(r, s)| format!("{r}:{s:.2}"))),
                    loads:% = comma_separated(loads.iter().map(|(r, l)| format!("{r}:{l}")));
                    ""
                );
            }
        }
    }

    pub(super) fn loads(
        &mut self,
        now: Instant,
        service: &ServiceName,
    ) -> BTreeMap<RegionName, RegionLoad> {
        let mut loads: BTreeMap<RegionName, RegionLoad> = BTreeMap::new();
        let home = self.settings.region.clone();
        let demand = self.demand_mut(service, now);
        let own = demand.offered(now, service);
        let mut first_seen = demand.first_seen;
        // The leader's digest may already include this host's own report.
        let adds_own = !self.peers.offered_includes_own(now);
        let own = own.iter().map(|o| (&home, o)).filter(|_| adds_own);
        let others = self.peers.offered(now, service);
        let offered: Vec<(&RegionName, &OfferedRate)> = own.chain(others).collect();
        if first_seen.is_none() && offered.iter().any(|(_, o)| o.rate > 0.0) {
            first_seen = Some(now);
        }
        let Some(pool) = self.upstreams.pool(service) else {
            return loads;
        };
        for (home, offered) in offered {
            let slots = f64::from(offered.rate) * pool.work();
            match &offered.bound_to {
                Some(region) => loads.entry(region.clone()).or_default().bound += slots,
                None => loads.entry(home.clone()).or_default().demand += slots,
            }
        }
        for u in &pool.upstreams {
            let Some(region) = self.settings.region_of(&u.registration.zone) else {
                continue;
            };
            let accepts_work = u.registration.standing == Standing::Ready;
            if accepts_work && !self.evacuated_zones.contains(&u.registration.zone) {
                loads.entry(region.clone()).or_default().slots += f64::from(u.registration.slots);
            }
        }
        let slots = loads.values().map(|l| l.slots).sum();
        let zones = self.settings.regions.len();
        let since_first_seen = first_seen.map(|at| now.saturating_duration_since(at));
        let unseen = region_balance::assumed_demand(slots, zones, since_first_seen);
        for region in self.settings.regions.values() {
            loads.entry(region.clone()).or_default().demand += unseen;
        }
        self.demand_mut(service, now).first_seen = first_seen;
        loads
    }
}
