//! One request on its way through a gateway.

use std::time::Duration;

use hyper::http::request::Parts;
use tokio::time::Instant;
use xtra::Address;

use crate::{
    config::object::Route,
    host::{
        Host,
        message::{
            Finish,
            Sender, //
        },
    },
    post::post,
    refusal::{
        Outcome,
        Refusal, //
    },
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
    host: Address<Host>,
    id: RequestId,
    outcome: Outcome,
    status: u16,
}

impl Permit {
    /// Returns the permit of a request of which nothing has left yet.
    pub fn new(host: Address<Host>, id: RequestId) -> Self {
        Self {
            host,
            id,
            outcome: Outcome::NotRun,
            status: 0,
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

    /// Records a refusal.
    pub fn refused(&mut self, refusal: &Refusal) {
        self.outcome = refusal.outcome;
        self.status = refusal.reason.status();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let msg = Finish {
            id: self.id.clone(),
            outcome: self.outcome,
            status: self.status,
        };
        post(&self.host, msg);
    }
}
