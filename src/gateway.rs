//! The gateway: accepts requests from callers and from other entry hosts,
//! forwards them and relays the answers.

pub mod call;
pub mod forward;
pub mod head;
pub mod keys;
pub mod lookup;
pub mod receive;
pub mod upload;

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use hyper::{
    HeaderMap,
    Response,
    StatusCode, //
};
use tokio::time::{
    Instant,
    sleep_until, //
};
use xtra::Address;

use crate::{
    body::{
        Pacer,
        ProxyBody, //
    },
    config::index::Index,
    connection::Connections,
    gateway::{
        call::{
            Call,
            Permit, //
        },
        forward::{
            ForwardMode,
            Forwarding, //
        },
        keys::ValidKeys,
        upload::{
            Transfer,
            Upload, //
        },
    },
    host::{
        Host,
        message::{
            Start,
            Started, //
        },
    },
    lookup::Table,
    metrics::{
        AnswerLabels,
        Metrics,
        OutcomeLabel,
        ReasonLabel,
        RefusalLabels, //
    },
    quarantine::Suspect,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
    trace::{
        self,
        Tracing, //
    },
    util::id::{
        HostName,
        Incarnation,
        OrganisationName,
        RegionName, //
    },
    wire,
};

/// The current configuration; empty until the first one is adopted.
pub type CurrentIndex = Arc<ArcSwapOption<Index>>;

/// State shared by all requests of one host.
#[derive(Debug)]
pub struct Gateway {
    /// The host's name, as it appears in request ids and in the served-by header.
    pub name: HostName,
    /// The incarnation of this host process, which becomes part of the request ids it generates.
    pub incarnation: Incarnation,
    /// When this incarnation started. The stamps in request ids are relative to it.
    pub started: Instant,
    /// The actor that owns the host's state.
    pub host: Address<Host>,
    /// The current configuration, published by the host actor.
    pub index: CurrentIndex,
    /// The valid API keys, checked while bodies are transferred.
    pub keys: Arc<ValidKeys>,
    /// The current look-up table, published by the host actor; empty until there is one.
    pub table: Arc<ArcSwapOption<Table>>,
    /// Pooled connections to upstreams and other entry hosts.
    pub connections: Connections,
    /// Creates and exports the trace spans of each hop.
    pub tracing: Tracing,
    /// The host's counters and histograms.
    pub metrics: Arc<Metrics>,
    /// The shared secret that authenticates entry hosts to each other.
    pub fleet_secret: Arc<FleetSecret>,
    /// This host's region; empty until a configuration that contains its zone is adopted.
    pub region: Arc<ArcSwapOption<RegionName>>,
}

/// The shared secret that entry hosts send in a header to authenticate to each other.
pub struct FleetSecret(hyper::header::HeaderValue);

impl FleetSecret {
    /// Creates the secret, or returns `None` if its bytes are not a valid header value.
    pub fn new(secret: &[u8]) -> Option<Self> {
        let mut value = hyper::header::HeaderValue::from_bytes(secret).ok()?;
        value.set_sensitive(true);
        Some(Self(value))
    }

    /// Returns whether the headers carry this secret. Compares in constant time.
    pub fn is_presented_in(&self, headers: &HeaderMap) -> bool {
        use subtle::ConstantTimeEq;
        let Some(shown) = headers.get(wire::FLEET_SECRET) else {
            return false;
        };
        shown.as_bytes().ct_eq(self.0.as_bytes()).into()
    }

    /// Sets the header that carries the secret.
    pub fn set_header(&self, headers: &mut HeaderMap) {
        headers.insert(wire::FLEET_SECRET, self.0.clone());
    }
}

impl std::fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetSecret")
    }
}

