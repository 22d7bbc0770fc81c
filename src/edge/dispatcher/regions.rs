//! The parts of each service's requests that run in other regions.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use tokio::time::Instant;

use super::Dispatcher;
use crate::{
    edge::{
        model::Standing,
        spill::{
            self,
            RegionLoad, //
        }, //
    },
    util::id::{
        RegionName,
        ServiceName, //
    },
};

/// The time between two looks at the shares of the regions.
const SHARES_INTERVAL: Duration = Duration::from_millis(250);
/// Requests a second that a zone's callers are taken to send before any were seen.
const OFFERED_PRIOR: f64 = 1.0;

impl Dispatcher {
    /// Moves the shares of the regions towards the present loads.
    pub(super) fn share(&mut self, now: Instant) {
        if self.shared.is_some_and(|at| now < at + SHARES_INTERVAL) {
            return;
        }
        self.shared = Some(now);
        let services: Vec<ServiceName> = self.upstreams.pools().map(|(s, _)| s.clone()).collect();
        for service in services {
            let loads = self.loads(now, &service);
            let target = spill::shares(&self.settings.region, &loads);
            self.demand_mut(&service, now).shares.follow(now, &target);
        }
    }

    pub(super) fn loads(
        &mut self,
        now: Instant,
        service: &ServiceName,
    ) -> BTreeMap<RegionName, RegionLoad> {
        let mut loads: BTreeMap<RegionName, RegionLoad> = BTreeMap::new();
        let own = self.demand_mut(service, now).offered(now, service);
        let home = self.settings.region.clone();
        let Some(pool) = self.upstreams.pool(service) else {
            return loads;
        };
        for region in self.settings.regions.values() {
            loads.entry(region.clone()).or_default().demand += OFFERED_PRIOR * pool.work();
        }
        let own = own.iter().map(|o| (&home, o));
        let others = self.peers.offered(service, &self.settings.regions);
        for (home, offered) in own.chain(others) {
            let slots = f64::from(offered.rate) * pool.work();
            match &offered.bound_to {
                Some(region) => loads.entry(region.clone()).or_default().bound += slots,
                None => loads.entry(home.clone()).or_default().demand += slots,
            }
        }
        for u in &pool.upstreams {
            let Some(region) = self.settings.region_of(&u.entry.zone) else {
                continue;
            };
            let takes = u.entry.standing == Standing::Ready;
            if takes && !self.evacuated.contains(&u.entry.zone) {
                loads.entry(region.clone()).or_default().slots += f64::from(u.entry.slots);
            }
        }
        loads
    }
}
