//! HTTP endpoints of the operators' address: metrics, readiness, status and explanations.

use std::{
    fmt,
    sync::Arc, //
};

use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming, //
    header::{
        self,
        HeaderValue, //
    },
};
use serde::Serialize;

use crate::{
    body::{
        ProxyBody,
        full, //
    },
    explain::Record,
    gateway::Gateway,
    host::message::{
        Explain,
        GetStatus, //
    },
};

/// Content type of metrics, the OpenMetrics text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Content type of the status.
const JSON_CONTENT_TYPE: &str = "application/json";
/// Content type of explanations, one JSON record per line.
const JSON_LINES_CONTENT_TYPE: &str = "application/jsonl";

/// Handles a request on the operators' address.
pub async fn serve(gw: Arc<Gateway>, req: Request<Incoming>) -> Response<ProxyBody> {
    let query = req.uri().query().unwrap_or_default();
    match req.uri().path() {
        "/metrics" => metrics_response(gw.metrics.encode()),
        "/ready" => ready(&gw),
        "/status" => match gw.host.send(GetStatus).await {
            Ok(status) => json_response(&status),
            Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "the host is stopping\n"),
        },
        "/explain" => explain(&gw, query).await,
        _ => text_response(
            StatusCode::NOT_FOUND,
            "use /metrics, /ready, /status or /explain\n",
        ),
    }
}

/// Returns a response with encoded metrics, or status 500 if encoding failed.
pub fn metrics_response(encoded: Result<String, fmt::Error>) -> Response<ProxyBody> {
    match encoded {
        Ok(text) => response_with_type(StatusCode::OK, METRICS_CONTENT_TYPE, text),
        Err(e) => {
            log::error!(event = "metrics-unwritable", cause:% = e; "");
            text_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the metrics could not be written\n",
            )
        }
    }
}

/// Handles `/ready`: status 200 once the host has a configuration, 503 before.
fn ready(gw: &Gateway) -> Response<ProxyBody> {
    match gw.index.load().as_deref() {
        Some(index) => {
            let text = format!("ready generation={}\n", index.generation());
            text_response(StatusCode::OK, &text)
        }
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n"),
    }
}

/// Handles `/explain`: the host's recorded decisions that match the query.
async fn explain(gw: &Gateway, query: &str) -> Response<ProxyBody> {
    let Some(question) = Explain::from_query(query) else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "use /explain?request=ID, /explain?refusals or /explain?plan\n",
        );
    };
    match gw.host.send(question).await {
        Ok(records) => json_lines(&records),
        Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "the host is stopping\n"),
    }
}

fn json_lines(records: &[Record]) -> Response<ProxyBody> {
    match Record::to_json_lines(records) {
        Ok(lines) => response_with_type(StatusCode::OK, JSON_LINES_CONTENT_TYPE, lines),
        Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e}\n")),
    }
}

/// Returns a JSON response, or status 500 if serialisation failed.
pub fn json_response<T: Serialize>(value: &T) -> Response<ProxyBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => response_with_type(StatusCode::OK, JSON_CONTENT_TYPE, bytes),
        Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e}\n")),
    }
}

/// Returns a plain-text response.
pub fn text_response(status: StatusCode, text: &str) -> Response<ProxyBody> {
    response_with_type(status, "text/plain; charset=utf-8", text.to_owned())
}

/// Returns a response with the given content type.
pub fn response_with_type(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<ProxyBody> {
    let mut res = Response::new(full(body));
    *res.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    res.headers_mut().insert(header::CONTENT_TYPE, value);
    res
}
