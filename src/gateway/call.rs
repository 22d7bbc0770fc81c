//! The state of one request while a gateway handles it.

use std::{
    sync::Arc,
    time::Duration, //
};

use hyper::http::request::Parts;
use tokio::time::Instant;
use xtra::Address;

use crate::{
    body::Progress,
    config::object::Route,
    host::{
        Host,
        message::{
            Finish,
            Sender,
            Target,
            Ticket,
            TryEnd,
            TryFinished, //
        },
    },
    metrics::Metrics,
    post::post,
    quarantine::Suspect,
    refusal::Outcome,
    trace::HopSpan,
    util::id::{
        KeyDigest,
        ObjectName,
        OrganisationName,
        RegionName,
        RequestId,
        ServiceName, //
    },
};

/// The settings of a route that apply to a single request.
#[derive(Clone, Debug)]
pub struct MatchedRoute {
    /// The route's name, for logs, metrics and the route header.
    pub name: ObjectName,
    /// The service whose upstreams handle the request.
    pub service: ServiceName,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// The longest time from the receipt of the request to the head of its answer.
    pub deadline: Duration,
}

impl MatchedRoute {
    /// Copies the settings from a configured route.
    pub fn new(route: &Route) -> Self {
        Self {
            name: route.name.clone(),
            service: route.service.clone(),
            idempotent: route.idempotent,
            deadline: route.deadline,
        }
    }
}

/// A request whose head has been read and validated.
#[derive(Debug)]
pub struct Call {
    /// The request's head, without API keys, hop-by-hop headers and `x-cardamomroad-` headers.
    pub parts: Parts,
    /// The id that the caller or the forwarding host sent, or a generated one.
    pub id: RequestId,
    /// The route that it matched.
    pub route: MatchedRoute,
    /// The sender: a caller, or another entry host.
    pub sender: Sender,
    /// The digest of the API key that the caller sent; `None` without one
    /// and for forwarded requests.
    pub key: Option<KeyDigest>,
    /// The region of the entry host that forwarded the request; `None` if it came from a caller.
    pub from_region: Option<RegionName>,
    /// When the head was received.
    pub received: Instant,
    /// The time by which the head of the answer has to arrive.
    pub deadline: Instant,
    /// The trace span of this hop.
    pub span: HopSpan,
}

impl Call {
    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns whether the request has to run on an upstream of this zone.
    pub fn is_local_only(&self) -> bool {
        matches!(self.sender, Sender::Run(_))
    }

    /// Returns the organisation that the forwarding entry host sent; `None` for a caller's request.
    pub fn forwarded_organisation(&self) -> Option<&OrganisationName> {
        match &self.sender {
            Sender::Caller(_) => None,
            Sender::Home(organisation) | Sender::Run(organisation) => organisation.as_ref(),
        }
    }
}

/// Keeps an admitted request registered with the host actor; reports its outcome when dropped.
#[derive(Debug)]
pub struct Permit {
    host: Option<Address<Host>>,
    ticket: Option<Ticket>,
    outcome: Outcome,
    status: u16,
    metrics: Arc<Metrics>,
}

impl Permit {
    /// Creates the permit of a request of which nothing has been sent yet.
    ///
    /// A request that is forwarded to its home host has no ticket on this host.
    pub fn new(host: Option<Address<Host>>, ticket: Option<Ticket>, metrics: Arc<Metrics>) -> Self {
        metrics.in_flight.inc();
        Self {
            host,
            ticket,
            outcome: Outcome::NotRun,
            status: 0,
            metrics,
        }
    }

    /// Records that bytes may have been sent: the outcome is unknown unless it is set later.
    pub fn mark_sent(&mut self) {
        self.outcome = Outcome::Unknown;
    }

    /// Records that no upstream started the request, although bytes were sent.
    pub fn mark_not_started(&mut self) {
        self.outcome = Outcome::NotRun;
    }

    /// Records the final outcome and the status of the answer.
    pub fn ended(&mut self, outcome: Outcome, status: u16) {
        self.outcome = outcome;
        self.status = status;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.metrics.in_flight.dec();
        let (Some(host), Some(ticket)) = (&self.host, self.ticket) else {
            return;
        };
        let msg = Finish {
            ticket,
            outcome: self.outcome,
            status: self.status,
        };
        post(host, msg);
    }
}

/// An attempt to send a request to a target; reports its result to the host actor when dropped.
#[derive(Debug)]
pub struct TryGuard {
    host: Option<Address<Host>>,
    service: ServiceName,
    target: Target,
    organisation: Option<OrganisationName>,
    suspect: Suspect,
    end: TryEnd,
    draining: bool,
    upload: Option<Progress>,
    answer: Progress,
}

impl TryGuard {
    /// Creates an attempt that was sent or is about to be. It counts as abandoned
    /// unless an end is set.
    pub fn new(
        host: Option<Address<Host>>,
        service: ServiceName,
        target: Target,
        organisation: Option<OrganisationName>,
        suspect: Suspect,
    ) -> Self {
        Self {
            host,
            service,
            target,
            organisation,
            suspect,
            end: TryEnd::Abandoned,
            draining: false,
            upload: None,
            answer: Progress::new(Instant::now()),
        }
    }

    /// Sets the progress of the request's body, whose bytes are reported at the end.
    pub fn with_upload(mut self, upload: Progress) -> Self {
        self.upload = Some(upload);
        self
    }

    /// Returns the upstream or gateway that this attempt is sent to.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the progress of the answer's body, to be updated while it is transferred.
    pub fn answer(&self) -> Progress {
        self.answer.clone()
    }

    /// Sets how the attempt ended.
    pub fn ended(&mut self, end: TryEnd) {
        self.end = end;
    }

    /// Records that the upstream refused the request because it is draining.
    pub fn mark_draining(&mut self) {
        self.draining = true;
    }
}

impl Drop for TryGuard {
    fn drop(&mut self) {
        let Some(host) = &self.host else {
            return;
        };
        let msg = TryFinished {
            service: self.service.clone(),
            target: self.target.clone(),
            organisation: self.organisation.clone(),
            end: self.end,
            draining: self.draining,
            suspect: self.suspect,
            bytes_out: self.upload.as_ref().map_or(0, Progress::bytes_transferred),
            bytes_in: self.answer.bytes_transferred(),
        };
        post(host, msg);
    }
}
