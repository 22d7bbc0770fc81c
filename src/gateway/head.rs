//! Heads of requests and answers as they pass through a gateway.

use std::time::Duration;

use hyper::{
    HeaderMap,
    Request,
    Response,
    Uri,
    Version,
    header::{
        self,
        HeaderName,
        HeaderValue, //
    },
    http::request::Parts, //
};

use crate::{
    body::ProxyBody,
    refusal::{
        Outcome,
        Refusal, //
    },
    util::id::{
        HostName,
        OrganisationName,
        RequestId, //
    },
    wire,
};

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that concern one connection only, and those that
/// `connection` names.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| name != header::CONTENT_LENGTH)
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes this system's own headers, whoever set them.
pub fn remove_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(wire::HEADER_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Returns the milliseconds in the deadline header.
pub fn deadline(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(wire::DEADLINE_MS)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// Returns a header's text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// Sets a header whose value is known to be valid text; others are left out.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: impl ToString) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns the head of a request to the next hop, with an origin-form target.
pub fn outgoing(parts: &Parts, body: ProxyBody) -> Request<ProxyBody> {
    let mut req = Request::new(body);
    *req.method_mut() = parts.method.clone();
    *req.version_mut() = Version::HTTP_11;
    *req.uri_mut() = origin_form(&parts.uri);
    *req.headers_mut() = parts.headers.clone();
    if !req.headers().contains_key(header::HOST)
        && let Some(authority) = parts.uri.authority()
        && let Ok(value) = HeaderValue::from_str(authority.as_str())
    {
        req.headers_mut().insert(header::HOST, value);
    }
    req
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}

/// Writes what an upstream is told about a request.
pub fn set_upstream_headers(
    headers: &mut HeaderMap,
    id: &RequestId,
    organisation: Option<&OrganisationName>,
    left: Duration,
) {
    set(headers, wire::REQUEST_ID, id);
    set(headers, wire::DEADLINE_MS, left.as_millis());
    if let Some(organisation) = organisation {
        set(headers, wire::ORGANISATION, organisation);
    }
}

/// Writes what a caller is told about an answer.
pub fn set_answer_headers(
    headers: &mut HeaderMap,
    id: &RequestId,
    host: &HostName,
    outcome: Outcome,
) {
    set(headers, wire::REQUEST_ID, id);
    set(headers, wire::SERVED_BY, host);
    set(headers, wire::OUTCOME, outcome);
}

/// Returns the answer that tells a caller of a refusal.
pub fn refusal(refusal: &Refusal, id: Option<&RequestId>, host: &HostName) -> Response<ProxyBody> {
    let text = format!("{refusal}\n");
    let mut res = Response::new(crate::body::full(text));
    *res.status_mut() = refusal.reason.status();
    let headers = res.headers_mut();
    set(headers, wire::REASON, refusal.reason);
    set(headers, wire::OUTCOME, refusal.outcome);
    set(headers, wire::SERVED_BY, host);
    if let Some(id) = id {
        set(headers, wire::REQUEST_ID, id);
    }
    if let Some(after) = refusal.retry_after {
        // The header counts whole seconds; rounding up never calls a caller back early.
        let seconds = after.as_millis().div_ceil(1000).max(1);
        set(headers, "retry-after", seconds);
    }
    res
}
