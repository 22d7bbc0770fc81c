//! One request on its way through a gateway.

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

/// What a request needs to know of its route.
#[derive(Clone, Debug)]
pub struct MatchedRoute {
    /// The route's name.
    pub name: ObjectName,
    /// The service that it leads to.
    pub service: ServiceName,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// The longest time that a request may take before its answer starts.
    pub deadline: Duration,
}

impl MatchedRoute {
    /// Returns what a request needs of this route.
    pub fn new(route: &Route) -> Self {
        Self {
            name: route.name.clone(),
            service: route.service.clone(),
            idempotent: route.idempotent,
            deadline: route.deadline,
        }
    }
}

/// A request whose head was read and checked.
#[derive(Debug)]
pub struct Call {
    /// Its head, without keys and without this system's own headers.
    pub parts: Parts,
    /// Its id.
    pub id: RequestId,
    /// The route that it matched.
    pub route: MatchedRoute,
    /// Who sent it.
    pub sender: Sender,
    /// The key that it came with.
    pub key: Option<KeyDigest>,
    /// The region of the entry host that sent it, where one did.
    pub from_region: Option<RegionName>,
    /// When its head had been read.
    pub received: Instant,
    /// When its answer must have started.
    pub deadline: Instant,
    /// The span of this hop.
    pub span: HopSpan,
}

impl Call {
    /// Returns the time left until the deadline.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns whether the request must run in this zone.
    pub fn is_local_only(&self) -> bool {
        matches!(self.sender, Sender::Run(_))
    }

    /// Returns the organisation that an entry host named, where one did.
    pub fn named_organisation(&self) -> Option<&OrganisationName> {
        match &self.sender {
            Sender::Caller(_) => None,
            Sender::Home(organisation) | Sender::Run(organisation) => organisation.as_ref(),
        }
    }
}

/// Holds a started request open in the host's state until it is dropped.
#[derive(Debug)]
pub struct Permit {
    host: Option<Address<Host>>,
    ticket: Option<Ticket>,
    outcome: Outcome,
    status: u16,
    metrics: Arc<Metrics>,
}

impl Permit {
    /// Returns the permit of a request of which nothing has left yet.
    ///
    /// A request that another host runs as its home has no ticket here.
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

    /// Records that a byte may have left: without news the outcome is unknown.
    pub fn left(&mut self) {
        self.outcome = Outcome::Unknown;
    }

    /// Records that what had left provably did not start.
    pub fn came_back(&mut self) {
        self.outcome = Outcome::NotRun;
    }

    /// Records what is known of the run.
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

/// One try that is open at its target until it is dropped.
#[derive(Debug)]
pub struct OpenTry {
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

impl OpenTry {
    /// Returns a try that was sent, or is about to be; without news it was abandoned.
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

    /// Adds the progress of the request's body.
    pub fn with_upload(mut self, upload: Progress) -> Self {
        self.upload = Some(upload);
        self
    }

    /// Returns where it was sent.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the progress of the answer's body.
    pub fn answer(&self) -> Progress {
        self.answer.clone()
    }

    /// Records how it ended.
    pub fn ended(&mut self, end: TryEnd) {
        self.end = end;
    }

    /// Records that its upstream said that it drains.
    pub fn drains(&mut self) {
        self.draining = true;
    }
}

impl Drop for OpenTry {
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
            bytes_out: self.upload.as_ref().map_or(0, Progress::passed),
            bytes_in: self.answer.passed(),
        };
        post(host, msg);
    }
}
