//! The configured objects, as written in TOML files and kept in the store.
//!
//! Objects refer to one another by name; [`ConfigSet`] contains them all. A set is
//! validated as a whole before it is published.

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

/// The version of the file format that this build supports.
pub const SCHEMA: u32 = 1;

/// All configured objects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigSet {
    /// The version of the file format; must equal [`SCHEMA`].
    pub schema: u32,
    /// The regions, each with at least one zone.
    #[serde(rename = "region")]
    pub regions: Vec<Region>,
    /// The availability zones, each with at least one pool.
    #[serde(rename = "zone")]
    pub zones: Vec<Zone>,
    /// The links between regions, one object per direction.
    #[serde(rename = "link")]
    pub links: Vec<Link>,
    /// The services, each with at least one pool.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// The rules that map requests to services.
    #[serde(rename = "route")]
    pub routes: Vec<Route>,
    /// The organisations whose callers use the services.
    #[serde(rename = "organisation")]
    pub organisations: Vec<Organisation>,
    /// The keys that callers present, stored as digests.
    #[serde(rename = "key")]
    pub keys: Vec<Key>,
    /// The upstream pools, at most one per service and zone.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    /// The drains that operators planned.
    #[serde(rename = "drain")]
    pub drains: Vec<Drain>,
    /// The client address blocks, which do not overlap.
    #[serde(rename = "block")]
    pub blocks: Vec<Block>,
}

/// A region, which groups availability zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region's unique name.
    pub name: RegionName,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The zone's unique name.
    pub name: ZoneName,
    /// The region that the zone belongs to.
    pub region: RegionName,
}

/// One direction of the link between two regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The link's unique name.
    pub name: ObjectName,
    /// The sending region.
    pub from: RegionName,
    /// The receiving region.
    pub to: RegionName,
    /// The bandwidth cap, as an average over any minute.
    pub cap: BitRate,
    /// The one-way delay.
    #[serde(with = "duration_text")]
    pub delay: Duration,
}

/// A service that upstreams provide.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's unique name.
    pub name: ServiceName,
}

/// The authentication that a route requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Only organisations that present a key.
    Keyed,
    /// Any caller, without a key.
    Open,
}

/// A rule that maps requests to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The route's unique name.
    pub name: ObjectName,
    /// The service that handles the matched requests.
    pub service: ServiceName,
    /// The path prefix to match, by whole segments; the longest match wins.
    pub prefix: String,
    /// The HTTP methods to match; empty matches all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Whether callers need a key.
    pub access: Access,
    /// Whether running a request more than once is safe.
    pub idempotent: bool,
    /// The maximum time until the answer to a request starts.
    #[serde(with = "duration_text")]
    pub deadline: Duration,
    /// The organisations that may use the route; empty allows all.
    #[serde(default)]
    pub organisations: Vec<OrganisationName>,
}

/// An organisation and its rate limit, which applies to all hosts together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation's unique name.
    pub name: OrganisationName,
    /// The sustained request rate over the whole fleet.
    pub rate: RequestRate,
    /// The number of requests that may arrive at once over the whole fleet.
    pub burst: u32,
    /// The weight in the fair division of scarce capacity; 1 by default.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A caller's key; only its digest is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The key's unique name, for operators and logs.
    pub name: ObjectName,
    /// The organisation that the key identifies.
    pub organisation: OrganisationName,
    /// The SHA-256 digest of the key.
    pub digest: KeyDigest,
}

/// The upstreams of one service in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The pool's unique name.
    pub name: ObjectName,
    /// The service that the upstreams provide.
    pub service: ServiceName,
    /// The zone that the upstreams run in.
    pub zone: ZoneName,
    /// The addresses of the upstreams; each belongs to one pool only.
    pub upstreams: Vec<SocketAddr>,
    /// The number of concurrent requests per upstream; at most `connections`.
    pub slots: u32,
    /// The number of connections that one upstream accepts.
    pub connections: u32,
    /// The time that a cold upstream takes to reach full capacity; may be zero.
    #[serde(with = "duration_text")]
    pub warm_up: Duration,
}

/// The object that a drain takes out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTarget {
    /// All upstreams and entry hosts of a zone.
    Zone(ZoneName),
    /// All upstreams of one pool.
    Pool(ObjectName),
    /// One upstream, by address.
    Upstream(SocketAddr),
    /// One entry host, by name.
    Host(HostName),
}

/// A planned drain, which moves work away from its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// The drain's unique name.
    pub name: ObjectName,
    /// The zone, pool, upstream or host to drain.
    pub target: DrainTarget,
    /// The time until the target must be empty, counted from when the drain
    /// takes effect.
    #[serde(with = "duration_text")]
    pub within: Duration,
}

/// A block of client addresses and the zones nearest to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// The address range, in CIDR notation.
    pub net: IpNet,
    /// The nearest zones, best first; at least one.
    pub near: SmallVec<[ZoneName; 2]>,
}

const fn default_weight() -> u32 {
    1
}
