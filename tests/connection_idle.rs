//! Reuse of idle connections to upstreams that drop them earlier than they announce.

use std::time::Duration;

use bytes::Bytes;
use cardamomroad::{
    body::full,
    connection::{
        Connections,
        IdleResetDetector,
        SendError, //
    },
};
use http_body_util::BodyExt;
use hyper::Request;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        Instant,
        sleep, //
    },
};

/// The idle time after which the test server drops a connection.
const IDLE_LIMIT: Duration = Duration::from_millis(150);
/// The most requests that may be lost before idle connections are no longer reused.
const LOSSES_MAX: u32 = 3;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers requests, but drops the connection if one arrives after it was idle for too long.
async fn serve_and_drop_idle(mut stream: TcpStream) {
    let mut buf = vec![0; 4096];
    loop {
        let waiting = Instant::now();
        let Ok(1..) = stream.read(&mut buf).await else {
            return;
        };
        if waiting.elapsed() > IDLE_LIMIT {
            return;
        }
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

async fn send_request(
    connections: &Connections,
    address: std::net::SocketAddr,
) -> Result<(), SendError> {
    let req = Request::builder()
        .header("host", "desk.example")
        .body(full(Bytes::new()))
        .expect("a request");
    let exchange = connections.send(address, req).await?;
    let body = exchange.res.into_body().collect().await;
    assert_eq!(body.expect("a body").to_bytes(), &b"ok"[..]);
    exchange.lease.give_back();
    Ok(())
}

#[tokio::test]
async fn connections_that_are_forgotten_lose_few_requests() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_and_drop_idle(stream));
        }
    });
    let connections = Connections::new();
    let mut lost = 0;
    for _ in 0..LOSSES_MAX + 3 {
        lost += match send_request(&connections, address).await {
            Ok(()) => 0,
            Err(SendError::Lost { .. }) => 1,
            Err(e) => panic!("{e}"),
        };
        // Makes sure that an idle connection is in the pool for the next request.
        while lost < LOSSES_MAX && send_request(&connections, address).await.is_err() {}
        sleep(IDLE_LIMIT * 2).await;
    }
    assert!(lost <= LOSSES_MAX, "{lost} requests were lost");
}

#[test]
fn losses_for_other_causes_leave_rested_connections_in_use() {
    let now = Instant::now();
    let (idle_time, round_trip) = (Duration::from_millis(800), Duration::from_millis(70));
    let mut idle_resets = IdleResetDetector::default();
    for _ in 0..10 {
        idle_resets.record_loss(now, idle_time, Duration::from_millis(100), round_trip);
        idle_resets.record_loss(now, Duration::from_millis(20), round_trip, round_trip);
        assert!(
            idle_resets.allows_reuse(now, idle_time),
            "these took longer than a round trip, or were hardly idle"
        );
    }
    for _ in 0..10 {
        idle_resets.record_loss(now, idle_time, round_trip, round_trip);
        assert!(
            idle_resets.allows_reuse(now, idle_time),
            "one reset in six requests may have other causes"
        );
        (0..5).for_each(|_| idle_resets.record_answer(idle_time));
    }
    (0..3).for_each(|_| idle_resets.record_loss(now, idle_time, round_trip, round_trip));
    assert!(!idle_resets.allows_reuse(now, idle_time));
    assert!(idle_resets.allows_reuse(now, Duration::from_millis(50)));
    assert!(idle_resets.allows_reuse(now + Duration::from_secs(11), idle_time));
}
