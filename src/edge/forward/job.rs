//! Derives a request's route, organisation and scheduling parameters.

use std::time::Duration;

use bytes::Bytes;
use hyper::{
    header,
    http::request, //
};
use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed,
    xxh3_128, //
};

use crate::{
    edge::{
        dialect::CallerHead,
        message::Job,
        model::{
            Configuration,
            Regions,
            Route, //
        },
        request_error::RequestError,
        routing::{
            self,
            NoRoute,
            Routed, //
        },
    },
    quarantine::Suspect,
    util::id::ServiceName,
};

/// Finds the route and organisation of a request by its host name, path and key.
pub(in crate::edge) fn route<'a>(
    cfg: &'a Configuration,
    parts: &request::Parts,
    head: &CallerHead,
) -> Result<Routed<'a>, RequestError> {
    let header = parts.headers.get(header::HOST);
    let host = match (header, parts.uri.host()) {
        (Some(value), _) => routing::host_name(value.as_bytes()),
        (None, Some(host)) => host.as_bytes(),
        (None, None) => return Err(RequestError::BadHead),
    };
    let path = parts.uri.path().as_bytes();
    routing::find(cfg, host, path, head.key.as_deref()).map_err(|e| match e {
        NoRoute::Unknown => RequestError::NoRoute,
        NoRoute::Key => RequestError::Key,
        NoRoute::Undecided => RequestError::NotReady,
    })
}

/// Builds the dispatcher's description of a request; `None` if no region may run it.
///
/// The caller fills in `bytes`, `suspect` and `lost_time`, which are not known yet.
pub(in crate::edge) fn job(
    routed: &Routed<'_>,
    head: &CallerHead,
    id: &Bytes,
    received: Instant,
    deadline: Instant,
) -> Option<Job> {
    let Routed {
        route,
        organisation,
    } = routed;
    let route_hash = xxh3_64(&route.prefix);
    let affinity_object = head.object.as_ref().filter(|_| route.affinity);
    let object = match affinity_object {
        Some(object) => xxh3_64_with_seed(object, route_hash),
        None => xxh3_64(id),
    };
    let organisation_priority = organisation.and_then(|o| o.priority);
    let unrestricted = Regions::new();
    let regions = common_regions(
        &route.regions,
        organisation.map_or(&unrestricted, |o| &o.regions),
    )?;
    Some(Job {
        id: String::from_utf8_lossy(id).into_owned(),
        service: choose_service(route, id),
        organisation: organisation.map(|o| o.name.clone()),
        priority: organisation_priority.unwrap_or(route.priority),
        route_priority: route.priority,
        route: route_hash,
        bytes: 0,
        object,
        has_object: affinity_object.is_some(),
        regions,
        received,
        suspect: Suspect(0),
        lost_time: Duration::ZERO,
        latency_target: route.latency_target,
        deadline,
        tried: SmallVec::new(),
        may_have_run: false,
    })
}

/// Returns the fingerprint by which repeats of a request are recognised.
pub(in crate::edge) fn suspect(job: &Job, parts: &request::Parts, body: &Bytes) -> Suspect {
    let target = parts.uri.path_and_query().map_or("/", |t| t.as_str());
    // The whole body counts: bodies of uploads often begin alike.
    let body_hash = xxh3_128(body).to_le_bytes();
    Suspect::of(
        job.organisation.as_ref(),
        parts.method.as_str(),
        target,
        Some(body.len() as u64),
        &body_hash,
    )
}

/// Returns the regions that both lists allow; an empty list allows all. `None` if the
/// lists have no region in common.
fn common_regions(route: &Regions, organisation: &Regions) -> Option<Regions> {
    if route.is_empty() || organisation.is_empty() {
        return Some(route.iter().chain(organisation).cloned().collect());
    }
    let common = route.iter().filter(|r| organisation.contains(r));
    let common: Regions = common.cloned().collect();
    (!common.is_empty()).then_some(common)
}

/// Picks one of a route's services by weight, using the hash of the request id.
fn choose_service(route: &Route, id: &Bytes) -> ServiceName {
    let total_weight: u64 = route.services.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut point = xxh3_64(id) % total_weight.max(1);
    for (service, weight) in &route.services {
        if point < u64::from(*weight) {
            return service.clone();
        }
        point -= u64::from(*weight);
    }
    route.services[0].0.clone()
}
