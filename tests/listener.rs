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
