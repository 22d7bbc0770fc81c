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
use hyper::StatusCode;
use hyper_util::{
    client::legacy::{
        Client,
        connect::HttpConnector, //
    },
    rt::TokioExecutor,
};
use tokio::time;

use crate::command::CommandError;

/// Time limit of a request, with its whole response.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest response body that is accepted.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Sends a GET request to a host and returns the response body.
///
/// A status other than 200 is an error.
pub(super) async fn get_from_host(host: SocketAddr, target: &str) -> Result<Bytes, CommandError> {
    let answer = time::timeout(ANSWER_TIMEOUT, send_request(host, target)).await;
    answer.map_err(|_| host_error(host, &format!("no answer in {ANSWER_TIMEOUT:?}")))?
}

/// Returns the error for a failed request to a host.
pub(super) fn host_error(host: SocketAddr, cause: &dyn ToString) -> CommandError {
    CommandError::Host {
        host,
        cause: cause.to_string(),
    }
}

async fn send_request(host: SocketAddr, target: &str) -> Result<Bytes, CommandError> {
    let client =
        Client::builder(TokioExecutor::new()).build::<_, Empty<Bytes>>(HttpConnector::new());
    let uri = format!("http://{host}{target}");
    let uri = uri.parse().map_err(|e| host_error(host, &e))?;
    let answer = client.get(uri).await.map_err(|e| host_error(host, &e))?;
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
