//! Validation of references between objects, and of objects that others require.

use std::{
    collections::HashSet,
    net::SocketAddr, //
};

use crate::{
    config::{
        check::report::Report,
        fault::Problem,
        kind::ObjectKind,
        object::*, //
    },
    util::id::{
        ObjectName,
        OrganisationName,
        RegionName,
        ServiceName,
        ZoneName, //
    },
};

/// Names of the configured objects, by kind, that references are resolved against.
struct Names<'a> {
    regions: HashSet<&'a RegionName>,
    zones: HashSet<&'a ZoneName>,
    services: HashSet<&'a ServiceName>,
    organisations: HashSet<&'a OrganisationName>,
    pools: HashSet<&'a ObjectName>,
}

/// Reports unresolved references, conflicting routes, objects that lack a
/// required counterpart, and services that the drains leave without upstreams.
pub(super) fn check(set: &ConfigSet, report: &mut Report<'_>) {
    let names = Names {
        regions: set.regions.iter().map(|region| &region.name).collect(),
        zones: set.zones.iter().map(|zone| &zone.name).collect(),
        services: set.services.iter().map(|service| &service.name).collect(),
        organisations: set.organisations.iter().map(|o| &o.name).collect(),
        pools: set.pools.iter().map(|pool| &pool.name).collect(),
    };
    regions_and_zones(set, &names, report);
    links(set, &names, report);
    routes(set, &names, report);
    pools(set, &names, report);
    drains(set, &names, report);
    for (i, key) in set.keys.iter().enumerate() {
        let found = names.organisations.contains(&key.organisation);
        let kind = ObjectKind::Organisation;
        report.reference(i, key, "organisation", kind, found, &key.organisation);
    }
}

fn regions_and_zones(set: &ConfigSet, names: &Names<'_>, report: &mut Report<'_>) {
    let with_zones: HashSet<_> = set.zones.iter().map(|zone| &zone.region).collect();
    for (i, region) in set.regions.iter().enumerate() {
        if !with_zones.contains(&region.name) {
            report.add(i, region, "", Problem::Without { missing: "zone" });
        }
    }
    let with_pools: HashSet<_> = set.pools.iter().map(|pool| &pool.zone).collect();
    for (i, zone) in set.zones.iter().enumerate() {
        let found = names.regions.contains(&zone.region);
        report.reference(i, zone, "region", ObjectKind::Region, found, &zone.region);
        if !with_pools.contains(&zone.name) {
            report.add(i, zone, "", Problem::Without { missing: "pool" });
        }
    }
}

fn links(set: &ConfigSet, names: &Names<'_>, report: &mut Report<'_>) {
    let directions: HashSet<_> = set.links.iter().map(|l| (&l.from, &l.to)).collect();
    let text = |link: &Link| format!("{} to {}", link.from, link.to);
    report.unique(&set.links, "to", |link| (&link.from, &link.to), text);
    for (i, link) in set.links.iter().enumerate() {
        let found = names.regions.contains(&link.from);
        report.reference(i, link, "from", ObjectKind::Region, found, &link.from);
        let found = names.regions.contains(&link.to);
        report.reference(i, link, "to", ObjectKind::Region, found, &link.to);
        let rule = "is also the link's sending region; name two different regions";
        report.rule(i, link, "to", &link.to, link.from != link.to, rule);
        if !directions.contains(&(&link.to, &link.from)) {
            let missing = "link in the opposite direction, which responses need";
            report.add(i, link, "", Problem::Without { missing });
        }
    }
}

fn routes(set: &ConfigSet, names: &Names<'_>, report: &mut Report<'_>) {
    let with_pools: HashSet<_> = set.pools.iter().map(|pool| &pool.service).collect();
    for (i, service) in set.services.iter().enumerate() {
        if !with_pools.contains(&service.name) {
            report.add(i, service, "", Problem::Without { missing: "pool" });
        }
    }
    for (i, route) in set.routes.iter().enumerate() {
        let found = names.services.contains(&route.service);
        report.reference(
            i,
            route,
            "service",
            ObjectKind::Service,
            found,
            &route.service,
        );
        for organisation in &route.organisations {
            let found = names.organisations.contains(organisation);
            let kind = ObjectKind::Organisation;
            report.reference(i, route, "organisations", kind, found, organisation);
        }
    }
    conflicting_routes(set, report);
}

