//! Divides the quotas of the whole fleet into zone shares and host shares.
//!
//! A share is a pure function of the fleet quota and the zone's ledger, so a host
//! computes it without contacting another: the quota is first divided over the
//! zones, then over a few home hosts of the zone, chosen by rendezvous hashing.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::{
    bucket::Quota,
    config::object::{
        ConfigSet,
        Zone, //
    },
    ledger::{
        Ledger,
        Member, //
    },
    util::id::{
        ObjectName,
        OrganisationName,
        RegionName,
        ZoneName, //
    },
};

/// Largest number of hosts of a zone that hold a share of one resource.
pub const HOME_HOSTS_MAX: usize = 4;
/// Units of an organisation's quota that one request costs: thousandths of a request.
pub const MILLI_REQUESTS: u64 = 1000;

/// A resource whose quota is divided between hosts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    /// An organisation's requests, in thousandths.
    Organisation(OrganisationName),
    /// A link's bytes in one direction.
    Link(ObjectName),
}

impl Resource {
    /// Returns the smallest amount worth keeping or lending: one request, or one chunk
    /// of bytes.
    pub(crate) fn min_amount(&self) -> u64 {
        match self {
            Self::Organisation(_) => MILLI_REQUESTS,
            Self::Link(_) => crate::link::CHUNK_BYTES,
        }
    }

    fn as_str(&self) -> &str {
        match self {
            Self::Organisation(name) => name.as_str(),
            Self::Link(name) => name.as_str(),
        }
    }
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Organisation(name) => write!(f, "organisation/{name}"),
            Self::Link(name) => write!(f, "link/{name}"),
        }
    }
}

/// The configured quota of a resource for the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetQuota {
    /// The organisation or link that the quota limits.
    pub resource: Resource,
    /// Rate and burst for all hosts together.
    pub quota: Quota,
    /// The region whose zones divide the quota; `None` if all zones do.
    pub region: Option<RegionName>,
}

/// Returns the quotas of all organisations and links of a configuration, ordered by
/// resource.
pub fn fleet_quotas(set: &ConfigSet) -> Vec<FleetQuota> {
    let mut fleet_quotas = Vec::with_capacity(set.organisations.len() + set.links.len());
    for organisation in &set.organisations {
        let burst = u64::from(organisation.burst) * MILLI_REQUESTS;
        fleet_quotas.push(FleetQuota {
            resource: Resource::Organisation(organisation.name.clone()),
            quota: Quota::new(organisation.rate.0, burst),
            region: None,
        });
    }
    for link in &set.links {
        fleet_quotas.push(FleetQuota {
            resource: Resource::Link(link.name.clone()),
            quota: crate::link::quota(link.cap),
            region: Some(link.from.clone()),
        });
    }
    fleet_quotas.sort_by(|a, b| a.resource.cmp(&b.resource));
    fleet_quotas
}

/// Returns part `index` of a total divided into `parts` nearly equal parts. The parts
/// sum to the total, and a smaller total makes no part larger.
pub fn equal_part(total: u64, parts: usize, index: usize) -> u64 {
    if index >= parts {
        return 0;
    }
    let (parts, index) = (parts as u64, index as u64);
    total / parts + u64::from(index < total % parts)
}

fn equal_quota_part(quota: Quota, parts: usize, index: usize) -> Quota {
    Quota::new(
        equal_part(quota.rate, parts, index),
        equal_part(quota.burst, parts, index),
    )
}

/// Returns a host's own share: the smallest over all member lists in the ledger.
pub fn host_share(fleet_quota: &FleetQuota, ledger: &Ledger, host: &Member) -> Quota {
    let zone_share = zone_share(fleet_quota, ledger);
    let mut least = zone_share;
    for members in &ledger.members {
        let home_hosts = home_hosts(&fleet_quota.resource, &members.hosts);
        let index = home_hosts.iter().position(|m| *m == host);
        let share = index.map_or(Quota::default(), |i| {
            equal_quota_part(zone_share, home_hosts.len(), i)
        });
        least = least.min(share);
    }
    least
}

/// Returns the zone's share: the smallest over all zone lists in the ledger.
pub fn zone_share(fleet_quota: &FleetQuota, ledger: &Ledger) -> Quota {
    let mut least = fleet_quota.quota;
    for zones in &ledger.zones {
        least = least.min(zone_share_in(fleet_quota, &zones.zones, &ledger.zone));
    }
    least
}

/// Returns the share of a zone according to one zone list.
fn zone_share_in(fleet_quota: &FleetQuota, zones: &[Zone], zone: &ZoneName) -> Quota {
    let in_scope = |z: &&Zone| fleet_quota.region.as_ref().is_none_or(|r| *r == z.region);
    let names: SmallVec<[&ZoneName; 8]> = zones.iter().filter(in_scope).map(|z| &z.name).collect();
    let index = names.iter().position(|n| *n == zone);
    index.map_or(Quota::default(), |i| {
        equal_quota_part(fleet_quota.quota, names.len(), i)
    })
}

/// Returns the hosts that divide a zone's share of a resource, by rendezvous hashing.
pub fn home_hosts<'a>(
    resource: &Resource,
    members: &'a [Member],
) -> SmallVec<[&'a Member; HOME_HOSTS_MAX]> {
    let seed = xxh3_64(resource.as_str().as_bytes());
    let mut ranked: Vec<(u64, &Member)> = Vec::with_capacity(members.len());
    for member in members {
        ranked.push((score(seed, member), member));
    }
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    ranked
        .iter()
        .take(HOME_HOSTS_MAX)
        .map(|(_, m)| *m)
        .collect()
}

fn score(seed: u64, member: &Member) -> u64 {
    xxh3_64_with_seed(member.name.as_str().as_bytes(), seed)
}
