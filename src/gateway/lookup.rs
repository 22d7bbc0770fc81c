//! Serves look-ups of entry hosts on the address for callers.

use std::net::IpAddr;

use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};

use crate::{
    body::ProxyBody,
    gateway::{
        Gateway,
        head, //
    },
    operators,
    refusal::{
        Reason,
        Refusal, //
    },
    util::id::ServiceName,
};

/// The parameters of a look-up; both are optional.
#[derive(Debug, Default)]
struct Query {
    service: Option<ServiceName>,
    client: Option<IpAddr>,
}

impl Query {
    /// Parses a query string, ignoring unknown parameters; `None` if a value is malformed.
    fn parse(query: &str) -> Option<Self> {
        let mut q = Self::default();
        for pair in query.split('&') {
            match pair.split_once('=') {
                Some(("service", name)) => q.service = Some(name.parse().ok()?),
                Some(("client", address)) => q.client = Some(address.parse().ok()?),
                _ => continue,
            }
        }
        Some(q)
    }
}

/// Answers a look-up from the current table.
pub fn serve(gw: &Gateway, req: &Request<Incoming>, client: IpAddr) -> Response<ProxyBody> {
    let Some(query) = Query::parse(req.uri().query().unwrap_or_default()) else {
        return operators::text_response(
            StatusCode::BAD_REQUEST,
            "use service=NAME and, where the caller asks for a client, client=IP\n",
        );
    };
    let Some(table) = gw.table.load_full() else {
        return head::refusal(&Refusal::not_run(Reason::NotReady), None, &gw.name);
    };
    let known = |name: &ServiceName| {
        let index = gw.index.load();
        index.as_ref().is_some_and(|i| i.has_service(name))
    };
    if query.service.as_ref().is_some_and(|name| !known(name)) {
        return operators::text_response(StatusCode::NOT_FOUND, "no such service\n");
    }
    gw.metrics.lookups.inc();
    let answer = table.answer(query.client.unwrap_or(client), None);
    operators::json_response(&answer)
}
