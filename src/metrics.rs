//! Prometheus metrics of an entry host.

use std::fmt;

use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        EncodeLabelValue,
        LabelValueEncoder,
        text::encode, //
    },
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

use crate::refusal::{
    Outcome,
    Reason, //
};

/// Upper bound of the smallest latency bucket.
const LATENCY_FIRST_BUCKET_SECONDS: f64 = 0.000_25;
/// Number of latency buckets; each upper bound is twice the previous one.
const LATENCY_BUCKET_COUNT: u16 = 16;

/// Returns an empty registry that prefixes every metric name with `cardamomroad_`.
pub fn registry() -> Registry {
    Registry::with_prefix("cardamomroad")
}

/// Encodes all metrics of a registry in the OpenMetrics text format.
///
/// # Errors
///
/// Fails only when formatting fails.
pub fn encode_registry(registry: &Registry) -> Result<String, fmt::Error> {
    let mut text = String::new();
    encode(&mut text, registry)?;
    Ok(text)
}

/// Labels of the counter of answered requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// Name of the matched route, or `none`.
    pub route: String,
    /// Whether an upstream ran the request.
    pub outcome: OutcomeLabel,
}

/// Labels of the counter of refused requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Reason of the refusal.
    pub reason: ReasonLabel,
    /// Name of the caller's organisation, or `none` if it is not known.
    pub organisation: String,
}

/// Label of the counter of bytes sent over a link.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LinkLabels {
    /// Name of the link in the configuration.
    pub link: String,
}

/// An outcome as a label value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OutcomeLabel(pub Outcome);

/// A reason as a label value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReasonLabel(pub Reason);

impl EncodeLabelValue for OutcomeLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        EncodeLabelValue::encode(&self.0.as_str(), encoder)
    }
}

impl EncodeLabelValue for ReasonLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        EncodeLabelValue::encode(&self.0.as_str(), encoder)
    }
}

/// All metrics of one entry host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Answered requests by route and outcome.
    pub answers: Family<AnswerLabels, Counter>,
    /// Refused requests by reason and organisation.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Seconds from receiving a request's head to sending the head of its answer.
    pub latency: Histogram,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Answered look-ups.
    pub lookups: Counter,
    /// Retries sent to another upstream or zone.
    pub retries: Counter,
    /// Bytes sent over each link by this host.
    pub link_bytes: Family<LinkLabels, Counter>,
    /// The configuration generation in force.
    pub generation: Gauge,
    /// Bytes of control messages sent to other hosts.
    pub control_bytes: Counter,
    /// Calls to the platform's object store.
    pub store_calls: Counter,
}

impl Metrics {
    /// Returns the metrics, all at zero.
    pub fn new() -> Self {
        let buckets = exponential_buckets(LATENCY_FIRST_BUCKET_SECONDS, 2.0, LATENCY_BUCKET_COUNT);
        let mut m = Self {
            registry: registry(),
            answers: Family::default(),
            refusals: Family::default(),
            latency: Histogram::new(buckets),
            in_flight: Gauge::default(),
            lookups: Counter::default(),
            retries: Counter::default(),
            link_bytes: Family::default(),
            generation: Gauge::default(),
            control_bytes: Counter::default(),
            store_calls: Counter::default(),
        };
        m.register();
        m
    }

    /// Encodes the metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Fails only when formatting fails.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        encode_registry(&self.registry)
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("answers", "Answered requests", self.answers.clone());
        r.register("refusals", "Refused requests", self.refusals.clone());
        r.register(
            "latency_seconds",
            "Time from a request's head to its answer's head",
            self.latency.clone(),
        );
        r.register("in_flight", "Requests in flight", self.in_flight.clone());
        r.register("lookups", "Look-ups answered", self.lookups.clone());
        r.register("retries", "Requests sent again", self.retries.clone());
        r.register(
            "link_bytes",
            "Bytes sent over a link by this host",
            self.link_bytes.clone(),
        );
        r.register(
            "generation",
            "Configuration generation in force",
            self.generation.clone(),
        );
        r.register(
            "control_bytes",
            "Bytes of control messages sent to other hosts",
            self.control_bytes.clone(),
        );
        r.register(
            "store_calls",
            "Calls to the platform's store",
            self.store_calls.clone(),
        );
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
