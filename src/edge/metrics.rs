//! The counters and histograms of an entry host on the platform.

use std::{
    fmt,
    time::Duration, //
};

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{
            Histogram,
            exponential_buckets, //
        },
    },
    registry::Registry,
};

use crate::metrics::{
    encode_registry,
    registry, //
};

/// The upper bound of the first latency bucket, in seconds.
const LATENCY_FIRST_BUCKET_SECONDS: f64 = 0.005;
/// The number of latency buckets; each upper bound is twice the one before.
const LATENCY_BUCKETS: u16 = 12;

/// Labels of the requests counter.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct EndLabels {
    /// `answered`, or why no upstream's answer came.
    pub end: &'static str,
    /// The HTTP status that the caller got.
    pub status: u16,
}

/// Labels of the counter of placed requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PlacementLabels {
    /// Location of the upstream relative to this host: `zone`, `region` or `other-region`.
    pub place: &'static str,
    /// `known` if the upstream handled the object recently, `strange` otherwise.
    pub object: &'static str,
}

/// Labels of the counter of answer bytes.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct AnswerBytesLabels {
    /// Location of the upstream relative to this host: `zone`, `region` or `other-region`.
    pub place: &'static str,
}

/// Labels of the counter of notices of upstreams.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct NoticeLabels {
    /// `leaving`, or `pause` if the upstream wants no requests for a while.
    pub kind: &'static str,
}

/// Labels of the counter of clients' connections that the host closed.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ClosedClientLabels {
    /// Why, as named by `CloseCause::as_str`.
    pub cause: &'static str,
}

/// Labels of the reads counter.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ReadLabels {
    /// The source that was read: `store` or `relay`.
    pub from: &'static str,
    /// The result of the read: `ok` or `failed`.
    pub outcome: &'static str,
}

/// Labels of the counter of attempts at upstreams.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct TryLabels {
    /// How the attempt ended, as named by `TryEnd::as_str`.
    pub end: &'static str,
}

/// All metrics of an entry host.
#[derive(Debug)]
pub struct EdgeMetrics {
    registry: Registry,
    /// Requests by outcome and status.
    pub requests: Family<EndLabels, Counter>,
    /// Time from a request's head to its answer's head in seconds, for answered requests.
    pub latency: Histogram,
    /// Time that requests waited for an upstream, in seconds.
    pub waiting: Histogram,
    /// Requests by the location of the upstream and whether it knew the object.
    pub placed: Family<PlacementLabels, Counter>,
    /// Bytes of complete answers' bodies, by the location of the upstream.
    pub answer_bytes: Family<AnswerBytesLabels, Counter>,
    /// Routes whose answers are large on average.
    pub large_answer_routes: Gauge,
    /// Largest mean size of a route's answers, in bytes.
    pub answer_bytes_mean_max: Gauge,
    /// Attempts at upstreams by outcome.
    pub tries: Family<TryLabels, Counter>,
    /// Reads of the platform's topics, by source and result.
    pub reads: Family<ReadLabels, Counter>,
    /// Requests that are being served now.
    pub in_flight: Gauge,
    /// Version number of the configuration in force.
    pub configuration: Gauge,
    /// What upstreams said about themselves in answers.
    pub upstream_notices: Family<NoticeLabels, Counter>,
    /// 1 if the configuration in force is the one that the platform published last, otherwise 0.
    pub configuration_current: Gauge,
    /// Age of the read that last confirmed the configuration's keys, in milliseconds.
    pub key_age: Gauge,
    /// Registered upstreams that this host knows.
    pub upstreams: Gauge,
    /// Upstreams whose machine is slow now, according to their answers.
    pub slow_machines: Gauge,
    /// Queries about where a request would go.
    pub explanations: Counter,
    /// Ready upstreams that get fewer requests at once than their registered slots.
    pub limited_upstreams: Gauge,
    /// Other hosts that take requests, according to their recent messages.
    pub hosts: Gauge,
    /// Connections that clients have open.
    pub client_connections: Gauge,
    /// Bytes held for clients: heads, data read ahead and unread answers.
    pub held_bytes: Gauge,
    /// Clients' connections that were closed, and requests refused, by cause.
    pub closed_clients: Family<ClosedClientLabels, Counter>,
    /// How often the known era of the store changed.
    pub store_rollbacks: Counter,
}

