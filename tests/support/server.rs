//! The platform's object API over HTTP, backed by an in-memory store.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use cardamomroad::{
    error::StoreError,
    store::{
        Condition,
        ObjectStore, //
    },
    util::id::Version,
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Method,
    Request,
    Response,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::store::FakeStore;

/// Serves a store on a free port until the runtime shuts down.
pub async fn serve(store: Arc<FakeStore>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let store = store.clone();
            tokio::spawn(async move {
                let service = service_fn(|req| answer(store.clone(), req));
                let connection = http1::Builder::new();
                let _ = connection
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    address
}

/// Answers a call; a lost answer is simulated by closing the connection.
async fn answer(
    store: Arc<FakeStore>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, StoreError> {
    assert!(req.headers().contains_key("x-platform-caller"));
    let path = req.uri().path().to_owned();
    let query = req.uri().query().unwrap_or_default().to_owned();
    let result = match path.strip_prefix("/v1/objects/") {
        Some(key) if req.method() == Method::PUT => put(&store, key, req).await,
        Some(key) => get(&store, key).await,
        None => answer_query(&store, &path, &query).await,
    };
    match result {
        Ok(answer) => Ok(answer),
        Err(StoreError::Conflict { current, .. }) => {
            let builder = Response::builder().status(412);
            let builder = match current {
                Some(version) => builder.header("etag", format!("\"{version}\"")),
                None => builder,
            };
            Ok(builder.body(Full::default()).unwrap())
        }
        Err(StoreError::Refused { status, .. }) => {
            let builder = Response::builder().status(status);
            Ok(builder.body(Full::default()).unwrap())
        }
        Err(e) => Err(e),
    }
}

async fn get(store: &FakeStore, key: &str) -> Result<Response<Full<Bytes>>, StoreError> {
    let Some(object) = store.get(key).await? else {
        let builder = Response::builder().status(404);
        return Ok(builder.body(Full::default()).unwrap());
    };
    let etag = format!("\"{}\"", object.version);
    let builder = Response::builder().header("etag", etag);
    Ok(builder.body(Full::new(object.value)).unwrap())
}

async fn put(
    store: &FakeStore,
    key: &str,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, StoreError> {
    let condition = match req.headers().get("if-match") {
        Some(etag) => {
            let version = etag.to_str().unwrap().trim_matches('"').parse::<Version>();
            Condition::At(version.unwrap())
        }
        None => Condition::Absent,
    };
    let value = req.into_body().collect().await.unwrap().to_bytes();
    let version = store.put(key, value, condition).await?;
    let builder = Response::builder().header("etag", format!("\"{version}\""));
    Ok(builder.body(Full::default()).unwrap())
}

async fn answer_query(
    store: &FakeStore,
    path: &str,
    query: &str,
) -> Result<Response<Full<Bytes>>, StoreError> {
    let field = |name: &str| {
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value)
    };
    let body = match path {
        "/v1/list" => serde_json::to_vec(&store.list(field("prefix")).await?),
        "/v1/watch" => {
            let after = field("after").parse().unwrap();
            let changes = store.watch(field("prefix"), after, Duration::ZERO).await?;
            serde_json::to_vec(&changes)
        }
        _ => serde_json::to_vec(&store.hosts().await?),
    };
    Ok(Response::new(Full::new(body.unwrap().into())))
}
