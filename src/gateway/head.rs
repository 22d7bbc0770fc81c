//! Rewrites the heads of requests and answers that a gateway relays.

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

/// Hop-by-hop headers, which apply to a single connection.
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

/// Removes the hop-by-hop headers and those listed in the `connection` header.
///
/// `content-length` stays even if it is listed.
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

/// Removes all `x-cardamomroad-` headers, so that a caller or an upstream cannot forge them.
pub fn remove_internal_headers(headers: &mut HeaderMap) {
    let internal: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(wire::HEADER_PREFIX))
        .cloned()
        .collect();
    for name in internal {
        headers.remove(name);
    }
}

/// Returns the time left according to the deadline header; `None` if it is missing or malformed.
pub fn deadline(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(wire::DEADLINE_MS)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// Returns a header's value; `None` if it is missing or contains other than visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// Sets a header; does nothing if the value is not a valid header value.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: impl ToString) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Builds the request to the next hop, with an origin-form target and a `host` header.
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

/// Sets the request headers that the next hop reads: id, time left and organisation.
pub fn set_upstream_headers(
    headers: &mut HeaderMap,
    id: &RequestId,
    organisation: Option<&OrganisationName>,
    time_left: Duration,
) {
    set(headers, wire::REQUEST_ID, id);
    set(headers, wire::DEADLINE_MS, time_left.as_millis());
    if let Some(organisation) = organisation {
        set(headers, wire::ORGANISATION, organisation);
    }
}

/// Sets the answer headers that the caller reads: request id, entry host and outcome.
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

/// Builds the response for a refusal; `id` is `None` if no valid request id was read.
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
        // The header has whole seconds. Rounding up keeps callers from retrying too early.
        let seconds = after.as_millis().div_ceil(1000).max(1);
        set(headers, "retry-after", seconds);
    }
    res
}
