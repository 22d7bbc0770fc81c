//! Bounds of single values, and uniqueness of names.

use std::time::Duration;

use humantime::format_duration;

use crate::{
    config::{
        check::report::Report,
        fault::Problem,
        kind::ConfigObject,
        object::*,
        path::normalise_path, //
    },
    util::units::{
        BitRate,
        RequestRate, //
    },
};

/// Maximum capacity of a link: 100 Tbit/s.
const LINK_CAP_MAX: BitRate = BitRate(100_000_000_000_000);
/// Maximum one-way delay of a link.
const LINK_DELAY_MAX: Duration = Duration::from_secs(10);
/// Minimum deadline of a route.
const ROUTE_DEADLINE_MIN: Duration = Duration::from_millis(1);
/// Maximum deadline of a route.
const ROUTE_DEADLINE_MAX: Duration = Duration::from_secs(3600);
/// Maximum length of a route's path prefix, in bytes.
const PREFIX_MAX_BYTES: usize = 1024;
/// Minimum rate of an organisation: one request per 1000 seconds.
const RATE_MIN: RequestRate = RequestRate(1);
/// Maximum rate of an organisation.
const RATE_MAX: RequestRate = RequestRate::per_second(1_000_000_000);
/// Maximum burst of an organisation, in requests.
const BURST_MAX: u32 = 100_000_000;
/// Maximum weight of an organisation.
const WEIGHT_MAX: u32 = 1000;
/// Maximum number of upstreams in a pool.
const UPSTREAMS_MAX: usize = 1000;
/// Maximum number of concurrent requests per upstream.
const SLOTS_MAX: u32 = 100_000;
/// Maximum number of connections per upstream.
const CONNECTIONS_MAX: u32 = 1_000_000;
/// Maximum warm-up time of an upstream.
const WARM_UP_MAX: Duration = Duration::from_secs(3600);
/// Minimum time allowed for a drain.
const DRAIN_WITHIN_MIN: Duration = Duration::from_secs(1);
/// Maximum time allowed for a drain.
const DRAIN_WITHIN_MAX: Duration = Duration::from_secs(24 * 3600);
/// Path prefix that the entry hosts serve themselves, so no route may use it.
const RESERVED_PATH: &str = "/.cardamomroad";
/// HTTP methods that a route may list.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Checks the schema version, single values and the uniqueness of names and keys.
pub(super) fn check(set: &ConfigSet, report: &mut Report<'_>) {
    if set.schema != SCHEMA {
        report.add_set_fault(Problem::Schema {
            value: set.schema.to_string(),
            known: SCHEMA,
        });
    }
    check_unique_names(&set.regions, report);
    check_unique_names(&set.zones, report);
    check_unique_names(&set.links, report);
    check_unique_names(&set.services, report);
    check_unique_names(&set.routes, report);
    check_unique_names(&set.organisations, report);
    check_unique_names(&set.keys, report);
    check_unique_names(&set.pools, report);
    check_unique_names(&set.drains, report);
    report.unique(&set.keys, "digest", |k| k.digest, |k| k.digest.to_string());
    links(set, report);
    routes(set, report);
    organisations(set, report);
    pools(set, report);
    drains(set, report);
}

fn check_unique_names<T: ConfigObject>(objects: &[T], report: &mut Report<'_>) {
    report.unique(objects, "name", T::id, |object| object.id().to_string());
}

fn links(set: &ConfigSet, report: &mut Report<'_>) {
    for (i, link) in set.links.iter().enumerate() {
        report.bounds(i, link, "cap", link.cap, (BitRate(1), LINK_CAP_MAX));
        check_duration(
            i,
            link,
            "delay",
            link.delay,
            (Duration::ZERO, LINK_DELAY_MAX),
            report,
        );
    }
}