impl EdgeMetrics {
    /// Returns the metrics, all at zero.
    pub fn new() -> Self {
        let latency = || exponential_buckets(LATENCY_FIRST_BUCKET_SECONDS, 2.0, LATENCY_BUCKETS);
        let mut m = Self {
            registry: registry(),
            requests: Family::default(),
            latency: Histogram::new(latency()),
            waiting: Histogram::new(latency()),
            placed: Family::default(),
            answer_bytes: Family::default(),
            large_answer_routes: Gauge::default(),
            answer_bytes_mean_max: Gauge::default(),
            tries: Family::default(),
            reads: Family::default(),
            in_flight: Gauge::default(),
            configuration: Gauge::default(),
            upstream_notices: Family::default(),
            configuration_current: Gauge::default(),
            key_age: Gauge::default(),
            upstreams: Gauge::default(),
            slow_machines: Gauge::default(),
            explanations: Counter::default(),
            limited_upstreams: Gauge::default(),
            hosts: Gauge::default(),
            client_connections: Gauge::default(),
            held_bytes: Gauge::default(),
            closed_clients: Family::default(),
            store_rollbacks: Counter::default(),
        };
        m.register();
        m
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "requests",
            "Requests by how they ended",
            self.requests.clone(),
        );
        r.register(
            "latency_seconds",
            "Time from a request's head to its answer's head",
            self.latency.clone(),
        );
        r.register(
            "waiting_seconds",
            "Time that requests waited for an upstream",
            self.waiting.clone(),
        );
        r.register(
            "placed",
            "Requests by where they were sent",
            self.placed.clone(),
        );
        r.register(
            "answer_bytes",
            "Bytes of complete answers by where the upstream is",
            self.answer_bytes.clone(),
        );
        r.register(
            "large_answer_routes",
            "Routes whose answers are large on average",
            self.large_answer_routes.clone(),
        );
        r.register(
            "answer_bytes_mean_max",
            "Largest mean size of a route's answers",
            self.answer_bytes_mean_max.clone(),
        );
        r.register("tries", "Tries by how they ended", self.tries.clone());
        r.register(
            "reads",
            "Reads of what the platform publishes",
            self.reads.clone(),
        );
        r.register(
            "in_flight",
            "Requests that are being served",
            self.in_flight.clone(),
        );
        r.register(
            "configuration_version",
            "Number of the configuration in force",
            self.configuration.clone(),
        );
        r.register(
            "upstream_notices",
            "Answers in which upstreams said that they leave or want a pause",
            self.upstream_notices.clone(),
        );
        r.register(
            "configuration_current",
            "Whether the configuration in force is the last published one",
            self.configuration_current.clone(),
        );
        r.register(
            "key_age_milliseconds",
            "Age of the read that the trust in keys rests on",
            self.key_age.clone(),
        );
        r.register(
            "upstreams",
            "Upstreams that are known",
            self.upstreams.clone(),
        );
        r.register(
            "upstreams_slow_machine",
            "Upstreams whose machine is slow now, by their answers",
            self.slow_machines.clone(),
        );
        r.register(
            "explanations",
            "Queries about where a request would go",
            self.explanations.clone(),
        );
        r.register(
            "upstreams_limited",
            "Upstreams that get fewer requests at once than their slots, as learned from their times",
            self.limited_upstreams.clone(),
        );
        r.register(
            "hosts",
            "Other hosts that were heard lately",
            self.hosts.clone(),
        );
        r.register(
            "client_connections",
            "Connections that clients have open",
            self.client_connections.clone(),
        );
        r.register(
            "held_bytes",
            "Estimated bytes held for clients, without the bodies of requests",
            self.held_bytes.clone(),
        );
        r.register(
            "closed_clients",
            "Clients' connections closed and requests refused by a limit",
            self.closed_clients.clone(),
        );
        r.register(
            "store_rollbacks",
            "Times that the store has gone back to an older copy",
            self.store_rollbacks.clone(),
        );
    }

    /// Counts a request that an upstream answered.
    pub fn answered(&self, status: u16, duration: Duration) {
        self.latency.observe(duration.as_secs_f64());
        self.ended("answered", status);
    }

    /// Counts a request by outcome and status.
    pub fn ended(&self, end: &'static str, status: u16) {
        self.requests
            .get_or_create(&EndLabels { end, status })
            .inc();
    }

    /// Returns the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails only when formatting fails.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        encode_registry(&self.registry)
    }
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        Self::new()
    }
}
