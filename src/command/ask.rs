//! Questions to an entry host's operators' address.

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

/// The longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest answer that is read.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Returns a host's answer to a question.
pub(super) async fn ask(host: SocketAddr, target: &str) -> Result<Bytes, CommandError> {
    let answer = time::timeout(ANSWER_TIMEOUT, exchange(host, target)).await;
    answer.map_err(|_| failed(host, &format!("no answer in {ANSWER_TIMEOUT:?}")))?
}

/// Returns the error of a host that did not answer as it should.
pub(super) fn failed(host: SocketAddr, cause: &dyn ToString) -> CommandError {
    CommandError::Host {
        host,
        cause: cause.to_string(),
    }
}

async fn exchange(host: SocketAddr, target: &str) -> Result<Bytes, CommandError> {
    let client =
        Client::builder(TokioExecutor::new()).build::<_, Empty<Bytes>>(HttpConnector::new());
    let uri = format!("http://{host}{target}");
    let uri = uri.parse().map_err(|e| failed(host, &e))?;
    let answer = client.get(uri).await.map_err(|e| failed(host, &e))?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), ANSWER_MAX_BYTES);
    let body = body.collect().await.map_err(|e| failed(host, &e))?;
    let body = body.to_bytes();
    if status != StatusCode::OK {
        let text = String::from_utf8_lossy(&body);
        return Err(failed(host, &format!("status {status}: {}", text.trim())));
    }
    Ok(body)
}
