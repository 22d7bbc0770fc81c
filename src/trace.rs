//! Distributed tracing with one span per hop, propagated as W3C trace context.
//!
//! Spans are exported to an OTLP collector if one is configured, and written as `event=span` log
//! lines at debug level.

use std::time::Duration;

use hyper::HeaderMap;
use opentelemetry::{
    Context,
    KeyValue, //
    propagation::{
        Extractor,
        Injector,
        TextMapPropagator, //
    },
    trace::{
        SpanKind,
        Status,
        TraceContextExt,
        Tracer,
        TracerProvider, //
    },
};
use opentelemetry_otlp::{
    SpanExporter as OtlpExporter,
    WithExportConfig, //
};
use opentelemetry_sdk::{
    Resource,
    error::OTelSdkResult,
    propagation::TraceContextPropagator,
    trace::{
        Sampler,
        SdkTracer,
        SdkTracerProvider,
        Span,
        SpanData,
        SpanExporter,
        SpanProcessor, //
    },
};
use thiserror::Error;
use tokio::sync::mpsc;

use crate::util::id::HostName;

/// Maximum number of finished spans waiting for export; further ones are dropped.
const EXPORT_QUEUE_SPANS: usize = 4096;
/// Maximum number of spans in one call to the collector.
const EXPORT_BATCH_SPANS: usize = 512;
/// Interval between exports.
const EXPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Path of the traces endpoint of an OTLP collector.
const OTLP_PATH: &str = "/v1/traces";

/// A failure to set up tracing.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The exporter rejected the collector's address.
    #[error(
        "the collector {endpoint:?} cannot be used ({cause}); give an address such as http://127.0.0.1:4318"
    )]
    Collector {
        /// Configured address of the collector.
        endpoint: String,
        /// Error of the exporter.
        cause: String,
    },
}

/// A trace context with the span of one hop; the span ends when the last clone is dropped.
pub type HopSpan = Context;

/// Starts spans, propagates their context and exports them.
#[derive(Clone, Debug)]
pub struct Tracing {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
}

impl Tracing {
    /// Sets up tracing for a host and exports spans to `collector` if one is given.
    ///
    /// # Errors
    ///
    /// Fails if the exporter rejects the collector's address.
    pub fn new(host: &HostName, collector: Option<&str>) -> Result<Self, TraceError> {
        let resource = Resource::builder()
            .with_service_name("cardamomroad-entry")
            .with_attribute(KeyValue::new("host.name", host.to_string()))
            .build();
        let mut builder = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(Sampler::AlwaysOn)))
            .with_resource(resource.clone());
        if log::log_enabled!(log::Level::Debug) {
            builder = builder.with_span_processor(LogProcessor);
        }
        if let Some(endpoint) = collector {
            builder = builder.with_span_processor(ExportProcessor::new(endpoint, &resource)?);
        }
        let provider = builder.build();
        let tracer = provider.tracer("cardamomroad");
        Ok(Self {
            provider,
            tracer,
            propagator: TraceContextPropagator::new(),
        })
    }

    /// Starts a server span as a child of the trace context in a request's headers.
    pub fn start_server_span(&self, name: &'static str, headers: &HeaderMap) -> HopSpan {
        let parent = self.propagator.extract(&HeaderExtractor(headers));
        self.start(name, SpanKind::Server, &parent)
    }

    /// Starts a client span for an outgoing request and writes its trace context to the headers.
    pub fn start_client_span(
        &self,
        name: &'static str,
        parent: &HopSpan,
        headers: &mut HeaderMap,
    ) -> HopSpan {
        let span = self.start(name, SpanKind::Client, parent);
        self.propagator
            .inject_context(&span, &mut HeaderInjector(headers));
        span
    }

    /// Shuts down the tracer provider. Queued spans that are not exported yet may be lost.
    pub fn shutdown(&self) {
        if let Err(e) = self.provider.shutdown() {
            log::warn!(event = "trace-shutdown-failed", cause:% = e; "");
        }
    }

    fn start(&self, name: &'static str, kind: SpanKind, parent: &Context) -> HopSpan {
        let span = self
            .tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&self.tracer, parent);
        parent.with_span(span)
    }
}

