//! The gateway: takes requests from callers and from other entry hosts,
//! forwards them and hands their answers on.

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
            Forward,
            Forwarding, //
        },
        keys::Keys,
        upload::{
            Passage,
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

/// The configuration in force, absent until there is one.
pub type IndexInForce = Arc<ArcSwapOption<Index>>;

/// Everything that requests of one host share.
#[derive(Debug)]
pub struct Gateway {
    /// This host's name.
    pub name: HostName,
    /// This host's incarnation.
    pub incarnation: Incarnation,
    /// When this incarnation started; stamps count from here.
    pub started: Instant,
    /// The actor that owns the host's state.
    pub host: Address<Host>,
    /// The configuration in force.
    pub index: IndexInForce,
    /// The keys' standing, for running bodies.
    pub keys: Arc<Keys>,
    /// The look-up table in force.
    pub table: Arc<ArcSwapOption<Table>>,
    /// Connections to upstreams and other entry hosts.
    pub connections: Connections,
    /// Traces.
    pub tracing: Tracing,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// What entry hosts show one another.
    pub fleet_secret: Arc<FleetSecret>,
    /// This host's region, once the configuration tells it.
    pub region: Arc<ArcSwapOption<RegionName>>,
}

/// The secret that entry hosts show one another.
pub struct FleetSecret(hyper::header::HeaderValue);

impl FleetSecret {
    /// Returns the secret in the form of a header's value, or `None` where it cannot be one.
    pub fn new(secret: &[u8]) -> Option<Self> {
        let mut value = hyper::header::HeaderValue::from_bytes(secret).ok()?;
        value.set_sensitive(true);
        Some(Self(value))
    }

    /// Returns whether a request shows the secret, in constant time.
    pub fn is_shown_by(&self, headers: &HeaderMap) -> bool {
        use subtle::ConstantTimeEq;
        let Some(shown) = headers.get(wire::FLEET) else {
            return false;
        };
        shown.as_bytes().ct_eq(self.0.as_bytes()).into()
    }

    /// Shows the secret in a request.
    pub fn show(&self, headers: &mut HeaderMap) {
        headers.insert(wire::FLEET, self.0.clone());
    }
}

impl std::fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetSecret")
    }
}

impl Gateway {
    /// Runs a request that was received, from its budget to its answer.
    pub async fn run(self: &Arc<Self>, call: Call, upload: Upload) -> Response<ProxyBody> {
        let suspect = call.suspect(&upload);
        let started = self.start(&call, suspect).await;
        let passage = Passage::new(self.host.clone(), Instant::now());
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
                    passage,
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
                    passage,
                };
                self.send_home(f, home).await
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
        let mut first_try = None;
        loop {
            let msg = Start {
                sender: call.sender.clone(),
                route: call.route.name.clone(),
                id: call.id.clone(),
                suspect,
                foreign: call.from_region.is_some()
                    && call.from_region.as_ref() != own_region.as_deref(),
                first_try,
            };
            first_try = first_try.or(Some(Instant::now()));
            match self.host.send(msg).await {
                Ok(Started::Wait(until)) if until < call.deadline => sleep_until(until).await,
                Ok(started) => return Ok(started),
                Err(_) => return Err(Refusal::not_run(Reason::Stopping)),
            }
        }
    }

    /// Returns the answer that tells of a refusal, after counting it.
    pub fn refusal(&self, call: &Call, refusal: &Refusal) -> Response<ProxyBody> {
        let organisation = call.named_organisation();
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

    /// Counts a refusal.
    pub fn count_refusal(&self, refusal: &Refusal, organisation: Option<&OrganisationName>) {
        let labels = RefusalLabels {
            reason: ReasonLabel(refusal.reason),
            organisation: organisation.map_or_else(|| "none".to_owned(), ToString::to_string),
        };
        self.metrics.refusals.get_or_create(&labels).inc();
    }

    fn record_answer(&self, call: &Call, outcome: Outcome, status: StatusCode) {
        let took = call.received.elapsed();
        self.metrics.latency.observe(took.as_secs_f64());
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
            micros = took.as_micros(),
            trace:% = trace::trace_id(&call.span);
            ""
        );
    }

    fn set_fleet_headers(&self, headers: &mut HeaderMap, forward: Forward, f: &Forwarding) {
        self.fleet_secret.show(headers);
        head::set(headers, wire::FORWARD, forward.as_str());
        head::set(headers, wire::ROUTE, &f.call.route.name);
        if let Some(region) = self.region.load_full() {
            head::set(headers, wire::FROM_REGION, region);
        }
    }

    /// Returns the pacer of an answer that goes over a billed link.
    fn answer_pacer(&self, call: &Call) -> Option<Pacer> {
        let to = call.from_region.clone()?;
        if self.region.load().as_deref() == Some(&to) {
            return None;
        }
        let passage = Passage::new(self.host.clone(), Instant::now());
        passage.link.store(Some(Arc::new(to)));
        Some(passage.pacer())
    }
}
