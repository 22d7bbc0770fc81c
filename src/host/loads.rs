//! Load counters of this host and load reports from other hosts and upstreams.

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
    demand::DemandMeter,
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

/// The latest load report of one host.
#[derive(Clone, Debug)]
pub struct HostReport {
    /// Zone of the reporting host.
    pub zone: ZoneName,
    /// When the report was received.
    pub received_at: Instant,
    /// Load of the host, one entry per service.
    pub loads: SmallVec<[ServiceLoad; 4]>,
    /// Whether the host has returned its budget shares and is stopping.
    pub released: bool,
}

/// Health and load as an upstream reported them.
#[derive(Debug)]
pub struct UpstreamReport {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// When the report was requested.
    pub measured: Instant,
    /// JSON health report; none if the upstream gave none.
    pub health: Option<Bytes>,
    /// JSON load report; none if the upstream gave none.
    pub load: Option<Bytes>,
}

/// JSON schema of an upstream's health report.
#[derive(Debug, Deserialize)]
struct HealthReport {
    state: HealthState,
}

/// State in an upstream's health report.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum HealthState {
    Ready,
    Draining,
    Cold,
}

/// JSON schema of an upstream's load report.
#[derive(Debug, Deserialize)]
struct LoadReport {
    in_flight: u32,
    slots: u32,
}

impl Handler<UpstreamReport> for Host {
    type Return = ();

    async fn handle(&mut self, msg: UpstreamReport, _cx: &mut Context<Self>) {
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
            requested_at: msg.measured,
        };
        let now = Instant::now();
        for pool in self.pools.values_mut() {
            pool.report(now, msg.address, reported);
        }
    }
}

/// Counters of this host for one service.
#[derive(Clone, Debug, Default)]
struct ServiceCounters {
    /// Unfinished requests that entered at this host.
    entered: u32,
    /// Requests of other regions that run on upstreams of this host.
    foreign: u32,
    /// Running requests that this host sent to each other zone.
    spilled: HashMap<ZoneName, u32>,
    /// Value of `spilled` when the zone last reported its load.
    spilled_at_report: HashMap<ZoneName, u32>,
    /// Request body bytes sent towards the upstreams.
    bytes_in: Option<DemandMeter>,
    /// Answer body bytes sent back to the callers.
    bytes_out: Option<DemandMeter>,
}

/// Load of this host and the latest reports of all known hosts.
#[derive(Debug, Default)]
pub struct Loads {
    reports: HashMap<HostName, HostReport>,
    counters: HashMap<ServiceName, ServiceCounters>,
}

impl Loads {
    /// Returns an empty set of counters and reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a host's report, and the number of requests that this host had in its zone.
    pub fn report(&mut self, host: &HostName, report: HostReport) {
        for counters in self.counters.values_mut() {
            let spilled = counters.spilled.get(&report.zone).copied().unwrap_or(0);
            counters
                .spilled_at_report
                .insert(report.zone.clone(), spilled);
        }
        self.reports.insert(host.clone(), report);
    }

    /// Removes the reports of hosts for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&HostName) -> bool) {
        self.reports.retain(|host, _| keep(host));
    }

    /// Returns the latest reports of all hosts in a zone.
    pub fn reports_of_zone<'a>(
        &'a self,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (&'a HostName, &'a HostReport)> {
        self.reports.iter().filter(move |(_, r)| r.zone == *zone)
    }

    /// Returns the latest report of a host.
    pub fn report_of_host(&self, host: &HostName) -> Option<&HostReport> {
        self.reports.get(host)
    }

    /// Counts a request that entered the system at this host.
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

    /// Counts body bytes of a try: `bytes_in` towards the upstream, `bytes_out` back to
    /// the caller.
    pub fn count_bytes(
        &mut self,
        now: Instant,
        service: &ServiceName,
        bytes_in: u64,
        bytes_out: u64,
    ) {
        let counters = self.counters.entry(service.clone()).or_default();
        let new = || DemandMeter::new(now);
        counters
            .bytes_in
            .get_or_insert_with(new)
            .record(now, bytes_in);
        counters
            .bytes_out
            .get_or_insert_with(new)
            .record(now, bytes_out);
    }

    /// Returns the byte rates per second towards the upstreams and back to the callers.
    pub fn byte_rates(&mut self, now: Instant, service: &ServiceName) -> (u64, u64) {
        let Some(counters) = self.counters.get_mut(service) else {
            return (0, 0);
        };
        let rate = |d: &mut Option<DemandMeter>| d.as_mut().map_or(0, |d| d.rate(now));
        (rate(&mut counters.bytes_in), rate(&mut counters.bytes_out))
    }

    /// Counts a request that this host sent to another zone.
    pub fn spilled(&mut self, service: &ServiceName, zone: &ZoneName) {
        let counters = self.counters.entry(service.clone()).or_default();
        *counters.spilled.entry(zone.clone()).or_default() += 1;
    }

    /// Counts the end of a request that this host sent to another zone.
    pub fn spill_ended(&mut self, service: &ServiceName, zone: &ZoneName) {
        let counters = self.counters.entry(service.clone()).or_default();
        let n = counters.spilled.entry(zone.clone()).or_default();
        *n = n.saturating_sub(1);
    }

    /// Returns the running requests that this host sent to a zone.
    pub fn spilled_to(&self, service: &ServiceName, zone: &ZoneName) -> u32 {
        let counters = self.counters.get(service);
        counters
            .and_then(|counters| counters.spilled.get(zone).copied())
            .unwrap_or(0)
    }

    /// Returns the requests of this host that ran in a zone when the zone last reported.
    pub fn spilled_at_report(&self, service: &ServiceName, zone: &ZoneName) -> u32 {
        let counters = self.counters.get(service);
        counters
            .and_then(|counters| counters.spilled_at_report.get(zone).copied())
            .unwrap_or(0)
    }
}
