//! Tests that each switch of the store stand-in has its documented effect.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use cardamomroad::{
    store::{
        Condition,
        ListedHost, //
    },
    util::id::Version,
};
use cardamomroad_standins::{
    error::StandinError,
    http::call,
    store::{
        CallKind,
        Stale,
        Store,
        SwitchChange,
        spawn, //
    },
};
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use tokio::time::Instant;

async fn send(
    address: SocketAddr,
    caller: &str,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &'static str,
) -> Result<Response<Bytes>, StandinError> {
    let mut req = Request::builder().method(method).uri(path);
    req = req.header("x-platform-caller", caller);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let body = Full::new(Bytes::from_static(body.as_bytes()));
    call(address, req.body(body).unwrap()).await
}

async fn get(address: SocketAddr, caller: &str, path: &str) -> Response<Bytes> {
    send(address, caller, ("GET", path), &[], "").await.unwrap()
}

fn put_all(store: &Store, key: &str, values: &[&'static str]) -> Vec<Version> {
    let mut versions = Vec::new();
    for value in values {
        let condition = versions.last().copied();
        let condition = condition.map_or(Condition::Absent, Condition::At);
        let value = Bytes::from_static(value.as_bytes());
        versions.push(store.put(key, value, condition).unwrap());
    }
    versions
}

#[tokio::test]
async fn writes_are_conditional_under_one_version_counter() {
    let (_store, address) = spawn().await.unwrap();
    let put = ("PUT", "/v1/objects/a/b");
    let absent = [("if-none-match", "*")];
    let first = send(address, "t", put, &absent, "1").await.unwrap();
    assert_eq!(first.status(), StatusCode::OK);
    assert_eq!(first.headers()["etag"], "\"1\"");
    let again = send(address, "t", put, &absent, "2").await.unwrap();
    assert_eq!(again.status(), StatusCode::PRECONDITION_FAILED);
    assert_eq!(again.headers()["etag"], "\"1\"");
    let at = [("if-match", "\"1\"")];
    let second = send(address, "t", put, &at, "2").await.unwrap();
    assert_eq!(second.headers()["etag"], "\"2\"");
    let late = send(address, "t", put, &at, "3").await.unwrap();
    assert_eq!(late.status(), StatusCode::PRECONDITION_FAILED);
    let blind = send(address, "t", put, &[], "3").await.unwrap();
    assert_eq!(blind.status(), StatusCode::PRECONDITION_REQUIRED);
    let read = get(address, "t", "/v1/objects/a/b").await;
    assert_eq!(read.body().as_ref(), b"2");
    let missing = get(address, "t", "/v1/objects/a/c").await;
    assert_eq!(missing.status(), StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn watch_answers_on_change_and_is_counted_once() {
    let (store, address) = spawn().await.unwrap();
    put_all(&store, "other", &["1"]);
    let path = "/v1/watch?prefix=a%2F&after=0&wait_ms=60000";
    let watching = tokio::spawn(async move { get(address, "relay", path).await });
    let watched = |c: &cardamomroad_standins::store::CallCount| {
        c.caller == "relay" && c.kind == CallKind::Watch && c.calls == 1
    };
    while !store.counts().iter().any(watched) {
        tokio::task::yield_now().await;
    }
    put_all(&store, "a/x", &["1"]);
    let answer = watching.await.unwrap();
    let text = r#"{"changes":[{"key":"a/x","version":2}],"version":2}"#;
    assert_eq!(answer.body().as_ref(), text.as_bytes());
    assert!(store.counts().iter().any(watched), "{:?}", store.counts());
    let empty = get(address, "t", "/v1/watch?prefix=a/&after=2&wait_ms=1").await;
    assert_eq!(empty.body().as_ref(), br#"{"changes":[],"version":2}"#);
}

#[tokio::test]
async fn down_refuses_without_running() {
    let (store, address) = spawn().await.unwrap();
    store.switch(SwitchChange {
        down: Some(true),
        ..SwitchChange::default()
    });
    let put = ("PUT", "/v1/objects/a");
    let refused = send(address, "t", put, &[("if-none-match", "*")], "1").await;
    assert_eq!(refused.unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(store.get("a"), None);
    store.switch(SwitchChange {
        keys: Some(vec!["cardamomroad/*".to_owned()]),
        ..SwitchChange::default()
    });
    let other = send(address, "t", put, &[("if-none-match", "*")], "1").await;
    assert_eq!(other.unwrap().status(), StatusCode::OK);
    let touched = get(address, "t", "/v1/objects/cardamomroad/head").await;
    assert_eq!(touched.status(), StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn lost_answers_leave_the_write_in_effect() {
    let (store, address) = spawn().await.unwrap();
    store.switch(SwitchChange {
        lose_answers: Some(1),
        ..SwitchChange::default()
    });
    let put = ("PUT", "/v1/objects/a");
    let lost = send(address, "t", put, &[("if-none-match", "*")], "1").await;
    assert!(matches!(lost, Err(StandinError::Call { .. })), "{lost:?}");
    assert_eq!(store.get("a").unwrap().value.as_ref(), b"1");
    let next = send(address, "t", put, &[("if-match", "\"1\"")], "2").await;
    assert_eq!(next.unwrap().status(), StatusCode::OK);
}

#[tokio::test]
async fn stale_reads_show_the_past_and_writes_do_not() {
    let (store, address) = spawn().await.unwrap();
    let versions = put_all(&store, "a", &["1", "2"]);
    store.switch(SwitchChange {
        stale: Some(Stale::Previous),
        ..SwitchChange::default()
    });
    let read = get(address, "t", "/v1/objects/a").await;
    assert_eq!(
        (read.body().as_ref(), &read.headers()["etag"]),
        (&b"1"[..], &"\"1\"".parse().unwrap())
    );
    let stale_write = store.put("a", Bytes::new(), Condition::At(versions[0]));
    assert_eq!(stale_write.unwrap_err().current, Some(versions[1]));
    store.switch(SwitchChange {
        freeze: Some(true),
        ..SwitchChange::default()
    });
    store
        .put("a", Bytes::from_static(b"3"), Condition::At(versions[1]))
        .unwrap();
    put_all(&store, "b", &["1"]);
    assert_eq!(
        get(address, "t", "/v1/objects/a").await.body().as_ref(),
        b"2"
    );
    assert_eq!(
        get(address, "t", "/v1/objects/b").await.status(),
        StatusCode::NOT_FOUND
    );
    let list = get(address, "t", "/v1/list?prefix=").await;
    assert_eq!(list.body().as_ref(), br#"[{"key":"a","version":2}]"#);
    store.switch(SwitchChange {
        freeze: Some(false),
        ..SwitchChange::default()
    });
    assert_eq!(
        get(address, "t", "/v1/objects/a").await.body().as_ref(),
        b"3"
    );
}

#[tokio::test]
async fn cuts_and_hangs_touch_only_their_callers() {
    let (store, address) = spawn().await.unwrap();
    put_all(&store, "a", &["1"]);
    store.switch(SwitchChange {
        cut: Some(vec!["bac-a-*".to_owned()]),
        hang: Some(vec!["nam-a-1".to_owned()]),
        ..SwitchChange::default()
    });
    let read = ("GET", "/v1/objects/a");
    let cut = send(address, "bac-a-2", read, &[], "").await;
    assert!(matches!(cut, Err(StandinError::Call { .. })), "{cut:?}");
    assert_eq!(
        get(address, "nam-a-2", "/v1/objects/a").await.status(),
        StatusCode::OK
    );
    let hung = tokio::spawn(async move { send(address, "nam-a-1", read, &[], "").await });
    while !store.counts().iter().any(|c| c.caller == "nam-a-1") {
        tokio::task::yield_now().await;
    }
    assert!(!hung.is_finished());
    store.switch(SwitchChange {
        hang: Some(Vec::new()),
        ..SwitchChange::default()
    });
    let hung = hung.await.unwrap();
    assert!(matches!(hung, Err(StandinError::Call { .. })), "{hung:?}");
}

#[tokio::test]
async fn a_cut_ends_a_watch_that_waits() {
    let (store, address) = spawn().await.unwrap();
    let path = "/v1/watch?prefix=a&after=0&wait_ms=60000";
    let watching = tokio::spawn(async move { send(address, "r", ("GET", path), &[], "").await });
    while store.counts().is_empty() {
        tokio::task::yield_now().await;
    }
    store.switch(SwitchChange {
        cut: Some(vec!["*".to_owned()]),
        ..SwitchChange::default()
    });
    let cut = watching.await.unwrap();
    assert!(matches!(cut, Err(StandinError::Call { .. })), "{cut:?}");
}

#[tokio::test]
async fn slow_delays_every_call() {
    let (store, address) = spawn().await.unwrap();
    store.switch(SwitchChange {
        slow_ms: Some(30),
        ..SwitchChange::default()
    });
    let started = Instant::now();
    get(address, "t", "/v1/list?prefix=").await;
    assert!(started.elapsed() >= Duration::from_millis(30));
}

#[tokio::test]
async fn hosts_list_lags() {
    let (store, address) = spawn().await.unwrap();
    let host: ListedHost = serde_json::from_str(
        r#"{"name":"a-1","zone":"a","callers":"127.0.0.1:1","peers":"127.0.0.1:2","state":"live"}"#,
    )
    .unwrap();
    store.switch(SwitchChange {
        hosts_lag_ms: Some(3_600_000),
        ..SwitchChange::default()
    });
    store.set_hosts(vec![host.clone()]);
    assert_eq!(get(address, "t", "/v1/hosts").await.body().as_ref(), b"[]");
    store.switch(SwitchChange {
        hosts_lag_ms: Some(0),
        ..SwitchChange::default()
    });
    let listed = get(address, "t", "/v1/hosts").await;
    let listed: Vec<ListedHost> = serde_json::from_slice(listed.body()).unwrap();
    assert_eq!(listed, vec![host]);
    let counts = Arc::clone(&store).counts();
    assert_eq!(counts[0].calls, 2);
}
