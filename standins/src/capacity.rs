//! Measures the slopes that docs/CAPACITY.md is worked out from.
//!
//! One real entry host process is surrounded by light in-process peers and the
//! stand-in store; its processor time, memory and bytes are read from outside.

pub mod fit;
pub mod page;
pub mod peers;
pub mod process;
pub mod sets;
pub mod table;
pub mod trial;

use std::time::Duration;

use serde::Serialize;

/// The size that the users ask for in two years.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Entry hosts.
    pub hosts: u64,
    /// Availability zones.
    pub zones: u64,
    /// Regions.
    pub regions: u64,
    /// Client blocks.
    pub blocks: u64,
    /// Sites.
    pub sites: u64,
    /// Look-ups a second, over all hosts.
    pub lookups: u64,
    /// Configuration changes a day.
    pub changes: u64,
    /// Hosts replaced or restarted a day, failures included.
    pub replaced: u64,
}

/// The users' target.
pub const TARGET: Target = Target {
    hosts: 7_800,
    zones: 36,
    regions: 10,
    blocks: 300_000,
    sites: 1_800,
    lookups: 6_200_000,
    changes: 7_100,
    replaced: 1_416,
};

/// What a host's control may take.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Processor time, in cores.
    pub cores: f64,
    /// Memory, in bytes.
    pub memory: f64,
    /// Bytes a second.
    pub bytes: f64,
    /// The time in which a change is in force everywhere.
    pub in_force: Duration,
}

/// The users' budget for control.
pub const BUDGET: Budget = Budget {
    cores: 0.042,
    memory: 128e6,
    bytes: 8e3,
    in_force: Duration::from_secs(12),
};

/// One measured point of a slope.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// The size that was varied.
    pub size: f64,
    /// The measured value.
    pub value: f64,
}

/// A slope and the points that it was fitted to.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What was measured, with its unit.
    pub what: &'static str,
    /// What was varied.
    pub over: &'static str,
    /// The points.
    pub points: Vec<Point>,
    /// The fitted value at size zero.
    pub base: f64,
    /// The fitted growth for each unit of size.
    pub each: f64,
}

impl Slope {
    /// Fits a line to points by least squares.
    pub fn new(what: &'static str, over: &'static str, points: Vec<Point>) -> Self {
        let (base, each) = fit::line(&points);
        Self {
            what,
            over,
            points,
            base,
            each,
        }
    }

    /// Returns the worked-out value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.each * size
    }
}

/// All slopes of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Slopes {
    /// Resident bytes of a host over client blocks.
    pub memory_blocks: Slope,
    /// Nanoseconds of a look-up in the table over client blocks.
    pub lookup_blocks: Slope,
    /// Milliseconds of processor time for one change over client blocks.
    pub change_blocks: Slope,
    /// Seconds from an accepted change to in force at the relay over client blocks.
    pub force_blocks: Slope,
    /// Cores of a host over the hosts of its zone.
    pub cores_hosts: Slope,
    /// Bytes a second of a host, sent, over the hosts of its zone.
    pub sent_hosts: Slope,
    /// Bytes a second of a host, received, over the hosts of its zone.
    pub received_hosts: Slope,
    /// Resident bytes of a host over the hosts of its zone.
    pub memory_hosts: Slope,
    /// Store calls a second of a relay over the hosts of its zone.
    pub calls_hosts: Slope,
    /// Microseconds of processor time for one look-up over HTTP.
    pub lookup_http_us: f64,
    /// Look-ups a second that the measured run carried.
    pub lookup_http_rate: f64,
    /// Bytes of one delta between hosts.
    pub delta_bytes: f64,
    /// Bytes of one heartbeat, request and answer, with their HTTP heads.
    pub beat_bytes: f64,
    /// Seconds from start to ready with the largest table.
    pub start_seconds: f64,
    /// Milliseconds of a look-up at the 99.9th percentile while changes are applied.
    pub lookup_p999_changing_ms: f64,
    /// Milliseconds of a look-up at the 99.9th percentile without changes.
    pub lookup_p999_quiet_ms: f64,
    /// Cores of the machine.
    pub machine_cores: usize,
}
