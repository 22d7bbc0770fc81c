//! Answers queries about where a request would go.

use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use tokio::time::Instant;

use super::question::{
    ExplainQuery,
    preview, //
};
use crate::{
    body::ProxyBody,
    edge::{
        dialect::Dialect,
        forward::Gateway, //
    },
    operators::{
        json_response,
        text_response, //
    },
};

/// The path of explanations at the address for other hosts.
pub(super) const EXPLAIN_PATH: &str = "/explain";

/// Answers with what this host would do with the request that a query describes.
pub(super) async fn explain<D: Dialect>(
    gw: &Gateway<D>,
    req: &Request<Incoming>,
) -> Response<ProxyBody> {
    let query = req.uri().query().unwrap_or_default();
    let query = match ExplainQuery::new(query, req.headers()) {
        Ok(query) => query,
        Err(e) => return text_response(StatusCode::BAD_REQUEST, &format!("{e}\n")),
    };
    let cfg = gw.configuration.load_full();
    let preview = preview(cfg.as_deref(), &query, Instant::now());
    let Ok(explanation) = gw.dispatcher.send(preview).await else {
        log::error!(event = "actor-gone"; "");
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "the host is stopping\n");
    };
    gw.metrics.explanations.inc();
    if gw.ended_lines.allows("explained") {
        log::info!(event = "explained", decision:% = explanation.decision; "");
    }
    json_response(&explanation)
}
