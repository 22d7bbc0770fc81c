//! An upstream that reads a long body slowly is not taken for one whose connection went silent.

use std::time::Duration;

use bytes::Bytes;
use cardamomroad::{
    body::full,
    connection::Connections, //
};
use hyper::{
    Method,
    Request,
    StatusCode, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
    time::sleep,
};

/// Length of the body; the buffers of both sockets hold less.
const BODY_BYTES: usize = 16 << 20;
/// How long the upstream does not read; longer than bytes may stay unacknowledged otherwise.
const PAUSE: Duration = Duration::from_millis(3800);

/// Fails where the limit for unacknowledged bytes applies to a closed receive window, too.
#[tokio::test]
async fn a_body_that_is_read_slowly_is_sent_to_the_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let upstream = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.read_u8().await.expect("a request");
        sleep(PAUSE).await;
        let mut buf = vec![0; 1 << 16];
        let mut received = 0;
        while received < BODY_BYTES {
            let read = stream.read(&mut buf).await.expect("the connection holds");
            assert!(read > 0, "closed after {received} bytes");
            received += read;
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.expect("the answer is sent");
        stream
    });
    let mut req = Request::new(full(Bytes::from(vec![b'x'; BODY_BYTES])));
    *req.method_mut() = Method::POST;
    let called = Connections::new().call(address, req).await;
    assert_eq!(called.expect("an answer").status(), StatusCode::OK);
    upstream.await.expect("the body arrives");
}
