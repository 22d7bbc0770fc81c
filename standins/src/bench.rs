//! The load benchmark: one gateway against a direct call, in its zone and over
//! a hop, and the look-ups of one host. All stand-ins run in other processes.

mod load;
mod report;

use std::{
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

use bytes::Bytes;

use self::load::{
    Load,
    Target, //
};
pub use self::report::{
    Measurement,
    Row,
    print_table,
    write_csv, //
};
use crate::{
    error::StandinError,
    fleet::{
        Fleet,
        FleetBuilder,
        demonstration_key,
        example,
        limit,
        narrow, //
    },
};

/// The example that the benchmark runs.
const EXAMPLE: &str = "thanh-clockworks";
/// The zone of the measured gateway.
const NEAR_ZONE: &str = "bac-a";
/// The zone of the hop.
const FAR_ZONE: &str = "bac-b";
/// The organisation that sends.
const ORGANISATION: &str = "hanoi-stations";
/// A rate and a burst that do not limit.
const RATE: u64 = 10_000_000;
const BURST: u32 = 4_000_000;
/// The requests of the organisation that the gateway can start at the beginning.
const READY: u64 = 100_000;
/// The slots of the upstream, more than the benchmark uses.
const SLOTS: u32 = 512;

/// How much is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// The most requests of one measurement.
    pub requests: u64,
    /// The longest time of one measurement.
    pub time: Duration,
    /// The connections of the measurements under load.
    pub connections: usize,
}

/// Runs all measurements.
pub async fn run(extent: Extent) -> Result<Vec<Row>, StandinError> {
    let fleet = start().await?;
    let near = upstream(&fleet, "dispatch")?;
    let far = upstream(&fleet, "workbench")?;
    let gateway = fleet.host(&format!("{NEAR_ZONE}-1"))?.callers();
    let path = cardamomroad::wire::LOOKUP_PATH;
    let lookup = format!("{path}?service=dispatch");
    let targets = [
        ("direct", Target::new(near, "/histories/1")),
        (
            "gateway, own zone",
            Target::new(gateway, "/histories/1").with_key(&key()),
        ),
        ("direct, far", Target::new(far, "/inspections/1")),
        (
            "gateway, hop to a zone",
            Target::new(gateway, "/inspections/1").with_key(&key()),
        ),
        ("look-up", Target::new(gateway, &lookup)),
    ];
    let mut rows = Vec::new();
    for connections in [1, extent.connections] {
        for (name, target) in &targets {
            let load = Load {
                connections,
                requests: extent.requests,
                time: extent.time,
            };
            let before = fleet.host(&format!("{NEAR_ZONE}-1"))?.cpu_time()?;
            let measurement = load.run(target).await?;
            let after = fleet.host(&format!("{NEAR_ZONE}-1"))?.cpu_time()?;
            rows.push(Row {
                name: (*name).to_owned(),
                connections,
                gateway_cpu: after.saturating_sub(before),
                measurement,
            });
        }
    }
    Ok(rows)
}

fn key() -> Bytes {
    demonstration_key(ORGANISATION).into()
}

async fn start() -> Result<Fleet, StandinError> {
    let mut set = example(EXAMPLE)?;
    narrow(&mut set, &[NEAR_ZONE, FAR_ZONE], 1);
    set.pools.retain(|p| {
        let near = p.zone.as_str() == NEAR_ZONE;
        near == (p.service.as_str() == "dispatch")
    });
    for pool in &mut set.pools {
        pool.slots = SLOTS;
        pool.connections = SLOTS;
    }
    for o in set.organisations.clone() {
        if o.name.as_str() == ORGANISATION {
            limit(&mut set, &o.name, RATE, BURST);
        }
    }
    let builder = FleetBuilder::new(set).with_log_level("error");
    let args = ["--log-entries", "0"];
    let fleet = builder.with_upstream_args(&args).start().await?;
    fleet.wait_for_budget(ORGANISATION, READY).await?;
    Ok(fleet)
}

fn upstream(fleet: &Fleet, service: &str) -> Result<SocketAddr, StandinError> {
    let mut upstreams = fleet.upstreams().iter();
    let found = upstreams.find(|u| u.service().as_str() == service);
    let found = found.map(|u| u.address());
    found.ok_or_else(|| StandinError::Unknown {
        what: "upstream of service",
        name: service.to_owned(),
    })
}

/// Writes the rows to a file, if one is named, and prints them.
pub fn report(rows: &[Row], csv: Option<&Path>) -> Result<(), StandinError> {
    print_table(rows);
    match csv {
        Some(path) => write_csv(rows, path),
        None => Ok(()),
    }
}
