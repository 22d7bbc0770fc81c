//! Upstreams forget connections that rest, sooner than they say.

use std::time::Duration;

use bytes::Bytes;
use cardamomroad::{
    body::full,
    connection::{
        Connections,
        Forgetting,
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

/// How long a connection may rest before the stand-in forgets it.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(150);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers requests, and drops a connection on which one comes after a rest.
async fn forgetful(mut stream: TcpStream) {
    let mut buf = vec![0; 4096];
    loop {
        let waiting = Instant::now();
        let Ok(1..) = stream.read(&mut buf).await else {
            return;
        };
        if waiting.elapsed() > FORGOTTEN_AFTER {
            return;
        }
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

async fn ask(connections: &Connections, address: std::net::SocketAddr) -> Result<(), SendError> {
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
async fn a_second_request_is_not_lost_on_a_connection_that_rested() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(forgetful(stream));
        }
    });
    let connections = Connections::new();
    ask(&connections, address).await.expect("an answer");
    sleep(FORGOTTEN_AFTER * 2).await;
    let lost = ask(&connections, address).await;
    assert!(matches!(lost, Err(SendError::Lost { .. })), "{lost:?}");
    for _ in 0..3 {
        ask(&connections, address).await.expect("an answer");
        sleep(FORGOTTEN_AFTER * 2).await;
    }
}

#[test]
fn a_loss_after_real_work_says_nothing_of_rest_and_a_quick_one_is_forgotten_in_the_end() {
    let now = Instant::now();
    let rested = Duration::from_millis(800);
    let mut forgetting = Forgetting::default();
    forgetting.lost(now, rested, Duration::from_millis(400));
    assert!(forgetting.allows(now, rested));
    forgetting.lost(now, rested, Duration::from_millis(2));
    assert!(!forgetting.allows(now, rested));
    assert!(forgetting.allows(now, Duration::from_millis(50)));
    assert!(forgetting.allows(now + Duration::from_secs(11), rested));
}
