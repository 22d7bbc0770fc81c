//! Reads and validates the heads of requests from callers and from other entry hosts.

use std::{
    sync::Arc,
    time::Duration, //
};

use hyper::{
    Request,
    Response,
    body::Incoming,
    http::request::Parts, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use crate::{
    at_most_once::stamp_at,
    body::ProxyBody,
    config::{
        index::Index,
        object::{
            Access,
            Route, //
        },
    },
    credential::scrub::scrub,
    gateway::{
        Gateway,
        call::{
            Call,
            MatchedRoute, //
        },
        head,
        upload::Upload,
    },
    host::message::Sender,
    quarantine::{
        BODY_PREFIX_BYTES,
        Suspect, //
    },
    refusal::{
        Reason,
        Refusal, //
    },
    trace::{
        self,
        HopSpan, //
    },
    util::id::{
        KeyDigest,
        ObjectName,
        OrganisationName,
        RequestId,
        Stamp, //
    },
    wire,
};

/// The upper bound of the deadline that another entry host may set for a forwarded request.
const FORWARDED_DEADLINE_MAX: Duration = Duration::from_secs(600);

impl Gateway {
    /// Serves a request that came directly from a caller.
    pub async fn serve_caller(self: Arc<Self>, req: Request<Incoming>) -> Response<ProxyBody> {
        let span = self.tracing.start_server_span("caller", req.headers());
        let (parts, body) = req.into_parts();
        match self.read_caller(parts, span) {
            Ok(call) => self.run_with_body(call, body).await,
            Err(refusal) => self.refuse_head(&refusal),
        }
    }

    /// Serves a request that another entry host forwarded.
    pub async fn serve_peer(self: Arc<Self>, req: Request<Incoming>) -> Response<ProxyBody> {
        let span = self.tracing.start_server_span("peer", req.headers());
        let (parts, body) = req.into_parts();
        match self.read_peer(parts, span) {
            Ok(call) => self.run_with_body(call, body).await,
            Err(refusal) => self.refuse_head(&refusal),
        }
    }

    /// Returns the stamp of an instant, relative to the start of this host's incarnation.
    pub fn stamp(&self, now: Instant) -> Stamp {
        stamp_at(self.started, now)
    }

    async fn run_with_body(self: Arc<Self>, call: Call, body: Incoming) -> Response<ProxyBody> {
        match timeout_at(call.deadline, Upload::new(body)).await {
            Ok(Ok(upload)) => self.run(call, upload).await,
            Ok(Err(e)) => {
                log::debug!(event = "caller-gone", id:% = call.id, cause:% = e; "");
                self.refusal(&call, &Refusal::not_run(Reason::Deadline))
            }
            Err(_) => self.refusal(&call, &Refusal::not_run(Reason::Deadline)),
        }
    }

    fn refuse_head(&self, refusal: &Refusal) -> Response<ProxyBody> {
        self.count_refusal(refusal, None);
        log::info!(event = "refused", reason:% = refusal.reason, outcome:% = refusal.outcome; "");
        head::refusal(refusal, None, &self.name)
    }

    fn read_caller(&self, mut parts: Parts, span: HopSpan) -> Result<Call, Refusal> {
        let received = Instant::now();
        let index = self.current_index()?;
        let route = find_route(&index, &parts)?;
        let is_key = |digest: &KeyDigest| index.key(digest).is_some();
        let headers = std::mem::take(&mut parts.headers);
        let scrubbed = scrub(&parts.uri, headers, is_key).map_err(|_| key_exposed())?;
        parts.headers = scrubbed.headers;
        let key = scrubbed.key.map(|key| key.digest());
        if route.access == Access::Keyed && key.is_none() {
            return Err(Refusal::not_run(Reason::KeyMissing));
        }
        let id = self.request_id(&parts, route, received)?;
        let requested = head::deadline(&parts.headers);
        let time_limit =
            requested.map_or(route.deadline, |requested| requested.min(route.deadline));
        head::remove_hop_by_hop(&mut parts.headers);
        head::remove_internal_headers(&mut parts.headers);
        parts.headers.remove(hyper::header::EXPECT);
        trace::annotate(&span, "cardamomroad.request_id", id.to_string());
        trace::annotate(&span, "cardamomroad.host", self.name.to_string());
        Ok(Call {
            parts,
            id,
            route: MatchedRoute::new(route),
            sender: Sender::Caller(key),
            key,
            from_region: None,
            received,
            deadline: received + time_limit,
            span,
        })
    }

    fn read_peer(&self, mut parts: Parts, span: HopSpan) -> Result<Call, Refusal> {
        let received = Instant::now();
        let index = self.current_index()?;
        let malformed = || Refusal::not_run(Reason::BadRequestId);
        let headers = &parts.headers;
        let id: RequestId = parse(head::text(headers, wire::REQUEST_ID)).ok_or_else(malformed)?;
        let route_name: ObjectName =
            parse(head::text(headers, wire::ROUTE)).ok_or_else(malformed)?;
        let route = index.route_named(&route_name);
        let route = route.ok_or(Refusal::not_run(Reason::NoRoute))?;
        let organisation: Option<OrganisationName> = parse(head::text(headers, wire::ORGANISATION));
        let from_region = parse(head::text(headers, wire::FROM_REGION));
        let sender = match head::text(headers, wire::FORWARD) {
            Some("home") => Sender::Home(organisation),
            Some("run") => Sender::Run(organisation),
            _ => return Err(malformed()),
        };
        let time_left = head::deadline(headers).unwrap_or(route.deadline);
        head::remove_internal_headers(&mut parts.headers);
        head::remove_hop_by_hop(&mut parts.headers);
        trace::annotate(&span, "cardamomroad.request_id", id.to_string());
        trace::annotate(&span, "cardamomroad.host", self.name.to_string());
        Ok(Call {
            parts,
            id,
            route: MatchedRoute::new(route),
            sender,
            key: None,
            from_region,
            received,
            deadline: received + time_left.min(FORWARDED_DEADLINE_MAX),
            span,
        })
    }

    fn current_index(&self) -> Result<Arc<Index>, Refusal> {
        self.index
            .load_full()
            .ok_or(Refusal::not_run(Reason::NotReady))
    }

    /// Returns the caller's request id, or a generated one if the route is idempotent.
    fn request_id(&self, parts: &Parts, route: &Route, now: Instant) -> Result<RequestId, Refusal> {
        match parts.headers.get(wire::REQUEST_ID) {
            Some(value) => parse(value.to_str().ok()).ok_or(Refusal::not_run(Reason::BadRequestId)),
            None if route.idempotent => Ok(self.generate_id(now)),
            None => Err(Refusal::not_run(Reason::BadRequestId)),
        }
    }

    fn generate_id(&self, now: Instant) -> RequestId {
        let nonce = format!("m{:016x}", rand::random::<u64>());
        RequestId {
            host: self.name.clone(),
            incarnation: self.incarnation,
            stamp: self.stamp(now),
            nonce: nonce
                .parse()
                .unwrap_or_else(|_| unreachable!("hex digits form a valid name")),
        }
    }
}

impl Call {
    /// Returns the fingerprint by which repeated requests are recognised.
    ///
    /// It covers the forwarded organisation, the method, the target, and the length and the
    /// first [`BODY_PREFIX_BYTES`] bytes of the body. A streamed body adds only its length,
    /// if known.
    pub fn suspect(&self, upload: &Upload) -> Suspect {
        let target = self.parts.uri.path_and_query();
        let buffered = upload.buffered();
        let prefix = &buffered[..buffered.len().min(BODY_PREFIX_BYTES)];
        Suspect::of(
            self.forwarded_organisation(),
            self.parts.method.as_str(),
            target.map_or("", |t| t.as_str()),
            upload.length(),
            prefix,
        )
    }
}

fn find_route<'a>(index: &'a Index, parts: &Parts) -> Result<&'a Route, Refusal> {
    let route = index.route(parts.method.as_str(), parts.uri.path());
    route.ok_or(Refusal::not_run(Reason::NoRoute))
}

fn parse<T: std::str::FromStr>(text: Option<&str>) -> Option<T> {
    text.and_then(|t| t.parse().ok())
}

fn key_exposed() -> Refusal {
    Refusal::not_run(Reason::KeyExposed)
}
