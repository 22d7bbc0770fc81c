//! Requests are cancelled when their client disconnects, and pipelined requests are answered.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use cardamomroad::{
    body::full,
    listener, //
};
use hyper::Response;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    sync::watch,
    time::{
        Instant,
        sleep, //
    },
};

/// How soon requests have to end after their client has disconnected: half of the time that users
/// accept.
const CANCEL_TIME_MAX: Duration = Duration::from_millis(250);

/// Counts a running handler until it is dropped.
struct Running(Arc<AtomicUsize>);

impl Running {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn wait_for_running(count: &AtomicUsize, expected: usize, timeout: Duration) {
    let end = Instant::now() + timeout;
    while count.load(Ordering::SeqCst) != expected {
        let running = count.load(Ordering::SeqCst);
        assert!(
            Instant::now() < end,
            "{running} handlers are running, expected {expected}"
        );
        sleep(Duration::from_millis(5)).await;
    }
}

/// Starts a server that answers requests to `/now` at once and all others never.
async fn start() -> (std::net::SocketAddr, Arc<AtomicUsize>, watch::Sender<bool>) {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = socket.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    let running = Arc::new(AtomicUsize::new(0));
    let count = running.clone();
    tokio::spawn(listener::serve(socket, stopped, move |req, _| {
        let running = Running::new(&count);
        async move {
            if req.uri().path() != "/now" {
                std::future::pending::<()>().await;
            }
            drop(running);
            Response::new(full("now"))
        }
    }));
    (address, running, stop)
}

const SLOW: &[u8] = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n";

#[tokio::test]
async fn work_ends_when_its_caller_leaves() {
    let (address, running, _stop) = start().await;
    let mut caller = TcpStream::connect(address).await.expect("a connection");
    caller.write_all(SLOW).await.expect("a request");
    wait_for_running(&running, 1, Duration::from_secs(5)).await;
    drop(caller);
    wait_for_running(&running, 0, CANCEL_TIME_MAX).await;
}

/// Guards against an answer whose end is lost when the server stops: closing a connection with unread
/// requests resets it, and the client loses what is still on the way.
#[tokio::test]
async fn a_stop_delivers_an_answer_to_a_client_that_sent_more_requests() {
    const ANSWER_BYTES: usize = 4 << 20;
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = socket.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    let served = tokio::spawn(listener::serve(socket, stopped, async |_, _| {
        Response::new(full(vec![b'x'; ANSWER_BYTES]))
    }));
    let socket = TcpSocket::new_v4().expect("a socket");
    // The client reads slowly, so that the end of the answer waits in the server's buffer.
    socket.set_recv_buffer_size(32 * 1024).expect("a buffer");
    let mut caller = socket.connect(address).await.expect("a connection");
    caller.write_all(&SLOW.repeat(2)).await.expect("requests");
    let mut chunk = [0; 32 * 1024];
    let mut read = caller.read(&mut chunk).await.expect("the answer begins");
    stop.send_replace(true);
    caller.write_all(SLOW).await.expect("another request");
    loop {
        sleep(Duration::from_millis(1)).await;
        match caller.read(&mut chunk).await.expect("the rest") {
            0 => break,
            len => read += len,
        }
    }
    assert!(read > ANSWER_BYTES, "{read} bytes");
    drop(caller);
    served.await.expect("the server ends");
}

/// Guards against a disconnect that goes unnoticed: the server doesn't read pipelined requests
/// before the current one is answered, so the end of the stream stays behind unread data.
#[tokio::test]
async fn work_ends_when_a_caller_leaves_that_sent_more_requests() {
    let (address, running, _stop) = start().await;
    let mut caller = TcpStream::connect(address).await.expect("a connection");
    caller.write_all(&SLOW.repeat(3)).await.expect("requests");
    wait_for_running(&running, 1, Duration::from_secs(5)).await;
    drop(caller);
    wait_for_running(&running, 0, CANCEL_TIME_MAX).await;
}

#[tokio::test]
async fn requests_that_were_sent_together_are_answered_in_order() {
    let (address, _running, _stop) = start().await;
    let mut caller = TcpStream::connect(address).await.expect("a connection");
    let requests = b"GET /now HTTP/1.1\r\nhost: a\r\n\r\n".repeat(50);
    caller.write_all(&requests).await.expect("requests");
    let mut answers = Vec::new();
    while answers.windows(4).filter(|w| w == b"\nnow").count() < 50 {
        let mut buf = [0; 4096];
        let read = caller.read(&mut buf).await.expect("answers");
        assert!(read > 0, "the connection ended early");
        answers.extend_from_slice(&buf[..read]);
    }
}
