//! An operator's query about where a request would go, and the request that it describes.

use bytes::Bytes;
use hyper::{
    HeaderMap,
    Request,
    http::request, //
};
use percent_encoding::percent_decode_str;
use thiserror::Error;
use tokio::time::Instant;

use crate::{
    edge::{
        dialect::CallerHead,
        dispatcher::Preview,
        explain::RouteInfo,
        forward::{
            BUSY_RETRY_AFTER,
            job::{
                job,
                route,
                suspect, //
            },
        },
        message::{
            Job,
            RefusalReason, //
        },
        model::{
            Configuration,
            Regions, //
        },
        request_error::RequestError,
        routing::Routed, //
    },
    util::{
        id::RegionName,
        time::SaturatingAdd, //
    },
};

/// The header of the query that carries the caller's key.
pub const KEY_HEADER: &str = crate::wire::KEY;
/// Id of the request if the query gives none.
const ID_DEFAULT: &str = "explain";

/// A query that does not describe a request.
#[derive(Debug, Error)]
pub enum QueryError {
    /// A parameter is missing.
    #[error("the parameter {0} is missing")]
    Missing(&'static str),
    /// A parameter has an invalid value.
    #[error("the parameter {0} is invalid")]
    Invalid(&'static str),
    /// A parameter is not known. Its name is not repeated, since it may be a misplaced key.
    #[error("unknown parameter; use host, path, method, object, region, id and bytes")]
    Unknown,
}

/// The request that a query describes. It has no `Debug`, since it may hold a key.
pub struct ExplainQuery {
    parts: request::Parts,
    head: CallerHead,
    region: Option<RegionName>,
    bytes: u64,
    has_id: bool,
}

impl ExplainQuery {
    /// Reads a query: `query` has the percent-encoded parameters, `headers` may have the key.
    ///
    /// # Errors
    ///
    /// Fails if a parameter is missing, invalid or unknown.
    pub fn new(query: &str, headers: &HeaderMap) -> Result<Self, QueryError> {
        let (mut host, mut path, mut method) = (None, None, None);
        let (mut object, mut region, mut id, mut bytes) = (None, None, None, None);
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value: Bytes = percent_decode_str(value).collect::<Vec<u8>>().into();
            let field = match name {
                "host" => &mut host,
                "path" => &mut path,
                "method" => &mut method,
                "object" => &mut object,
                "region" => &mut region,
                "id" => &mut id,
                "bytes" => &mut bytes,
                _ => return Err(QueryError::Unknown),
            };
            *field = Some(value);
        }
        let host = host.ok_or(QueryError::Missing("host"))?;
        let path = path.ok_or(QueryError::Missing("path"))?;
        let req = Request::builder()
            .method(method.as_deref().unwrap_or(b"GET"))
            .uri(&*path)
            .header(hyper::header::HOST, &*host)
            .body(());
        let (parts, ()) = req
            .map_err(|_| QueryError::Invalid("method, path or host"))?
            .into_parts();
        let region = region.as_deref().map(|region| {
            let text = std::str::from_utf8(region).ok()?;
            RegionName::from_external(text).ok()
        });
        let bytes = bytes.as_deref().map(|bytes| {
            let text = std::str::from_utf8(bytes).ok()?;
            text.parse().ok()
        });
        let key = headers.get(KEY_HEADER);
        Ok(Self {
            parts,
            has_id: id.is_some(),
            head: CallerHead {
                id: Some(id.unwrap_or_else(|| Bytes::from_static(ID_DEFAULT.as_bytes()))),
                caller_timeout: None,
                object,
                key: key.map(|key| Bytes::copy_from_slice(key.as_bytes())),
            },
            region: match region {
                Some(None) => return Err(QueryError::Invalid("region")),
                region => region.flatten(),
            },
            bytes: match bytes {
                Some(None) => return Err(QueryError::Invalid("bytes")),
                bytes => bytes.flatten().unwrap_or(0),
            },
        })
    }
}

/// Matches a request with the configuration in force, as for a caller's request that arrives at
/// `now`.
pub fn preview(cfg: Option<&Configuration>, query: &ExplainQuery, now: Instant) -> Preview {
    let mut preview = Preview {
        job: Err(RequestError::NotReady),
        needs_fresh_keys: false,
        route: None,
        notes: Vec::new(),
    };
    let Some(cfg) = cfg else {
        return preview;
    };
    let routed = route(cfg, &query.parts, &query.head);
    preview.needs_fresh_keys = query.head.key.is_some() || matches!(routed, Err(RequestError::Key));
    match routed {
        Err(error) => preview.job = Err(error),
        Ok(routed) => set_job(&mut preview, &routed, query, now),
    }
    if preview.job.is_ok() && query.bytes > cfg.body_bytes_max {
        preview.job = Err(RequestError::TooLong);
    }
    preview
}

fn set_job(preview: &mut Preview, routed: &Routed<'_>, query: &ExplainQuery, now: Instant) {
    let mut info = RouteInfo::new(routed.route);
    let id = query.head.id.clone().unwrap_or_default();
    let deadline = now.saturating_add(routed.route.timeout);
    let job = job(routed, &query.head, &id, now, deadline);
    let job = job.and_then(|job| in_region(job, query.region.as_ref()));
    if let Some(job) = &job {
        info.service = Some(job.service.to_string());
        info.priority = job.priority.0;
        info.regions = job.regions.iter().map(ToString::to_string).collect();
    }
    preview.route = Some(info);
    let none = RequestError::NotRun(RefusalReason::NoUpstream, BUSY_RETRY_AFTER);
    let Some(mut job) = job else {
        preview.job = Err(none);
        return;
    };
    job.bytes = query.bytes;
    job.suspect = suspect(&job, &query.parts, &Bytes::new());
    if query.bytes > 0 {
        let note = "the body is not known, so a quarantine of the request is not seen";
        preview.notes.push(note.to_owned());
    }
    if !query.has_id && (!job.has_object || routed.route.services.len() > 1) {
        let note = "the decision depends on the request's id; one was assumed";
        preview.notes.push(note.to_owned());
    }
    preview.job = Ok(job);
}

/// Restricts a request to a region; `None` if it may not run there.
fn in_region(mut job: Job, region: Option<&RegionName>) -> Option<Job> {
    let Some(region) = region else {
        return Some(job);
    };
    let is_allowed = job.regions.is_empty() || job.regions.contains(region);
    job.regions = Regions::from_iter([region.clone()]);
    is_allowed.then_some(job)
}
