//! An answer of the store or of a relay without an end was read into memory until the process
//! ended.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use cardamomroad::{
    body::empty,
    connection::{
        CallError,
        Connections, //
    },
};
use hyper::Request;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
    time::timeout,
};

/// The most bytes of bodies that are read at a time.
const BODIES_MAX: usize = 100_000;

/// Serves bodies of `len` bytes that do not end until the other side closes the connection.
async fn serve(len: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.read_u8().await.expect("a request");
            let head = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
            stream.write_all(head).await.expect("the head is sent");
            tokio::spawn(async move {
                let sent = stream.write_all(&vec![b'x'; len]).await;
                // Fails once the other side has closed the connection.
                drop((sent, stream.read_to_end(&mut Vec::new()).await));
            });
        }
    });
    address
}

#[tokio::test]
async fn a_body_above_the_limit_fails_the_call() {
    let address = serve(100 * BODIES_MAX).await;
    let connections = Connections::new().with_call_body_max(BODIES_MAX);
    let called = connections.call(address, Request::new(empty())).await;
    assert!(matches!(called, Err(CallError::TooLarge)), "{called:?}");
}

/// Guards against several answers that are within the limit one by one and exceed the memory of the
/// process together.
#[tokio::test]
async fn the_bodies_of_concurrent_calls_share_the_limit() {
    let address = serve(BODIES_MAX * 3 / 4).await;
    let connections = Connections::new().with_call_body_max(BODIES_MAX);
    let call = || connections.call(address, Request::new(empty()));
    let calls = async {
        tokio::select! {
            called = call() => called,
            called = call() => called,
        }
    };
    let called = timeout(Duration::from_secs(20), calls).await;
    assert!(matches!(called, Ok(Err(CallError::TooLarge))), "{called:?}");
}
