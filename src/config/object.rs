//! The configured objects, as they stand in TOML files and in the store.
//!
//! Objects refer to one another by name; [`Set`] holds them all. A set is
//! checked as a whole before it is published.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use ipnet::IpNet;
use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

use crate::util::{
    duration_text,
    id::{
        HostName,
        KeyDigest,
        ObjectName,
        OrganisationName,
        RegionName,
        ServiceName,
        ZoneName, //
    },
    units::{
        BitRate,
        RequestRate, //
    },
};

/// The version of the file format that this build reads.
pub const SCHEMA: u32 = 1;

/// All configured objects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Set {
    /// The version of the file format.
    pub schema: u32,
    /// The regions.
    #[serde(rename = "region")]
    pub regions: Vec<Region>,
    /// The availability zones.
    #[serde(rename = "zone")]
    pub zones: Vec<Zone>,
    /// The links between regions, one object a direction.
    #[serde(rename = "link")]
    pub links: Vec<Link>,
    /// The services.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// The routes from request to service.
    #[serde(rename = "route")]
    pub routes: Vec<Route>,
    /// The organisations.
    #[serde(rename = "organisation")]
    pub organisations: Vec<Organisation>,
    /// The keys that callers present, by digest.
    #[serde(rename = "key")]
    pub keys: Vec<Key>,
    /// The upstream pools, one for each service and zone.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    /// The planned drains.
    #[serde(rename = "drain")]
    pub drains: Vec<Drain>,
    /// The client blocks.
    #[serde(rename = "block")]
    pub blocks: Vec<Block>,
}

/// A region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Its name.
    pub name: RegionName,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: ZoneName,
    /// The region it lies in.
    pub region: RegionName,
}

/// One direction of the link between two regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Its name.
    pub name: ObjectName,
    /// The sending region.
    pub from: RegionName,
    /// The receiving region.
    pub to: RegionName,
    /// The most that any minute may carry on average.
    pub cap: BitRate,
    /// The one-way delay.
    #[serde(with = "duration_text")]
    pub delay: Duration,
}

/// A service that upstreams provide.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Only organisations that present a key.
    Keyed,
    /// Everybody, without a key.
    Open,
}

/// A rule that leads requests to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: ObjectName,
    /// The service that it leads to.
    pub service: ServiceName,
    /// The path prefix that it matches; the longest match wins.
    pub prefix: String,
    /// The methods that it matches; all where it is empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Who may use it.
    pub access: Access,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// The longest time that a request may take before its answer starts.
    #[serde(with = "duration_text")]
    pub deadline: Duration,
    /// The organisations that may use it; all where it is empty.
    #[serde(default)]
    pub organisations: Vec<OrganisationName>,
}

/// An organisation, its rate and its burst over all hosts together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Its rate over the whole fleet.
    pub rate: RequestRate,
    /// The requests it may send at once over the whole fleet.
    pub burst: u32,
    /// Its weight when capacity is short.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A key, known only by its digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Its name, for operators and logs.
    pub name: ObjectName,
    /// The organisation that holds it.
    pub organisation: OrganisationName,
    /// The SHA-256 digest of the key.
    pub digest: KeyDigest,
}

/// The upstreams of one service in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its name.
    pub name: ObjectName,
    /// The service that it provides.
    pub service: ServiceName,
    /// The zone that it stands in.
    pub zone: ZoneName,
    /// The addresses of its upstreams.
    pub upstreams: Vec<SocketAddr>,
    /// The requests that one upstream runs at once.
    pub slots: u32,
    /// The connections that one upstream accepts.
    pub connections: u32,
    /// How long a cold upstream takes to reach its full capacity.
    #[serde(with = "duration_text")]
    pub warm_up: Duration,
}

/// What a drain empties.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTarget {
    /// All upstreams and entry hosts of a zone.
    Zone(ZoneName),
    /// One pool.
    Pool(ObjectName),
    /// One upstream.
    Upstream(SocketAddr),
    /// One entry host.
    Host(HostName),
}

/// A planned drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Its name.
    pub name: ObjectName,
    /// What it empties.
    pub target: DrainTarget,
    /// How long after it is in force the target has to be empty.
    #[serde(with = "duration_text")]
    pub within: Duration,
}

/// A block of client addresses and the zones nearest to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// The addresses.
    pub net: IpNet,
    /// The nearest zones, best first.
    pub near: SmallVec<[ZoneName; 2]>,
}

const fn default_weight() -> u32 {
    1
}
