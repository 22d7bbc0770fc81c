//! One request on its way through a gateway.

use std::{
    sync::Arc,
    time::Duration, //
};

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
        Reason,
        Refusal, //
    },
    trace::HopSpan,
    util::id::{
        KeyDigest,
        OrganisationName,
        RegionName,
        RequestId, //
    },
};

/// A request whose head was read and checked.
#[derive(Debug)]
pub struct Call {
    /// Its head, without keys and without this system's own headers.
    pub parts: Parts,
    /// Its id.
    pub id: RequestId,
    /// The route that it matched.
    pub route: Arc<Route>,
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
    recorded: bool,
    outcome: Outcome,
    reason: Option<Reason>,
}

impl Permit {
    /// Returns the permit of a request of which nothing has left yet.
    pub fn new(host: Address<Host>, id: RequestId, recorded: bool) -> Self {
        Self {
            host,
            id,
            recorded,
            outcome: Outcome::NotRun,
            reason: None,
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
    pub fn ended(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Records a refusal.
    pub fn refused(&mut self, refusal: &Refusal) {
        self.outcome = refusal.outcome;
        self.reason = Some(refusal.reason);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let msg = Finish {
            id: self.id.clone(),
            outcome: self.outcome,
            reason: self.reason,
            recorded: self.recorded,
        };
        post(&self.host, msg);
    }
}
