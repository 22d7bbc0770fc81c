//! What the platform publishes, as the project names it.

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

use crate::util::id::{
    HostName,
    KeyDigest,
    OrganisationName,
    RegionName,
    ServiceName,
    UpstreamId,
    ZoneName, //
};

/// The number of a published configuration. A later one has a larger number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigVersion(pub u64);

impl std::fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// How urgent a request is; 0 is the most urgent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Priority(pub u32);

/// Regions in which work may be done; an empty list allows all.
pub type Regions = SmallVec<[RegionName; 2]>;

/// Where requests of one path prefix go, and under which promises.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The path prefix; it begins and ends with a slash.
    pub prefix: Bytes,
    /// The services that share its requests, by weight.
    pub services: SmallVec<[(ServiceName, u32); 1]>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// The time within which an answer earns its full worth.
    pub aim: Duration,
    /// Upstreams that one request may be sent to.
    pub tries: u32,
    /// Its rank among the routes.
    pub priority: Priority,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether requests for one object should meet the same upstreams.
    pub affinity: bool,
    /// Regions in which its requests may run.
    pub regions: Regions,
}

/// An organisation and what it may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Its rank, where it has one; it goes before a route's.
    pub priority: Option<Priority>,
    /// Requests a second over all hosts; `None` is no limit.
    pub rate: Option<Rate>,
    /// Regions in which its requests may run.
    pub regions: Regions,
}

/// A rate and the requests that may be saved up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Requests a second.
    pub per_second: f64,
    /// Requests.
    pub burst: f64,
}

/// What is set for a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// How long an upstream that has just started stays cold.
    pub cold_time: Duration,
    /// Requests a second that a cold upstream bears, over all hosts.
    pub cold_rate: f64,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number.
    pub version: ConfigVersion,
    /// The routes of each host name.
    pub routes: HashMap<Bytes, Vec<Route>>,
    /// The services.
    pub services: HashMap<ServiceName, Service>,
    /// The organisations.
    pub organisations: Vec<Organisation>,
    /// The organisation of each key, by its place in `organisations`.
    pub keys: HashMap<KeyDigest, usize>,
    /// Bytes that a caller's body may have.
    pub body_bytes_max: u64,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// An upstream as it registers itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// Its id, unique to one start unless the upstream reuses it.
    pub id: UpstreamId,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub standing: Standing,
    /// How much longer it stays cold.
    pub cold_for: Duration,
    /// Its start, in milliseconds of its own time of day; only compared for equality.
    pub born: Option<u64>,
}

/// An entry host as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRegistration {
    /// Its name.
    pub name: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other hosts reach it, by datagrams and by HTTP.
    pub peers: SocketAddr,
    /// Its processor, in thousandths of a core.
    pub millicores: u32,
}
