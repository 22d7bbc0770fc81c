//! The HTTP server for the object API and the control calls.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use cardamomroad::{
    store::{
        Changes,
        Condition,
        ListedHost, //
    },
    util::id::Version,
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    Method,
    Request,
    StatusCode,
    body::Incoming,
    header::{
        ETAG,
        HeaderMap,
        HeaderValue,
        IF_MATCH,
        IF_NONE_MATCH, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::{
    net::TcpListener,
    time::Instant, //
};

use super::{
    CallKind,
    Store,
    SwitchChange, //
};
use crate::{
    error::{
        DropReason,
        StandinError, //
    },
    http::{
        Answer,
        answer,
        json,
        query, //
    },
    process,
};

/// The header that carries the caller's name.
const CALLER_HEADER: &str = "x-platform-caller";
/// The name under which calls without that header are counted.
const DEFAULT_CALLER: &str = "unnamed";
/// The maximum size of an object's value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// The maximum time that a watch waits.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Serves the object API until the returned future is dropped.
pub async fn serve(listener: TcpListener, store: Arc<Store>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        // Answers are small: Nagle's algorithm would only delay them.
        let _ = stream.set_nodelay(true);
        let store = Arc::clone(&store);
        tokio::spawn(async move {
            let service = service_fn(|req| handle(&store, req));
            // A deliberately dropped answer ends the connection with an error, which is expected.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Serves an empty store on a loopback port, for tests inside one process.
pub async fn spawn() -> Result<(Arc<Store>, SocketAddr), StandinError> {
    let listener = process::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = process::local_address(&listener)?;
    let store = Store::shared();
    tokio::spawn(serve(listener, Arc::clone(&store)));
    Ok((store, address))
}

async fn handle(store: &Store, req: Request<Incoming>) -> Result<Answer, DropReason> {
    if req.uri().path().starts_with("/control/") {
        return Ok(control(store, req).await);
    }
    let Some((kind, target)) = classify(&req) else {
        return Ok(answer(StatusCode::NOT_FOUND, "no such call"));
    };
    let caller = req.headers().get(CALLER_HEADER);
    let caller = caller.and_then(|c| c.to_str().ok());
    let caller = caller.unwrap_or(DEFAULT_CALLER).to_owned();
    store.count(&caller, kind);
    if let Some(refusal) = admit(store, &caller, &target).await? {
        return Ok(refusal);
    }
    match kind {
        CallKind::Get => Ok(get(store, &target)),
        CallKind::Put => put(store, &target, req).await,
        CallKind::List => Ok(json(&store.list(&target).changes)),
        CallKind::Watch => watch(store, &caller, &target, req).await,
        CallKind::Hosts => Ok(json(&store.hosts())),
    }
}

/// Returns the kind of a call and the key or prefix that it names.
fn classify(req: &Request<Incoming>) -> Option<(CallKind, String)> {
    let path = req.uri().path();
    let prefix = || query(req.uri(), "prefix").unwrap_or_default();
    if let Some(key) = path.strip_prefix("/v1/objects/") {
        let key = percent_encoding::percent_decode_str(key);
        let key = key.decode_utf8_lossy().into_owned();
        return match *req.method() {
            Method::GET => Some((CallKind::Get, key)),
            Method::PUT => Some((CallKind::Put, key)),
            _ => None,
        };
    }
    if req.method() != Method::GET {
        return None;
    }
    match path {
        "/v1/list" => Some((CallKind::List, prefix())),
        "/v1/watch" => Some((CallKind::Watch, prefix())),
        "/v1/hosts" => Some((CallKind::Hosts, String::new())),
        _ => None,
    }
}

/// Applies the faults that act before a call runs. Returns the refusal to send, if any.
async fn admit(store: &Store, caller: &str, target: &str) -> Result<Option<Answer>, DropReason> {
    let mut changed_rx = store.changed.subscribe();
    let switches = store.switches();
    if switches.slow_ms > 0 && switches.applies_to(target) {
        tokio::time::sleep(Duration::from_millis(switches.slow_ms)).await;
    }
    loop {
        let switches = store.switches();
        if switches.is_cut(caller) {
            return Err(DropReason::Cut);
        }
        if switches.is_hung(caller) {
            store.wait_for_change(&mut changed_rx).await;
            if !store.switches().is_hung(caller) {
                return Err(DropReason::Cut);
            }
            continue;
        }
        if switches.down && switches.applies_to(target) {
            return Ok(Some(answer(StatusCode::SERVICE_UNAVAILABLE, "down")));
        }
        return Ok(None);
    }
}

fn get(store: &Store, key: &str) -> Answer {
    match store.get(key) {
        Some(object) => with_version(answer(StatusCode::OK, object.value), Some(object.version)),
        None => answer(StatusCode::NOT_FOUND, "no such object"),
    }
}

async fn put(store: &Store, key: &str, req: Request<Incoming>) -> Result<Answer, DropReason> {
    let Some(condition) = condition(req.headers()) else {
        let text = "a write needs if-match: \"VERSION\" or if-none-match: *";
        return Ok(answer(StatusCode::PRECONDITION_REQUIRED, text));
    };
    let body = Limited::new(req.into_body(), MAX_VALUE_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        return Ok(answer(StatusCode::PAYLOAD_TOO_LARGE, "value too large"));
    };
    match store.put(key, body.to_bytes(), condition) {
        Ok(_) if store.take_lost_answer(key) => Err(DropReason::AnswerLost),
        Ok(version) => Ok(with_version(answer(StatusCode::OK, ""), Some(version))),
        Err(conflict) => {
            let refusal = answer(StatusCode::PRECONDITION_FAILED, conflict.to_string());
            Ok(with_version(refusal, conflict.current))
        }
    }
}

async fn watch(
    store: &Store,
    caller: &str,
    prefix: &str,
    req: Request<Incoming>,
) -> Result<Answer, DropReason> {
    let number = |name| query(req.uri(), name).and_then(|n| n.parse::<u64>().ok());
    let after = Version(number("after").unwrap_or_default());
    let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
    let end = Instant::now() + wait.min(MAX_WATCH_WAIT);
    let mut changed_rx = store.changed.subscribe();
    loop {
        if let Some(refusal) = admit(store, caller, prefix).await? {
            return Ok(refusal);
        }
        let changes: Changes = store.changes(prefix, after);
        if !changes.changes.is_empty() || Instant::now() >= end {
            return Ok(json(&changes));
        }
        tokio::select! {
            () = store.wait_for_change(&mut changed_rx) => {}
            () = tokio::time::sleep_until(end) => {}
        }
    }
}

fn condition(headers: &HeaderMap) -> Option<Condition> {
    if headers.get(IF_NONE_MATCH).is_some_and(|v| v == "*") {
        return Some(Condition::Absent);
    }
    let version = headers.get(IF_MATCH)?.to_str().ok()?;
    let version = version.strip_prefix('"')?.strip_suffix('"')?;
    version.parse().ok().map(Condition::At)
}

fn with_version(mut answer: Answer, version: Option<Version>) -> Answer {
    let tag = version.and_then(|v| HeaderValue::try_from(format!("\"{v}\"")).ok());
    if let Some(tag) = tag {
        answer.headers_mut().insert(ETAG, tag);
    }
    answer
}

async fn control(store: &Store, req: Request<Incoming>) -> Answer {
    let call = (req.method().clone(), req.uri().path().to_owned());
    let body = match req.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => return answer(StatusCode::BAD_REQUEST, e.to_string()),
    };
    match (call.0.as_str(), call.1.as_str()) {
        ("GET", "/control/switch") => json(&store.switches()),
        ("POST", "/control/switch") => with_json(&body, |change: SwitchChange| {
            json(&store.switch(change)) //
        }),
        ("GET", "/control/counts") => json(&store.counts()),
        ("DELETE", "/control/counts") => {
            store.clear_counts();
            json(&store.counts())
        }
        ("PUT", "/control/hosts") => with_json(&body, |hosts: Vec<ListedHost>| {
            store.set_hosts(hosts);
            json(&store.hosts())
        }),
        _ => answer(StatusCode::NOT_FOUND, "no such control call"),
    }
}

fn with_json<T: DeserializeOwned>(body: &Bytes, run: impl FnOnce(T) -> Answer) -> Answer {
    match serde_json::from_slice(body) {
        Ok(value) => run(value),
        Err(e) => answer(StatusCode::BAD_REQUEST, e.to_string()),
    }
}
