//! HTTP client of the platform's object API.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::Incoming, //
    header::{
        ETAG,
        HeaderMap,
        HeaderValue,
        IF_MATCH,
        IF_NONE_MATCH, //
    },
};
use hyper_util::{
    client::legacy::{
        Client,
        connect::HttpConnector, //
    },
    rt::{
        TokioExecutor,
        TokioTimer, //
    },
};
use serde::de::DeserializeOwned;
use tokio::time;

use crate::{
    error::StoreError,
    store::{
        Change,
        Changes,
        Condition,
        ListedHost,
        Object,
        ObjectStore, //
    },
    util::id::Version,
    wire::PLATFORM_CALLER,
};

/// The default timeout of a call; a watch gets its own wait in addition.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A client of the platform's object API.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: SocketAddr,
    caller: HeaderValue,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

struct BufferedResponse {
    status: StatusCode,
    headers: HeaderMap,
    value: Bytes,
}

impl HttpStore {
    /// Returns a client of the store at an address. Each call carries `caller`
    /// in a header, under which the platform counts it.
    pub fn new(address: SocketAddr, caller: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        let caller = HeaderValue::from_str(caller);
        Self {
            address,
            caller: caller.unwrap_or_else(|_| HeaderValue::from_static("unnamed")),
            timeout: CALL_TIMEOUT,
            client,
        }
    }

    /// Sets the timeout of a call, by default [`CALL_TIMEOUT`].
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    async fn call(
        &self,
        key: &str,
        req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<BufferedResponse, StoreError> {
        let limit = self.timeout.saturating_add(wait);
        let response = time::timeout(limit, self.exchange(req)).await;
        let response =
            response.map_err(|_| self.unanswered(&format!("no answer in {limit:?}")))??;
        match response.status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(response),
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict {
                key: key.to_owned(),
                current: version(key, &response.headers).ok(),
            }),
            status if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() => {
                Err(StoreError::Refused {
                    key: key.to_owned(),
                    status: status.as_u16(),
                })
            }
            status => Err(self.unanswered(&format!("status {status}"))),
        }
    }

    async fn exchange(
        &self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<BufferedResponse, StoreError> {
        req.headers_mut()
            .insert(PLATFORM_CALLER, self.caller.clone());
        let response: Response<Incoming> = self
            .client
            .request(req)
            .await
            .map_err(|e| self.unanswered(&ErrorChain(&e)))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|e| self.unanswered(&e))?;
        Ok(BufferedResponse {
            status: head.status,
            headers: head.headers,
            value: body.to_bytes(),
        })
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        target: &str,
        wait: Duration,
    ) -> Result<T, StoreError> {
        let req = self.request(Method::GET, target, Bytes::new())?;
        let response = self.call(target, req, wait).await?;
        if response.status != StatusCode::OK {
            return Err(StoreError::Refused {
                key: target.to_owned(),
                status: response.status.as_u16(),
            });
        }
        serde_json::from_slice(&response.value).map_err(|e| malformed(target, &e))
    }

    fn request(
        &self,
        method: Method,
        target: &str,
        value: Bytes,
    ) -> Result<Request<Full<Bytes>>, StoreError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{target}", self.address))
            .body(Full::new(value))
            .map_err(|e| malformed(target, &e))
    }

    fn unanswered(&self, cause: &dyn ToString) -> StoreError {
        StoreError::Unanswered {
            address: self.address.to_string(),
            cause: cause.to_string(),
        }
    }
}

impl ObjectStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let req = self.request(Method::GET, &object_target(key), Bytes::new())?;
        let response = self.call(key, req, Duration::ZERO).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(Object {
            version: version(key, &response.headers)?,
            value: response.value,
        }))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Version, StoreError> {
        let mut req = self.request(Method::PUT, &object_target(key), value)?;
        let headers = req.headers_mut();
        match condition {
            Condition::Absent => headers.insert(IF_NONE_MATCH, HeaderValue::from_static("*")),
            Condition::At(version) => headers.insert(IF_MATCH, etag(version)),
        };
        let response = self.call(key, req, Duration::ZERO).await?;
        if response.status != StatusCode::OK {
            return Err(StoreError::Refused {
                key: key.to_owned(),
                status: response.status.as_u16(),
            });
        }
        version(key, &response.headers)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Change>, StoreError> {
        let target = format!("/v1/list?prefix={prefix}");
        self.get_json(&target, Duration::ZERO).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let wait_ms = wait.as_millis();
        let target = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        self.get_json(&target, wait).await
    }

    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        self.get_json("/v1/hosts", Duration::ZERO).await
    }
}

/// Displays an error followed by its chain of sources.
struct ErrorChain<'a>(&'a (dyn std::error::Error + 'static));

impl std::fmt::Display for ErrorChain<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)?;
        let mut source = self.0.source();
        while let Some(cause) = source {
            write!(f, ": {cause}")?;
            source = cause.source();
        }
        Ok(())
    }
}

fn object_target(key: &str) -> String {
    format!("/v1/objects/{key}")
}

fn etag(version: Version) -> HeaderValue {
    HeaderValue::from_str(&format!("\"{version}\""))
        .unwrap_or_else(|_| HeaderValue::from_static("\"0\""))
}

fn version(key: &str, headers: &HeaderMap) -> Result<Version, StoreError> {
    let etag = headers.get(ETAG).and_then(|value| value.to_str().ok());
    let text = etag.map(|etag| etag.trim_matches('"'));
    let version = text.and_then(|text| text.parse().ok());
    version.ok_or_else(|| malformed(key, &"no version in its etag"))
}

fn malformed(key: &str, cause: &dyn ToString) -> StoreError {
    StoreError::Malformed {
        key: key.to_owned(),
        cause: cause.to_string(),
    }
}
