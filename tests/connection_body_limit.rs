//! An answer of the store or of a relay without an end was read into memory until the process
//! ended.

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
};

#[tokio::test]
async fn a_body_above_the_limit_fails_the_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.read_u8().await.expect("a request");
            let head = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
            stream.write_all(head).await.expect("the head is sent");
            // The body ends when the other side closes the connection.
            while stream.write_all(&[b'x'; 4096]).await.is_ok() {}
        }
    });
    let connections = Connections::new().with_call_body_max(100_000);
    let called = connections.call(address, Request::new(empty())).await;
    assert!(matches!(called, Err(CallError::Broken(_))), "{called:?}");
}
