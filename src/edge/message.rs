//! Messages to the dispatcher.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;
use tokio::{
    sync::oneshot,
    time::Instant, //
};
use xtra::Address;

use super::{
    datagram::{
        Datagram,
        RunId, //
    },
    dialect::{
        LoadReport,
        LookupQuery, //
    },
    dispatcher::Dispatcher,
    model::{
        Priority,
        Regions, //
    },
    settings::Settings,
    topic::{
        Changes,
        Topic, //
    },
    upstreams::{
        TryEnd,
        UpstreamKey, //
    },
};
use crate::{
    post::post,
    quarantine::Suspect,
    util::id::{
        OrganisationName,
        ServiceName,
        UpstreamId, //
    },
};

/// Where news comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A read of the store.
    Store,
    /// Another host.
    Relay,
}

/// What a topic's follower learned.
#[derive(Debug)]
pub struct Observed {
    /// The topic.
    pub topic: Topic,
    /// Where it comes from.
    pub origin: Origin,
    /// When the read was sent.
    pub asked_at: Instant,
    /// The time spent suspended when the read was sent.
    pub suspended: Duration,
    /// What came.
    pub news: News,
}

/// What a read of a topic brought.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum News {
    /// All records of the topic.
    Whole(Changes),
    /// The changes since the last read.
    Since(Changes),
    /// Nothing: the platform did not answer.
    Outage,
}

impl News {
    /// Returns whether it may change what a host knows.
    pub fn is_change(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Since(changes) => !changes.changes.is_empty(),
            Self::Outage => false,
        }
    }
}

/// A request that needs an upstream.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's id of the request, for logs.
    pub id: String,
    /// The service.
    pub service: ServiceName,
    /// The organisation whose rate it counts against.
    pub organisation: Option<OrganisationName>,
    /// Its rank.
    pub priority: Priority,
    /// The hash of its route.
    pub route: u64,
    /// Bytes of its body.
    pub bytes: u64,
    /// The hash of the object that it concerns, or of the request where there is none.
    pub object: u64,
    /// Whether it concerns an object, which an upstream then remembers.
    pub has_object: bool,
    /// Regions in which it may run; an empty list allows all.
    pub regions: Regions,
    /// When its head had been read.
    pub received: Instant,
    /// What identifies it when it is sent again.
    pub suspect: Suspect,
    /// Time that the caller lost with earlier attempts.
    pub lost: Duration,
    /// The time within which an answer earns its full worth.
    pub aim: Duration,
    /// When the caller or the route stops waiting.
    pub deadline: Instant,
    /// Upstreams that were tried already.
    pub tried: SmallVec<[UpstreamKey; 2]>,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
}

impl Job {
    /// Returns the hash of its object, where it concerns one.
    pub fn remembered(&self) -> Option<u64> {
        self.has_object.then_some(self.object)
    }

    /// Returns the organisation for logs; `-` where there is none.
    pub fn organisation_text(&self) -> &str {
        self.organisation.as_ref().map_or("-", |o| o.as_str())
    }
}

/// Asks for an upstream.
#[derive(Debug)]
pub struct Submit {
    /// The request.
    pub job: Job,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Verdict>,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Verdict {
    /// It goes to an upstream.
    Send(Placed),
    /// It does not run.
    Refused(Refused),
}

/// Why a request does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Its organisation's rate is used up.
    Rate,
    /// All slots are taken.
    Busy,
    /// No upstream of the service may take it.
    NoUpstream,
    /// The retries of the service are used up.
    RetryBudget,
    /// It was sent to as many upstreams as its route allows.
    Tries,
    /// Requests like it have crashed upstreams.
    Quarantine,
    /// There is no memory left to keep its body.
    Memory,
}

impl Why {
    /// Returns the word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Rate => "rate",
            Self::Busy => "busy",
            Self::NoUpstream => "no-upstream",
            Self::RetryBudget => "retry-budget",
            Self::Tries => "tries",
            Self::Quarantine => "quarantine",
            Self::Memory => "memory",
        }
    }
}

/// A refusal: nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub why: Why,
    /// When to come back.
    pub after: Duration,
}

/// An upstream that a request may be sent to; dropping it gives the slot back.
#[derive(Debug)]
pub struct Placed {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its id.
    pub id: UpstreamId,
    /// Its key.
    pub key: UpstreamKey,
    since: Instant,
    ended: Option<Ended>,
    dispatcher: Option<Address<Dispatcher>>,
}

impl Placed {
    /// Returns the right to one slot. `ended` is told when it is dropped.
    pub fn new(
        address: SocketAddr,
        id: UpstreamId,
        ended: Ended,
        dispatcher: Option<Address<Dispatcher>>,
    ) -> Self {
        Self {
            address,
            id,
            key: ended.key,
            since: Instant::now(),
            ended: Some(ended),
            dispatcher,
        }
    }

    /// Records how the try ended.
    pub fn ended(&mut self, end: TryEnd) {
        if let Some(ended) = &mut self.ended {
            ended.end = end;
        }
    }

    /// Records the upstream's report of its load.
    pub fn reported(&mut self, load: Option<LoadReport>) {
        if let Some(ended) = &mut self.ended {
            ended.load = load;
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let (Some(dispatcher), Some(mut ended)) = (&self.dispatcher, self.ended.take()) else {
            return;
        };
        ended.held = self.since.elapsed();
        post(dispatcher, ended);
    }
}

/// One try has ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The try.
    pub run: RunId,
    /// The service.
    pub service: ServiceName,
    /// The upstream.
    pub key: UpstreamKey,
    /// The hash of the request's route.
    pub route: u64,
    /// The place that its object had among those that the upstream handled lately.
    pub place: Option<usize>,
    /// How it ended.
    pub end: TryEnd,
    /// How long it held its slot.
    pub held: Duration,
    /// The upstream's report.
    pub load: Option<LoadReport>,
}

/// An upstream ended while it worked on a request.
#[derive(Debug)]
pub struct Crashed {
    /// Where it listened.
    pub upstream: SocketAddr,
    /// The request.
    pub suspect: Suspect,
}

/// The settings have changed.
#[derive(Debug)]
pub struct Reload {
    /// The new settings.
    pub settings: Arc<Settings>,
}

/// The token of a request that did not run goes back.
#[derive(Debug)]
pub struct Refund {
    /// The organisation.
    pub organisation: OrganisationName,
}

/// Time has passed.
#[derive(Debug)]
pub struct Tick;

/// Another host spoke.
#[derive(Debug)]
pub struct Heard {
    /// What it said.
    pub msg: Datagram,
}

/// Asks which hosts a caller should use.
#[derive(Debug)]
pub struct Lookup {
    /// The caller's question.
    pub query: LookupQuery,
}

/// Asks whether the host takes requests.
#[derive(Debug)]
pub struct IsReady;

/// Asks whether requests with keys may run.
#[derive(Debug)]
pub struct IsFresh;

/// The host is about to stop.
#[derive(Debug)]
pub struct Leave;
