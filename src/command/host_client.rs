//! HTTP client for the operators' address of an entry host.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Empty,
    Limited, //
};
use hyper::{
    Request,
    StatusCode, //
};
use hyper_util::{
    client::legacy::{
        Client,
        connect::HttpConnector, //
    },
    rt::TokioExecutor,
};
use tokio::time;

use crate::{
    command::CommandError,
    wire, //
};

/// Time limit of a request, with its whole response.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest response body that is accepted.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Sends a GET request to a host and returns the response body.
///
/// A status other than 200 is an error.
pub(super) async fn get_from_host(host: SocketAddr, target: &str) -> Result<Bytes, CommandError> {
    get_from_host_with_key(host, target, None).await
}

/// As [`get_from_host`], with a caller's key in a header.
pub(super) async fn get_from_host_with_key(
    host: SocketAddr,
    target: &str,
    key: Option<&str>,
) -> Result<Bytes, CommandError> {
    let answer = time::timeout(ANSWER_TIMEOUT, send_request(host, target, key)).await;
    answer.map_err(|_| host_error(host, &format!("no answer in {ANSWER_TIMEOUT:?}")))?
}

/// Returns the error for a failed request to a host.
pub(super) fn host_error(host: SocketAddr, cause: &dyn ToString) -> CommandError {
    CommandError::Host {
        host,
        cause: cause.to_string(),
    }
}

async fn send_request(
    host: SocketAddr,
    target: &str,
    key: Option<&str>,
) -> Result<Bytes, CommandError> {
    let client =
        Client::builder(TokioExecutor::new()).build::<_, Empty<Bytes>>(HttpConnector::new());
    let mut req = Request::get(format!("http://{host}{target}"));
    if let Some(key) = key {
        req = req.header(wire::KEY, key);
    }
    let req = req.body(Empty::new()).map_err(|e| host_error(host, &e))?;
    let answer = client
        .request(req)
        .await
        .map_err(|e| host_error(host, &e))?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), ANSWER_MAX_BYTES);
    let body = body.collect().await.map_err(|e| host_error(host, &e))?;
    let body = body.to_bytes();
    if status != StatusCode::OK {
        let text = String::from_utf8_lossy(&body);
        return Err(host_error(
            host,
            &format!("status {status}: {}", text.trim()),
        ));
    }
    Ok(body)
}