/// Reports routes with the same prefix and a common method.
fn conflicting_routes(set: &ConfigSet, report: &mut Report<'_>) {
    let mut sorted: Vec<_> = set.routes.iter().enumerate().collect();
    sorted.sort_by_key(|(i, route)| (&route.prefix, *i));
    for same_prefix in sorted.chunk_by(|(_, a), (_, b)| a.prefix == b.prefix) {
        for (earlier_count, &(i, route)) in same_prefix.iter().enumerate() {
            let conflicts = |other: &Route| {
                let any = other.methods.is_empty() || route.methods.is_empty();
                any || route.methods.iter().any(|m| other.methods.contains(m))
            };
            let Some((_, other)) = same_prefix[..earlier_count]
                .iter()
                .find(|(_, other)| conflicts(other))
            else {
                continue;
            };
            let problem = Problem::Duplicate {
                value: route.prefix.clone(),
                other: format!("route {} for the same methods", other.name),
            };
            report.add(i, route, "prefix", problem);
        }
    }
}

fn pools(set: &ConfigSet, names: &Names<'_>, report: &mut Report<'_>) {
    let text = |pool: &Pool| format!("{} in {}", pool.service, pool.zone);
    report.unique(&set.pools, "zone", |pool| (&pool.service, &pool.zone), text);
    for (i, pool) in set.pools.iter().enumerate() {
        let found = names.services.contains(&pool.service);
        report.reference(
            i,
            pool,
            "service",
            ObjectKind::Service,
            found,
            &pool.service,
        );
        let found = names.zones.contains(&pool.zone);
        report.reference(i, pool, "zone", ObjectKind::Zone, found, &pool.zone);
    }
}

fn drains(set: &ConfigSet, names: &Names<'_>, report: &mut Report<'_>) {
    let mut upstreams = HashSet::<&SocketAddr>::new();
    for pool in &set.pools {
        upstreams.extend(&pool.upstreams);
    }
    let text = |drain: &Drain| format!("{:?}", drain.target);
    report.unique(&set.drains, "target", text, text);
    for (i, drain) in set.drains.iter().enumerate() {
        match &drain.target {
            DrainTarget::Zone(zone) => {
                let found = names.zones.contains(zone);
                report.reference(i, drain, "target", ObjectKind::Zone, found, zone);
            }
            DrainTarget::Pool(pool) => {
                let found = names.pools.contains(pool);
                report.reference(i, drain, "target", ObjectKind::Pool, found, pool);
            }
            DrainTarget::Upstream(upstream) if !upstreams.contains(upstream) => {
                let rule = "is not an upstream of any pool; correct the address";
                report.rule(i, drain, "target", upstream, false, rule);
            }
            // The platform manages hosts; they join and leave without a new configuration.
            DrainTarget::Upstream(_) | DrainTarget::Host(_) => (),
        }
    }
    drained_services(set, report);
}

/// Reports services whose upstreams are all covered by drains.
fn drained_services(set: &ConfigSet, report: &mut Report<'_>) {
    if set.drains.is_empty() {
        return;
    }
    let targets: HashSet<_> = set
        .drains
        .iter()
        .map(|d| format!("{:?}", d.target))
        .collect();
    let drained = |target: DrainTarget| targets.contains(&format!("{target:?}"));
    let mut served = HashSet::new();
    let mut with_pools = HashSet::new();
    for pool in &set.pools {
        with_pools.insert(&pool.service);
        if drained(DrainTarget::Zone(pool.zone.clone()))
            || drained(DrainTarget::Pool(pool.name.clone()))
        {
            continue;
        }
        let has_remaining = |upstream: &_| !drained(DrainTarget::Upstream(*upstream));
        if pool.upstreams.iter().any(has_remaining) {
            served.insert(&pool.service);
        }
    }
    for (i, service) in set.services.iter().enumerate() {
        if with_pools.contains(&service.name) && !served.contains(&service.name) {
            report.add(i, service, "", Problem::DrainedWhole);
        }
    }
}
