//! The checked settings of an entry host on the platform.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use crate::util::id::{
    HostName,
    RegionName,
    ZoneName, //
};

/// The times and ratios that the operator holds the system to.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How long a withdrawn key may still be used.
    pub revocation: Duration,
    /// How long a process may take to stop.
    pub grace: Duration,
    /// How long after an outage of the store lapsed registrations return.
    pub reregistration: Duration,
    /// The shortest time to live of a look-up that callers keep to.
    pub lookup_ttl: Duration,
    /// Repeats that a service may get for each request.
    pub retry_ratio: f64,
    /// Repeats that a service may get beside those.
    pub retry_slack: f64,
    /// The part of a region's requests that may change region in [`SHIFT_WINDOW`].
    pub shift: f64,
}

/// The window over which [`Bounds::shift`] holds.
pub const SHIFT_WINDOW: Duration = Duration::from_secs(2);

/// The settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// The region of each zone.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it tells whether it is ready.
    pub readiness: SocketAddr,
    /// Where it answers look-ups.
    pub lookups: SocketAddr,
    /// Where other hosts reach it, by datagrams.
    pub peers: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// What it is held to.
    pub bounds: Bounds,
    /// The host's processor, in thousandths of a core.
    pub millicores: u32,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
}

impl Settings {
    /// Returns the region of a zone, where the settings name the zone.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }
}
