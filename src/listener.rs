//! Accepts HTTP connections and serves them until a graceful shutdown.

pub mod activity;
mod answer;
mod disconnect;
pub mod eviction;
pub mod limits;
pub mod table;

use std::{
    convert::Infallible,
    error::Error,
    future::{
        Future,
        poll_fn, //
    },
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use hyper::{
    Request,
    Response,
    StatusCode,
    Version,
    body::{
        Body,
        Incoming, //
    },
    header::{
        CONNECTION,
        HeaderValue,
        RETRY_AFTER, //
    },
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
    sync::{
        mpsc,
        watch, //
    },
    time::Instant,
};

use self::{
    activity::CloseCause,
    answer::Exchange,
    disconnect::{
        CancelOnDisconnect,
        InFlightCounter,
        ReadAheadStream, //
    },
    limits::Limits,
    table::{
        ConnectionTable,
        ListenerRole, //
    },
};
use crate::body::{
    ProxyBody,
    empty, //
};

/// How long a client may take to send the head of an HTTP/1.1 request.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a connection is kept open after its last answer was written, until that is delivered.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause after a failed `accept`, for example with too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Retry-After value of a request that is refused for lack of memory, in seconds.
const SHED_RETRY_AFTER: &str = "0.30";
/// The most concurrent requests on an HTTP/2 connection of an untrusted client.
const HTTP2_STREAMS_MAX: u32 = 32;
/// How much of one request's body an untrusted HTTP/2 client may send ahead, in bytes.
const HTTP2_STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// How much of all requests' bodies an untrusted HTTP/2 client may send ahead, in bytes.
const HTTP2_CONNECTION_WINDOW_BYTES: u32 = 256 * 1024;
/// The send buffer of a request on an HTTP/2 connection of an untrusted client, in bytes.
const HTTP2_SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Serves connections until `stop` becomes true, then completes the requests in flight.
///
/// Returns after the last connection has closed.
pub async fn serve<H, F>(listener: TcpListener, stop: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    let on_close = Box::new(|client, cause: CloseCause| {
        log::debug!(event = "client-closed", client:%, cause = cause.as_str(); "");
    });
    let table = Arc::new(ConnectionTable::new(Limits::default(), on_close));
    serve_limited(listener, stop, table, ListenerRole::Others, handler).await;
}

/// Serves connections as [`serve`] does, within the limits of `table`.
pub async fn serve_limited<H, F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    table: Arc<ConnectionTable>,
    role: ListenerRole,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    let (alive, mut all_ended) = mpsc::channel(1);
    let acceptor = Acceptor {
        graceful: GracefulShutdown::new(),
        table,
        role,
        handler,
        alive,
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|&stop| stop) => break,
        };
        acceptor.serve_accepted(accepted).await;
    }
    // Also serves the connections that were in the kernel's accept queue at the stop.
    while let Ok(accepted) = tokio::time::timeout(Duration::from_millis(1), listener.accept()).await
    {
        acceptor.serve_accepted(accepted).await;
    }
    drop(listener);
    let Acceptor {
        graceful, alive, ..
    } = acceptor;
    drop(alive);
    graceful.shutdown().await;
    // Nothing is sent: this waits until the last connection's task has dropped its sender.
    let _: Option<Infallible> = all_ended.recv().await;
}

/// Serves the connections of one listener.
struct Acceptor<H> {
    graceful: GracefulShutdown,
    table: Arc<ConnectionTable>,
    role: ListenerRole,
    handler: H,
    /// Held by the task of each connection.
    alive: mpsc::Sender<Infallible>,
}

