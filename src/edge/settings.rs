//! The validated settings of an entry host.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use crate::{
    retry::Budget,
    util::id::{
        HostName,
        RegionName,
        ZoneName, //
    },
};

/// The operator's limits on how fast changes take effect and how much load retries add.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How long a key may still be used after it was withdrawn.
    pub revocation: Duration,
    /// How long an upstream may still get work after the platform knows that it leaves.
    pub drain: Duration,
    /// How long an older configuration may stay in force after a new one is published.
    pub adoption: Duration,
    /// How long a zone's upstreams may still get work after its evacuation is published.
    pub evacuation: Duration,
    /// How long a process may take to stop.
    pub grace: Duration,
    /// How often upstreams renew their registrations; these lapse after some missed renewals.
    pub upstream_heartbeat: Duration,
    /// How long upstreams may take to register again after an outage of the store.
    pub reregistration: Duration,
    /// The time to live of answers to look-ups; callers ignore shorter ones.
    pub lookup_ttl: Duration,
    /// Retries allowed per request of a service.
    pub retry_ratio: f64,
    /// Retries that a service may get in addition to the ratio.
    pub retry_slack: f64,
    /// The fraction of a region's requests that may move to another region within
    /// [`SHIFT_WINDOW`].
    pub max_shift: f64,
}

/// The fraction of [`Bounds::retry_ratio`] that the hosts use. Each host earns retries from
/// its own requests, so that all hosts together stay within the ratio. The rest is a margin
/// for requests and retries that fall into different windows.
const RETRY_RATIO_FRACTION: f64 = 0.9;
/// The fraction of [`Bounds::retry_slack`] that the hosts share. The rest is a margin for
/// hosts that have not discovered one another yet.
const RETRY_SLACK_FRACTION: f64 = 0.5;

impl Bounds {
    /// Returns the empty retry budget of one host for one service, out of `hosts` hosts.
    pub fn host_retry_allowance(&self, hosts: usize) -> Budget {
        let ratio_milli = self.retry_ratio * RETRY_RATIO_FRACTION * 1000.0;
        Budget::with_limits(ratio_milli as u64, self.saved_retries_max_milli(hosts))
    }

    /// Returns how many unused retries one of `hosts` hosts may save up, in thousandths.
    pub fn saved_retries_max_milli(&self, hosts: usize) -> u64 {
        (self.retry_slack * RETRY_SLACK_FRACTION * 1000.0 / hosts.max(1) as f64) as u64
    }
}

/// The window to which [`Bounds::max_shift`] applies.
pub const SHIFT_WINDOW: Duration = Duration::from_secs(2);

/// The settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name, unique on the platform.
    pub host: HostName,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The region of the host's zone.
    pub region: RegionName,
    /// The region of each zone.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Listen address for callers' requests.
    pub callers: SocketAddr,
    /// Listen address for readiness probes.
    pub readiness: SocketAddr,
    /// Listen address for look-ups.
    pub lookups: SocketAddr,
    /// Listen address for other hosts: UDP for datagrams, TCP for followers and metrics.
    pub peers: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// The operator's limits that the host keeps.
    pub bounds: Bounds,
    /// Processor share of the host, in thousandths of a core.
    pub millicores: u32,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Whether all hosts of the platform are starting together for the first time.
    pub is_first_start: bool,
}

/// The fraction of the process's memory that one answer of the store or of a relay may take. It is
/// decoded while it is in memory.
const ANSWER_MEMORY_DIVISOR: u64 = 8;

impl Settings {
    /// Returns the size of the largest answer that the store or a relay may send, in bytes.
    pub fn answer_bytes_max(&self) -> usize {
        usize::try_from(self.memory_bytes / ANSWER_MEMORY_DIVISOR).unwrap_or(usize::MAX)
    }

    /// Returns the region of a zone; `None` if the settings do not name the zone.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }
}