impl Gateway {
    /// Handles a received request: has the host actor admit it, forwards it and returns the answer.
    pub async fn run(self: &Arc<Self>, call: Call, upload: Upload) -> Response<ProxyBody> {
        let suspect = call.suspect(&upload);
        let started = self.start(&call, suspect).await;
        let transfer = Transfer::new(self.host.clone(), Instant::now());
        match started {
            Ok(Started::Run {
                organisation,
                permit,
            }) => {
                let f = Forwarding {
                    call,
                    upload,
                    organisation,
                    suspect,
                    permit,
                    transfer,
                };
                self.forward(f).await
            }
            Ok(Started::Home { organisation, home }) => {
                log::debug!(event = "sent-home", id:% = call.id, host:% = call.id.host; "");
                let permit = Permit::new(None, None, self.metrics.clone());
                let f = Forwarding {
                    call,
                    upload,
                    organisation,
                    suspect,
                    permit,
                    transfer,
                };
                self.forward_to_home(f, home).await
            }
            Ok(Started::Wait(_)) => {
                upload.discard();
                self.refusal(&call, &Refusal::not_run(Reason::Deadline))
            }
            Ok(Started::Refused(refusal)) | Err(refusal) => {
                upload.discard();
                self.refusal(&call, &refusal)
            }
        }
    }

    async fn start(&self, call: &Call, suspect: Suspect) -> Result<Started, Refusal> {
        let own_region = self.region.load_full();
        let mut first_asked_at = None;
        loop {
            let msg = Start {
                sender: call.sender.clone(),
                route: call.route.name.clone(),
                id: call.id.clone(),
                suspect,
                foreign: call.from_region.is_some()
                    && call.from_region.as_ref() != own_region.as_deref(),
                first_asked_at,
            };
            first_asked_at = first_asked_at.or(Some(Instant::now()));
            match self.host.send(msg).await {
                Ok(Started::Wait(until)) if until < call.deadline => sleep_until(until).await,
                Ok(started) => return Ok(started),
                Err(_) => return Err(Refusal::not_run(Reason::Stopping)),
            }
        }
    }

    /// Counts and logs a refusal and returns the response for it.
    pub fn refusal(&self, call: &Call, refusal: &Refusal) -> Response<ProxyBody> {
        let organisation = call.forwarded_organisation();
        self.count_refusal(refusal, organisation);
        log::info!(
            event = "refused",
            id:% = call.id,
            route:% = call.route.name,
            reason:% = refusal.reason,
            outcome:% = refusal.outcome,
            trace:% = trace::trace_id(&call.span);
            ""
        );
        trace::annotate(&call.span, "cardamomroad.reason", refusal.reason.as_str());
        head::refusal(refusal, Some(&call.id), &self.name)
    }

    /// Counts a refusal in the metrics, under the organisation `none` if it is not known.
    pub fn count_refusal(&self, refusal: &Refusal, organisation: Option<&OrganisationName>) {
        let labels = RefusalLabels {
            reason: ReasonLabel(refusal.reason),
            organisation: organisation.map_or_else(|| "none".to_owned(), ToString::to_string),
        };
        self.metrics.refusals.get_or_create(&labels).inc();
    }

    fn record_answer(&self, call: &Call, outcome: Outcome, status: StatusCode) {
        let duration = call.received.elapsed();
        self.metrics.latency.observe(duration.as_secs_f64());
        let labels = AnswerLabels {
            route: call.route.name.to_string(),
            outcome: OutcomeLabel(outcome),
        };
        self.metrics.answers.get_or_create(&labels).inc();
        log::info!(
            event = "answered",
            id:% = call.id,
            route:% = call.route.name,
            status = status.as_u16(),
            outcome:%,
            micros = duration.as_micros(),
            trace:% = trace::trace_id(&call.span);
            ""
        );
    }

    fn set_fleet_headers(&self, headers: &mut HeaderMap, mode: ForwardMode, f: &Forwarding) {
        self.fleet_secret.set_header(headers);
        head::set(headers, wire::FORWARD, mode.as_str());
        head::set(headers, wire::ROUTE, &f.call.route.name);
        if let Some(region) = self.region.load_full() {
            head::set(headers, wire::FROM_REGION, region);
        }
    }

    /// Returns the pacer for an answer that goes over a billed link to another region.
    fn answer_pacer(&self, call: &Call) -> Option<Pacer> {
        let destination = call.from_region.clone()?;
        if self.region.load().as_deref() == Some(&destination) {
            return None;
        }
        let transfer = Transfer::new(self.host.clone(), Instant::now());
        transfer.link.store(Some(Arc::new(destination)));
        Some(transfer.pacer())
    }
}
