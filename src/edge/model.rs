//! Internal model of what the platform publishes: configuration, upstreams and hosts.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

use crate::{
    quarantine::UpstreamStart,
    util::id::{
        HostName,
        KeyDigest,
        OrganisationName,
        RegionName,
        ServiceName,
        UpstreamId,
        ZoneName, //
    },
};

/// Version number of a published configuration; later versions are larger.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigVersion(pub u64);

impl std::fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Priority of a request; 0 is the most urgent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Priority(pub u32);

/// Regions in which requests may run; an empty list allows all.
pub type Regions = SmallVec<[RegionName; 2]>;

/// Services and handling of the requests under one path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Bytes,
    /// Services among which the requests are split, with their weights. Empty if the platform's
    /// route could not be decoded; its requests are refused.
    pub services: SmallVec<[(ServiceName, u32); 1]>,
    /// Whether it is safe to run a request more than once.
    pub idempotent: bool,
    /// Maximum time within which a request must be answered.
    pub timeout: Duration,
    /// Target latency: an answer within this time has its full value to the caller.
    #[serde(rename = "aim")]
    pub latency_target: Duration,
    /// Maximum number of upstreams on which a request is attempted.
    pub tries: u32,
    /// Priority of the route's requests, unless the organisation has one.
    pub priority: Priority,
    /// Whether requests are accepted without an API key.
    pub open: bool,
    /// Whether requests for the same object should go to the same upstreams.
    pub affinity: bool,
    /// Regions in which the route's requests may run.
    pub regions: Regions,
}

impl Route {
    /// Creates a route that refuses all requests with the prefix, since no more of it is known.
    pub fn unusable(prefix: Bytes) -> Self {
        Self {
            prefix,
            services: SmallVec::new(),
            idempotent: false,
            timeout: Duration::ZERO,
            latency_target: Duration::ZERO,
            tries: 1,
            priority: Priority::default(),
            open: false,
            affinity: false,
            regions: Regions::new(),
        }
    }
}

/// An organisation and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Unique name of the organisation.
    pub name: OrganisationName,
    /// Priority of the organisation's requests, if set; it overrides the route's.
    pub priority: Option<Priority>,
    /// Rate limit over all hosts; `None` means no limit.
    pub rate: Option<Rate>,
    /// Regions in which the organisation's requests may run.
    pub regions: Regions,
}

/// A rate limit with a burst (token bucket).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Sustained rate, in requests per second.
    pub per_second: f64,
    /// Maximum burst, in requests.
    pub burst: f64,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name of the service.
    pub name: ServiceName,
    /// How long an upstream is cold after its start.
    pub cold_time: Duration,
    /// Maximum rate of requests to a cold upstream over all hosts, in requests per second.
    pub cold_rate: f64,
}

/// Limits that the platform publishes to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes_max: usize,
    /// Maximum time in which a client sends a head.
    pub head_time: Duration,
    /// How long a connection may be idle before the host may close it.
    pub idle_time: Duration,
}

impl ClientLimits {
    /// The smallest size that a head may have at any host, in bytes.
    pub const HEAD_BYTES_MIN: usize = 16 * 1024;
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            head_bytes_max: Self::HEAD_BYTES_MIN,
            head_time: Duration::from_millis(3000),
            idle_time: Duration::from_millis(15_000),
        }
    }
}

/// A complete published configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Routes by host name.
    pub routes: HashMap<Bytes, Vec<Route>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Organisations; `keys` refers to them by index.
    pub organisations: Vec<Organisation>,
    /// Index in `organisations` of the organisation that each key belongs to, by the key's digest.
    pub keys: HashMap<KeyDigest, usize>,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: u64,
    /// Number of routes, organisations and other parts that the platform has published and that
    /// could not be decoded. If there are any, a missing route or key may be one of them.
    pub unreadable_parts: u32,
    /// Whether the platform has published organisations, so that routes that are not open need a
    /// key.
    pub requires_keys: bool,
    /// Limits that the platform publishes to clients.
    #[serde(default)]
    pub client_limits: ClientLimits,
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// The upstream accepts new requests.
    Ready,
    /// The upstream is about to stop and accepts no new requests.
    Draining,
}

/// Registration of an upstream, as the upstream publishes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// Id of the upstream: unique to one start of the process, unless the upstream reuses it.
    pub id: UpstreamId,
    /// Service that the upstream runs.
    pub service: ServiceName,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub standing: Standing,
    /// Remaining time for which the upstream is cold.
    pub cold_for: Duration,
    /// Start time in Unix milliseconds of the upstream's own clock, if published. It is compared
    /// for equality only, to detect restarts.
    pub born: Option<u64>,
}

impl Registration {
    /// Returns the start of the upstream that this registration describes.
    pub fn start(&self) -> UpstreamStart {
        UpstreamStart::new(self.address, &self.id, self.born)
    }
}

/// Registration of an entry host, as the host publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRegistration {
    /// Unique name of the host.
    pub name: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other hosts, for both datagrams and HTTP.
    pub peers: SocketAddr,
    /// Processor capacity of the host, in thousandths of a core.
    pub millicores: u32,
}
