//! The load of this host and what others report of theirs.

use std::{
    collections::HashMap,
    net::SocketAddr, //
};

use bytes::Bytes;
use serde::Deserialize;
use smallvec::SmallVec;
use tokio::time::Instant;
use xtra::{
    Context,
    Handler, //
};

use crate::{
    control::ServiceLoad,
    demand::Demand,
    host::Host,
    pool::upstream::{
        self,
        ReportedLoad,
        ReportedState, //
    },
    util::id::{
        HostName,
        ServiceName,
        ZoneName, //
    },
};

/// What one host last reported.
#[derive(Clone, Debug)]
pub struct HostReport {
    /// Its zone.
    pub zone: ZoneName,
    /// When its report came.
    pub received_at: Instant,
    /// Its load of each service.
    pub loads: SmallVec<[ServiceLoad; 4]>,
    /// Whether it gave its shares back and stops.
    pub released: bool,
}

/// What an upstream says of itself.
#[derive(Debug)]
pub struct Reported {
    /// The upstream.
    pub address: SocketAddr,
    /// When it was asked.
    pub measured: Instant,
    /// Its health report, where it gave one.
    pub health: Option<Bytes>,
    /// Its load report, where it gave one.
    pub load: Option<Bytes>,
}

/// An upstream's health report.
#[derive(Debug, Deserialize)]
struct HealthReport {
    state: HealthState,
}

/// The state in a health report.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum HealthState {
    Ready,
    Draining,
    Cold,
}

/// An upstream's load report.
#[derive(Debug, Deserialize)]
struct LoadReport {
    in_flight: u32,
    slots: u32,
}

impl Handler<Reported> for Host {
    type Return = ();

    async fn handle(&mut self, msg: Reported, _cx: &mut Context<Self>) {
        let health = msg
            .health
            .as_deref()
            .map(serde_json::from_slice::<HealthReport>);
        let Some(Ok(health)) = health else {
            return;
        };
        let load = msg
            .load
            .as_deref()
            .map(serde_json::from_slice::<LoadReport>);
        let reported = upstream::Reported {
            state: match health.state {
                HealthState::Ready => ReportedState::Ready,
                HealthState::Draining => ReportedState::Draining,
                HealthState::Cold => ReportedState::Cold,
            },
            load: load.and_then(Result::ok).map(|l| ReportedLoad {
                in_flight: l.in_flight,
                slots: l.slots,
            }),
            measured: msg.measured,
        };
        let now = Instant::now();
        for pool in self.pools.values_mut() {
            pool.report(now, msg.address, reported);
        }
    }
}

/// What this host counts of one service.
#[derive(Clone, Debug, Default)]
struct ServiceCounters {
    entered: u32,
    foreign: u32,
    spilled: HashMap<ZoneName, u32>,
    /// The requests of `spilled` that ran when the zone last reported.
    spilled_then: HashMap<ZoneName, u32>,
    bytes_in: Option<Demand>,
    bytes_out: Option<Demand>,
}

/// The loads of all known hosts.
#[derive(Debug, Default)]
pub struct Loads {
    reports: HashMap<HostName, HostReport>,
    counters: HashMap<ServiceName, ServiceCounters>,
}

impl Loads {
    /// Returns no loads.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a host's report.
    pub fn report(&mut self, host: &HostName, report: HostReport) {
        for counters in self.counters.values_mut() {
            let spilled = counters.spilled.get(&report.zone).copied().unwrap_or(0);
            counters.spilled_then.insert(report.zone.clone(), spilled);
        }
        self.reports.insert(host.clone(), report);
    }

    /// Forgets the hosts that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&HostName) -> bool) {
        self.reports.retain(|host, _| keep(host));
    }

    /// Returns the reports of a zone's hosts.
    pub fn reports_of_zone<'a>(
        &'a self,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (&'a HostName, &'a HostReport)> {
        self.reports.iter().filter(move |(_, r)| r.zone == *zone)
    }

    /// Returns a host's report.
    pub fn report_of_host(&self, host: &HostName) -> Option<&HostReport> {
        self.reports.get(host)
    }

    /// Counts a request that entered at this host.
    pub fn entered(&mut self, service: &ServiceName) {
        self.counters.entry(service.clone()).or_default().entered += 1;
    }

    /// Counts the end of a request that entered at this host.
    pub fn ended(&mut self, service: &ServiceName) {
        if let Some(counters) = self.counters.get_mut(service) {
            counters.entered = counters.entered.saturating_sub(1);
        }
    }

    /// Returns the requests that entered at this host and have not ended.
    pub fn in_flight(&self, service: &ServiceName) -> u32 {
        self.counters
            .get(service)
            .map_or(0, |counters| counters.entered)
    }

    /// Counts a request of another region that an upstream of this host runs.
    pub fn foreign_started(&mut self, service: &ServiceName) {
        self.counters.entry(service.clone()).or_default().foreign += 1;
    }

    /// Counts the end of a request of another region.
    pub fn foreign_ended(&mut self, service: &ServiceName) {
        if let Some(counters) = self.counters.get_mut(service) {
            counters.foreign = counters.foreign.saturating_sub(1);
        }
    }

    /// Returns the requests of other regions that upstreams of this host run.
    pub fn foreign(&self, service: &ServiceName) -> u32 {
        self.counters
            .get(service)
            .map_or(0, |counters| counters.foreign)
    }

    /// Counts the bytes of a request that entered at this host and of its answer.
    pub fn count_bytes(
        &mut self,
        now: Instant,
        service: &ServiceName,
        bytes_in: u64,
        bytes_out: u64,
    ) {
        let counters = self.counters.entry(service.clone()).or_default();
        let new = || Demand::new(now);
        counters
            .bytes_in
            .get_or_insert_with(new)
            .record(now, bytes_in);
        counters
            .bytes_out
            .get_or_insert_with(new)
            .record(now, bytes_out);
    }

    /// Returns the bytes a second towards the upstreams and back to the callers.
    pub fn byte_rates(&mut self, now: Instant, service: &ServiceName) -> (u64, u64) {
        let Some(counters) = self.counters.get_mut(service) else {
            return (0, 0);
        };
        let rate = |d: &mut Option<Demand>| d.as_mut().map_or(0, |d| d.rate(now));
        (rate(&mut counters.bytes_in), rate(&mut counters.bytes_out))
    }

    /// Counts a request that this host sent to a zone.
    pub fn spilled(&mut self, service: &ServiceName, zone: &ZoneName) {
        let counters = self.counters.entry(service.clone()).or_default();
        *counters.spilled.entry(zone.clone()).or_default() += 1;
    }

    /// Counts the end of a request that this host sent to a zone.
    pub fn spill_ended(&mut self, service: &ServiceName, zone: &ZoneName) {
        let counters = self.counters.entry(service.clone()).or_default();
        let n = counters.spilled.entry(zone.clone()).or_default();
        *n = n.saturating_sub(1);
    }

    /// Returns the requests that this host sent to a zone and that still run.
    pub fn spilled_to(&self, service: &ServiceName, zone: &ZoneName) -> u32 {
        let counters = self.counters.get(service);
        counters
            .and_then(|counters| counters.spilled.get(zone).copied())
            .unwrap_or(0)
    }

    /// Returns the requests that this host had at a zone when the zone last reported.
    pub fn spilled_then(&self, service: &ServiceName, zone: &ZoneName) -> u32 {
        let counters = self.counters.get(service);
        counters
            .and_then(|counters| counters.spilled_then.get(zone).copied())
            .unwrap_or(0)
    }
}