fn routes(set: &ConfigSet, report: &mut Report<'_>) {
    let deadlines = (ROUTE_DEADLINE_MIN, ROUTE_DEADLINE_MAX);
    for (i, route) in set.routes.iter().enumerate() {
        check_duration(i, route, "deadline", route.deadline, deadlines, report);
        prefix(i, route, report);
        for method in &route.methods {
            let supported = METHODS.contains(&method.as_str());
            let rule =
                "is not one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS; use one of these";
            report.rule(i, route, "methods", method, supported, rule);
        }
        report.distinct(i, route, "methods", &route.methods);
        report.distinct(i, route, "organisations", &route.organisations);
        let consistent = route.access == Access::Keyed || route.organisations.is_empty();
        let rule = "cannot be combined with a list of organisations, since callers without keys \
                    cannot be identified; make the route keyed or remove the list";
        report.rule(i, route, "access", &"open", consistent, rule);
    }
}

fn prefix(i: usize, route: &Route, report: &mut Report<'_>) {
    let prefix = &route.prefix;
    let allowed = |b: u8| b.is_ascii_graphic() && b != b'?' && b != b'#';
    let well_formed = prefix.bytes().all(allowed) && prefix.len() <= PREFIX_MAX_BYTES;
    let normalised = normalise_path(prefix).is_some_and(|path| path == prefix.as_str());
    let rule = "is not a plain path: start it with '/', and leave out '.', '..' and empty \
                segments, queries, spaces and needless percent-encodings";
    report.rule(i, route, "prefix", prefix, well_formed && normalised, rule);
    let reserved = prefix.strip_prefix(RESERVED_PATH);
    let reserved = reserved.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
    let rule = "is reserved for the entry hosts; choose another path";
    report.rule(i, route, "prefix", prefix, !reserved, rule);
}

fn organisations(set: &ConfigSet, report: &mut Report<'_>) {
    for (i, organisation) in set.organisations.iter().enumerate() {
        let Organisation {
            rate,
            burst,
            weight,
            ..
        } = *organisation;
        report.bounds(i, organisation, "rate", rate, (RATE_MIN, RATE_MAX));
        report.bounds(i, organisation, "burst", burst, (1, BURST_MAX));
        report.bounds(i, organisation, "weight", weight, (1, WEIGHT_MAX));
    }
}

fn pools(set: &ConfigSet, report: &mut Report<'_>) {
    for (i, pool) in set.pools.iter().enumerate() {
        let count = pool.upstreams.len();
        report.bounds(i, pool, "upstreams", count, (1, UPSTREAMS_MAX));
        report.bounds(i, pool, "slots", pool.slots, (1, SLOTS_MAX));
        report.bounds(
            i,
            pool,
            "connections",
            pool.connections,
            (1, CONNECTIONS_MAX),
        );
        check_duration(
            i,
            pool,
            "warm_up",
            pool.warm_up,
            (Duration::ZERO, WARM_UP_MAX),
            report,
        );
        if pool.slots > pool.connections {
            let problem = Problem::OverCap {
                what: "one upstream's slots, each on its own connection,",
                sum: pool.slots.into(),
                cap: pool.connections.into(),
            };
            report.add(i, pool, "slots", problem);
        }
    }
}

fn drains(set: &ConfigSet, report: &mut Report<'_>) {
    let bounds = (DRAIN_WITHIN_MIN, DRAIN_WITHIN_MAX);
    for (i, drain) in set.drains.iter().enumerate() {
        check_duration(i, drain, "within", drain.within, bounds, report);
    }
}

fn check_duration<T: ConfigObject>(
    i: usize,
    object: &T,
    field: &str,
    value: Duration,
    (least, most): (Duration, Duration),
    report: &mut Report<'_>,
) {
    if value >= least && value <= most {
        return;
    }
    let problem = Problem::OutOfBounds {
        value: format_duration(value).to_string(),
        least: format_duration(least).to_string(),
        most: format_duration(most).to_string(),
    };
    report.add(i, object, field, problem);
}