/// Returns the trace id of a span as 32 hex digits.
pub fn trace_id(span: &HopSpan) -> String {
    span.span().span_context().trace_id().to_string()
}

/// Sets an attribute of a span.
pub fn annotate(span: &HopSpan, key: &'static str, value: impl Into<opentelemetry::Value>) {
    span.span().set_attribute(KeyValue::new(key, value));
}

/// Sets the status of a span to error.
pub fn mark_failed(span: &HopSpan, cause: &'static str) {
    span.span().set_status(Status::error(cause));
}

/// Reads trace context from headers.
struct HeaderExtractor<'a>(&'a HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|v| v.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(|k| k.as_str()).collect()
    }
}

/// Writes trace context to headers; invalid names and values are skipped.
struct HeaderInjector<'a>(&'a mut HeaderMap);

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = hyper::header::HeaderName::from_bytes(key.as_bytes());
        let value = hyper::header::HeaderValue::from_str(&value);
        if let (Ok(name), Ok(value)) = (name, value) {
            self.0.insert(name, value);
        }
    }
}

/// Writes each finished span as a log line.
#[derive(Debug)]
struct LogProcessor;

impl SpanProcessor for LogProcessor {
    fn on_start(&self, _span: &mut Span, _cx: &Context) {}

    fn on_end(&self, span: SpanData) {
        let duration = span.end_time.duration_since(span.start_time);
        let mut attributes = String::new();
        for kv in &span.attributes {
            attributes.push_str(&format!(" {}={}", kv.key, kv.value));
        }
        log::debug!(
            event = "span",
            name:% = span.name,
            trace:% = span.span_context.trace_id(),
            span:% = span.span_context.span_id(),
            parent:% = span.parent_span_id,
            micros = duration.unwrap_or_default().as_micros();
            "{}", attributes.trim_start()
        );
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }
}

/// Queues finished spans for the export task.
#[derive(Debug)]
struct ExportProcessor {
    tx: mpsc::Sender<SpanData>,
}

impl ExportProcessor {
    fn new(endpoint: &str, resource: &Resource) -> Result<Self, TraceError> {
        let url = format!("{}{OTLP_PATH}", endpoint.trim_end_matches('/'));
        let mut exporter = OtlpExporter::builder()
            .with_http()
            .with_endpoint(url)
            .build()
            .map_err(|e| TraceError::Collector {
                endpoint: endpoint.to_owned(),
                cause: e.to_string(),
            })?;
        exporter.set_resource(resource);
        let (tx, rx) = mpsc::channel(EXPORT_QUEUE_SPANS);
        tokio::spawn(export(exporter, rx));
        Ok(Self { tx })
    }
}

impl SpanProcessor for ExportProcessor {
    fn on_start(&self, _span: &mut Span, _cx: &Context) {}

    fn on_end(&self, span: SpanData) {
        // Drop the span if the queue is full, so that tracing never delays a request.
        let _ = self.tx.try_send(span);
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }
}

/// Exports queued spans in batches until the sender is dropped.
async fn export(exporter: OtlpExporter, mut rx: mpsc::Receiver<SpanData>) {
    let mut ticker = tokio::time::interval(EXPORT_INTERVAL);
    loop {
        ticker.tick().await;
        let mut batch = Vec::new();
        while batch.len() < EXPORT_BATCH_SPANS {
            match rx.try_recv() {
                Ok(span) => batch.push(span),
                Err(mpsc::error::TryRecvError::Empty) => break,
                Err(mpsc::error::TryRecvError::Disconnected) => return,
            }
        }
        if batch.is_empty() {
            continue;
        }
        if let Err(e) = exporter.export(batch).await {
            log::debug!(event = "trace-export-failed", cause:% = e; "");
        }
    }
}
