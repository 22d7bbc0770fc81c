//! Helpers around `hyper`: answers, query parameters, and a client for single calls.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    client::conn::http1, //
    header::{
        CONTENT_TYPE,
        HOST, //
    },
};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio::net::TcpStream;

use crate::error::StandinError;

/// An answer whose body is held in memory.
pub type Answer = Response<Full<Bytes>>;

/// Returns an answer with a body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}

/// Returns an answer with a value as JSON, or status 500 if the value cannot be serialised.
pub fn json(value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut answer = answer(StatusCode::OK, body);
            let json = hyper::header::HeaderValue::from_static("application/json");
            answer.headers_mut().insert(CONTENT_TYPE, json);
            answer
        }
        Err(e) => answer(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Returns the percent-decoded value of the first query parameter with a name.
pub fn query(uri: &hyper::Uri, name: &str) -> Option<String> {
    for pair in uri.query()?.split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if key != name {
            continue;
        }
        return Some(percent_decode_str(value).decode_utf8_lossy().into_owned());
    }
    None
}

/// Sends one request on a new connection and returns the complete answer.
pub async fn call(
    address: SocketAddr,
    mut req: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, StandinError> {
    let target = format!("{} {address}{}", req.method(), req.uri());
    let call_error = |cause: String| StandinError::Call {
        target: target.clone(),
        cause,
    };
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| call_error(e.to_string()))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| call_error(e.to_string()))?;
    let connection_task = tokio::spawn(connection);
    if let Ok(host) = address.to_string().parse() {
        req.headers_mut().insert(HOST, host);
    }
    let answer = sender
        .send_request(req)
        .await
        .map_err(|e| call_error(e.to_string()))?;
    let (parts, body) = answer.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|e| call_error(e.to_string()))?;
    connection_task.abort();
    Ok(Response::from_parts(parts, body.to_bytes()))
}

/// Sends a request with an optional JSON body and parses the JSON answer.
pub async fn call_json<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    value: Option<&impl Serialize>,
) -> Result<T, StandinError> {
    let target = format!("{method} {address}{path}");
    let malformed = |cause| StandinError::Json {
        source_name: target.clone(),
        cause,
    };
    let body = match value {
        Some(value) => serde_json::to_vec(value).map_err(malformed)?,
        None => Vec::new(),
    };
    let mut req = Request::new(Full::new(Bytes::from(body)));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().map_err(|e| StandinError::Call {
        target: target.clone(),
        cause: format!("{e}"),
    })?;
    let answer = call(address, req).await?;
    if !answer.status().is_success() {
        return Err(StandinError::Status {
            target,
            status: answer.status().as_u16(),
            body: String::from_utf8_lossy(answer.body()).into_owned(),
        });
    }
    serde_json::from_slice(answer.body()).map_err(malformed)
}

/// Sends a GET request and parses the JSON answer.
pub async fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, StandinError> {
    call_json(address, Method::GET, path, None::<&()>).await
}