impl<H, F> Acceptor<H>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ProxyBody>> + Send + 'static,
{
    async fn serve_accepted(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, client)) => {
                if self.table.admits(self.role, client, Instant::now()) {
                    self.serve_stream(stream, client);
                }
            }
            Err(e) => {
                log::warn!(event = "accept-failed", cause:% = e; "");
                self.table.free_descriptors(Instant::now());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    fn serve_stream(&self, stream: TcpStream, client: SocketAddr) {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!(event = "nodelay-failed", client:%, cause:% = e; "");
        }
        let limits = self.table.limits();
        let stream = ReadAheadStream::new(stream, &limits, self.table.held());
        let in_flight = InFlightCounter::default();
        let registered = self.table.register(client, stream.clone());
        let id = registered.id;
        let service = {
            let (table, handler) = (self.table.clone(), self.handler.clone());
            let (stream, requests) = (stream.clone(), in_flight.clone());
            service_fn(move |req: Request<Incoming>| {
                let guard = requests.guard_request();
                let (stream, table) = (stream.clone(), table.clone());
                let handler = handler.clone();
                async move {
                    let is_http2 = req.version() == Version::HTTP_2;
                    if !is_http2 {
                        poll_fn(|cx| stream.poll_begin(cx)).await;
                    }
                    let exchange = Exchange::new(stream, !req.body().is_end_stream(), is_http2);
                    let answer = match table.has_bytes_left() {
                        true => handler(req, client).await,
                        false => {
                            table.report(client, CloseCause::Shed);
                            shed_answer(is_http2)
                        }
                    };
                    drop(guard);
                    Ok::<_, Infallible>(exchange.answer(answer))
                }
            })
        };
        let connection = builder(&limits)
            .serve_connection(TokioIo::new(stream.clone()), service)
            .into_owned();
        let connection = self.graceful.watch(connection);
        let connection =
            CancelOnDisconnect::new(connection, stream.clone(), in_flight, self.table.clone());
        let table = self.table.clone();
        let alive = self.alive.clone();
        let task = tokio::spawn(async move {
            let (_registered, _alive) = (registered, alive);
            let ended = connection.await;
            let mut violation = stream.take_violation();
            if ended.is_ok() && violation.is_none() {
                stream.discard_until_delivered(DELIVERY_TIMEOUT).await;
            }
            if let Err(e) = ended {
                if is_body_error(&*e) {
                    stream.reset_when_dropped();
                }
                log::debug!(event = "connection-failed", client:%, cause:% = e; "");
                violation = violation.or_else(|| violation_of(e.as_ref()));
            }
            if let Some(cause) = violation {
                table.report(client, cause);
            }
        });
        self.table.set_task(id, task.abort_handle());
    }
}

/// Returns the HTTP server's builder with the limits of new connections.
fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    let mut http1 = builder.http1();
    http1
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_READ_TIMEOUT)
        .max_buf_size(limits.head_bytes_max);
    if let Some(fields) = limits.head_fields_max {
        http1.max_headers(fields);
    }
    if limits.limits_http2 {
        builder
            .http2()
            .max_concurrent_streams(HTTP2_STREAMS_MAX)
            .initial_stream_window_size(HTTP2_STREAM_WINDOW_BYTES)
            .initial_connection_window_size(HTTP2_CONNECTION_WINDOW_BYTES)
            .max_send_buf_size(HTTP2_SEND_BUFFER_BYTES)
            .max_header_list_size(u32::try_from(limits.head_bytes_max).unwrap_or(u32::MAX));
    }
    builder
}

/// Returns the answer to a request that is refused for lack of memory.
fn shed_answer(is_http2: bool) -> Response<ProxyBody> {
    let mut res = Response::new(empty());
    *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = res.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static(SHED_RETRY_AFTER));
    if !is_http2 {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

/// Returns which limit a client has exceeded, by the error of the HTTP server.
fn violation_of(e: &(dyn Error + 'static)) -> Option<CloseCause> {
    let error = e.downcast_ref::<hyper::Error>()?;
    error.is_parse_too_large().then_some(CloseCause::LargeHead)
}

/// Returns whether a connection failed because the body of an answer broke off.
fn is_body_error(e: &(dyn Error + 'static)) -> bool {
    e.downcast_ref().is_some_and(hyper::Error::is_user)
}
