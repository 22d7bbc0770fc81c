//! Limits of clients' connections, derived from the machine and the published configuration.

use std::{
    hint::black_box,
    sync::Arc,
    time::Duration, //
};

use arc_swap::ArcSwapOption;
use rustix::process::{
    Resource,
    getrlimit, //
};
use tokio::time::{
    Instant,
    MissedTickBehavior,
    interval, //
};

use super::{
    log_limit::LogRateLimit,
    metrics::{
        ClosedClientLabels,
        EdgeMetrics, //
    },
    model::{
        ClientLimits,
        Configuration, //
    },
};
use crate::listener::{
    limits::Limits,
    table::{
        ConnectionTable,
        OnClose, //
    },
};

/// Descriptors that a process uses for files and not for sockets.
const FILE_DESCRIPTORS: u64 = 200;
/// The fraction of the sockets that is kept for the store, upstreams and other hosts.
const RESERVED_SOCKETS_DIVISOR: u64 = 4;
/// The most connections, also if the operating system allows more descriptors.
const CONNECTIONS_MAX: u64 = 65_536;
/// The fraction of the process's memory for heads, data read ahead and unread answers.
const HELD_MEMORY_DIVISOR: u64 = 4;
/// A head may be larger than configured by this fraction, since clients may count the start line
/// and line ends differently.
const HEAD_MARGIN_DIVISOR: usize = 4;
/// The size of the shortest field of a head, `a:` and the line end, in bytes.
const FIELD_BYTES_MIN: usize = 4;
/// The most bytes that an HTTP/2 client may send without a request. More than the windows of the
/// listener, so that the rest of a refused upload fits.
const CONTROL_BYTES_MAX: usize = 512 * 1024;
/// The most fields of a head that the HTTP library can store.
const FIELDS_MAX: usize = 24_000;
/// The size of a block that is freed once at the start, in bytes; larger than the tables of fields
/// that the HTTP library allocates for each head.
const HEAP_PRIMING_BYTES: usize = 200 * 1024;
/// How much longer than configured a head may take, since a busy host reads it late.
const HEAD_TIME_FACTOR: u32 = 4;
/// How much longer than configured a connection may be idle, or an answer unread.
const IDLE_TIME_FACTOR: u32 = 2;
/// The time between two checks for connections that exceed a limit.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Makes the allocator keep blocks of the size that the HTTP library allocates for the fields of
/// each head.
///
/// The allocator of the C library returns large blocks to the operating system when they are freed,
/// until it has freed a larger one. Allocating them anew for each request takes microseconds.
pub fn prime_heap() {
    drop(black_box(Vec::<u8>::with_capacity(HEAP_PRIMING_BYTES)));
}

/// Returns the number of descriptors that the operating system allows this process.
pub fn descriptors() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// Returns the limits of clients' connections in a process with this memory and number of
/// descriptors. No client within `published` reaches them.
pub fn limits(memory_bytes: u64, descriptors: u64, published: &ClientLimits) -> Limits {
    let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS.min(descriptors / 2));
    let connections = sockets - sockets / RESERVED_SOCKETS_DIVISOR;
    let head_bytes = published.head_bytes_max.max(ClientLimits::HEAD_BYTES_MIN);
    let head_bytes_max = head_bytes.saturating_add(head_bytes / HEAD_MARGIN_DIVISOR);
    Limits {
        head_bytes_max,
        head_fields_max: Some((head_bytes / FIELD_BYTES_MIN).min(FIELDS_MAX)),
        head_time: published.head_time.saturating_mul(HEAD_TIME_FACTOR),
        control_bytes_max: CONTROL_BYTES_MAX,
        idle_time: published.idle_time.saturating_mul(IDLE_TIME_FACTOR),
        unread_time: published.idle_time.saturating_mul(IDLE_TIME_FACTOR),
        connections_max: connections.min(CONNECTIONS_MAX) as usize,
        held_bytes_max: memory_bytes / HELD_MEMORY_DIVISOR,
        limits_http2: true,
        ..Limits::default()
    }
}

/// Returns the callback that logs and counts connections closed before their clients end them.
pub fn on_close(metrics: Arc<EdgeMetrics>) -> OnClose {
    let lines = LogRateLimit::default();
    Box::new(move |client, cause| {
        let cause = cause.as_str();
        metrics
            .closed_clients
            .get_or_create(&ClosedClientLabels { cause })
            .inc();
        if lines.allows("client-closed") {
            log::info!(event = "client-closed", client:%, cause; "");
        }
    })
}

/// Closes connections that exceed a limit, and follows the limits of the configuration.
pub async fn keep_limits(
    table: Arc<ConnectionTable>,
    configuration: Arc<ArcSwapOption<Configuration>>,
    metrics: Arc<EdgeMetrics>,
    memory_bytes: u64,
    descriptors: u64,
) {
    let held = table.held();
    let mut ticks = interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let published = configuration.load().as_ref().map(|cfg| cfg.client_limits);
        let limits = limits(memory_bytes, descriptors, &published.unwrap_or_default());
        if limits != table.limits() {
            table.set_limits(limits);
        }
        table.sweep(Instant::now());
        metrics.client_connections.set(table.open() as i64);
        metrics
            .held_bytes
            .set(i64::try_from(held.total()).unwrap_or(i64::MAX));
    }
}
