//! Accepts HTTP connections and serves them until a graceful shutdown.

mod disconnect;

use std::{
    future::Future,
    io,
    net::SocketAddr,
    time::Duration, //
};

use hyper::{
    Request,
    Response,
    body::Incoming,
    service::service_fn, //
};
use hyper_util::{
    rt::{
        TokioExecutor,
        TokioIo,
        TokioTimer, //
    },
    server::{
        conn::auto,
        graceful::GracefulShutdown, //
    },
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
};

use self::disconnect::{
    CancelOnDisconnect,
    InFlightCounter,
    ReadAheadStream, //
};
use crate::body::ProxyBody;

/// How long a client may take to send the head of an HTTP/1.1 request.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause after a failed `accept`, for example with too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves connections until `stop` becomes true, then completes the requests in flight.
///
/// Returns after the last connection has closed.
pub async fn serve<H, F>(listener: TcpListener, mut stop: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|&stop| stop) => break,
        };
        serve_accepted(accepted, &graceful, &handler).await;
    }
    // Also serves the connections that were in the kernel's accept queue at the stop.
    while let Ok(accepted) = tokio::time::timeout(Duration::from_millis(1), listener.accept()).await
    {
        serve_accepted(accepted, &graceful, &handler).await;
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn serve_accepted<H, F>(
    accepted: io::Result<(TcpStream, SocketAddr)>,
    graceful: &GracefulShutdown,
    handler: &H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    match accepted {
        Ok((stream, client)) => serve_stream(stream, client, graceful, handler.clone()),
        Err(e) => {
            log::warn!(event = "accept-failed", cause:% = e; "");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}

fn serve_stream<H, F>(
    stream: TcpStream,
    client: SocketAddr,
    graceful: &GracefulShutdown,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay-failed", client:%, cause:% = e; "");
    }
    let (stream, in_flight) = (ReadAheadStream::new(stream), InFlightCounter::default());
    let requests = in_flight.clone();
    let service = service_fn(move |req| {
        let guard = requests.guard_request();
        let answer = handler(req, client);
        async move {
            let answer = answer.await;
            drop(guard);
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_READ_TIMEOUT);
    let connection = builder
        .serve_connection(TokioIo::new(stream.clone()), service)
        .into_owned();
    let broken = stream.clone();
    let connection = CancelOnDisconnect::new(graceful.watch(connection), stream, in_flight);
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            if is_body_error(&*e) {
                broken.reset_when_dropped();
            }
            log::debug!(event = "connection-failed", client:%, cause:% = e; "");
        }
    });
}

/// Returns whether a connection failed because the body of an answer broke off.
fn is_body_error(e: &(dyn std::error::Error + 'static)) -> bool {
    e.downcast_ref().is_some_and(hyper::Error::is_user)
}
