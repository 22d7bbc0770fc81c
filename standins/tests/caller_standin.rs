//! Tests that the caller stand-in caches look-up answers, retries through other
//! hosts and keeps request ids.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use cardamomroad_standins::{
    caller::{
        Ask,
        Caller,
        LookupAnswer,
        LookupHost,
        Options as CallerOptions,
        Repeats,
        Verdict, //
    },
    error::DropReason,
    http::json,
    upstream::{
        Behaviour,
        Options,
        SwitchChange,
        Upstream,
        spawn, //
    },
};
use hyper::{
    Request,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// A look-up server that always answers with the same hosts.
struct LookupServer {
    address: SocketAddr,
    lookups: Arc<AtomicU64>,
}

async fn lookup_server(ttl_ms: u64, addresses: &[SocketAddr]) -> LookupServer {
    let mut hosts = Vec::new();
    for (i, address) in addresses.iter().enumerate() {
        hosts.push(LookupHost {
            host: format!("h-{i}"),
            zone: "a".to_owned(),
            address: *address,
            weight: if i == 0 { 100 } else { 0 },
            incarnation: 7,
            stamp: 42,
        });
    }
    let answer = LookupAnswer {
        generation: 1,
        ttl_ms,
        hosts,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let lookups = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&lookups);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let service = service_fn(|_: Request<Incoming>| {
                count.fetch_add(1, Ordering::Relaxed);
                let answer = json(&answer);
                async move { Ok::<_, DropReason>(answer) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The caller closes after each look-up.
            let _ = served.await;
        }
    });
    LookupServer { address, lookups }
}

fn options(lookup_server: &LookupServer) -> CallerOptions {
    CallerOptions::new("c", "dispatch", &[lookup_server.address])
}

async fn broken_and_sound() -> [(Arc<Upstream>, SocketAddr); 2] {
    let broken = spawn(Options::default()).await.unwrap();
    let behaviour = Behaviour {
        length: 100_000,
        break_after: Some(1000),
        ..Behaviour::default()
    };
    broken.0.switch(SwitchChange {
        behaviour: Some(behaviour),
        ..SwitchChange::default()
    });
    [broken, spawn(Options::default()).await.unwrap()]
}

#[tokio::test]
async fn a_lookup_is_cached_for_its_time_to_live_and_overstayed_on_demand() {
    let (_upstream, address) = spawn(Options::default()).await.unwrap();
    for (ttl_ms, overstay, lookups) in [(3_600_000, 0, 1), (0, 0, 3), (0, 3600, 1)] {
        let lookup_server = lookup_server(ttl_ms, &[address]).await;
        let overstay = Duration::from_secs(overstay);
        let caller = Caller::new(options(&lookup_server).with_overstay(overstay));
        for _ in 0..3 {
            let reply = caller.send(&Ask::get("/a")).await.unwrap();
            assert!(reply.receipt().is_some(), "{reply}");
        }
        assert_eq!(lookup_server.lookups.load(Ordering::Relaxed), lookups);
        assert_eq!(caller.tally().with_verdict("whole"), 3);
    }
}

#[tokio::test]
async fn idempotent_requests_are_repeated_through_another_host_and_others_are_not() {
    let [(broken, a), (sound, b)] = broken_and_sound().await;
    let lookup_server = lookup_server(3_600_000, &[a, b]).await;
    let caller = Caller::new(options(&lookup_server));
    let reply = caller.send(&Ask::get("/a")).await.unwrap();
    assert!(reply.receipt().is_some(), "{reply}");
    assert_eq!((reply.attempts, reply.address), (2, b));
    let reply = caller.send(&Ask::post("/a")).await.unwrap();
    assert_eq!((reply.attempts, reply.verdict), (1, Verdict::Broken));
    assert_eq!((broken.counts().started, sound.counts().started), (2, 1));
}

#[tokio::test]
async fn a_request_that_must_not_run_twice_keeps_its_id_over_repeats() {
    let [(broken, a), (sound, b)] = broken_and_sound().await;
    let lookup_server = lookup_server(3_600_000, &[a, b]).await;
    let caller = Caller::new(options(&lookup_server).with_repeats(Repeats::SameId));
    let reply = caller.send(&Ask::post("/a")).await.unwrap();
    assert_eq!(reply.attempts, 2);
    let id = broken.entries()[0].id.clone();
    assert!(id.starts_with("h-0/7/42/"), "{id}");
    assert_eq!(sound.entries()[0].id, id);
}
