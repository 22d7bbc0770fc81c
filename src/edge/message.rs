//! Messages to the dispatcher, and the data that they carry.

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
        Regions,
        Registration, //
    },
    relay::SuspendAwareInstant,
    settings::Settings,
    topic::{
        Changes,
        Era,
        Topic, //
    },
    upstreams::{
        TryEnd,
        UpstreamKey, //
    },
};
use crate::{
    post::post,
    quarantine::{
        Suspect,
        UpstreamStart, //
    },
    util::id::{
        OrganisationName,
        ServiceName,
        UpstreamId, //
    },
};

/// The origin of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOrigin {
    /// A read of the store.
    Store,
    /// An answer of the relay.
    Relay,
}

/// Reports an update of a topic.
#[derive(Debug)]
pub struct TopicObserved {
    /// The topic that was read.
    pub topic: Topic,
    /// Whether the update comes from the store or from the relay.
    pub origin: UpdateOrigin,
    /// When the read of the store was sent.
    pub read_at: SuspendAwareInstant,
    /// The result of the read.
    pub news: TopicUpdate,
}

/// Reports that the store has begun or ceased to fail, or that an outage has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreObserved {
    /// Whether the store does not answer this host.
    pub is_failing: bool,
    /// When the last outage ended that may have let registrations of upstreams lapse.
    pub outage_ended_at: Option<Instant>,
}

/// Reports that the known era of the store has changed.
#[derive(Clone, Copy, Debug)]
pub struct EraChanged {
    /// The era that was known before.
    pub old: Era,
    /// The era that is known now.
    pub new: Era,
}

/// The result of reading a topic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TopicUpdate {
    /// All records of the topic.
    Whole(Changes),
    /// The changes since the last read.
    Since(Changes),
}

impl TopicUpdate {
    /// Returns whether this may change the records of the topic.
    pub fn is_change(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Since(changes) => !changes.changes.is_empty(),
        }
    }

    /// Returns the era of the store that was read; `None` if the answer had no valid one.
    pub fn era(&self) -> Option<Era> {
        match self {
            Self::Whole(changes) | Self::Since(changes) => changes.era,
        }
    }
}

/// A request for which the dispatcher has to choose an upstream.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's request id, for logs.
    pub id: String,
    /// The service whose upstreams can run it.
    pub service: ServiceName,
    /// The organisation whose rate limit applies; `None` if the route needs no key.
    pub organisation: Option<OrganisationName>,
    /// Priority of the organisation, or else of the route.
    pub priority: Priority,
    /// Priority of the route; it orders requests whose `priority` is the same.
    pub route_priority: Priority,
    /// Hash of the route's path prefix.
    pub route: u64,
    /// Bytes that pass between this host and the upstream: the length of the body, and the expected
    /// size of the answer if it is large.
    pub bytes: u64,
    /// Hash of the affinity key, or of the request id if it has none.
    pub object: u64,
    /// Whether the request has an affinity key, so that requests with the same one should
    /// reach the same upstreams.
    pub has_object: bool,
    /// Regions in which it may run; an empty list allows all.
    pub regions: Regions,
    /// When its head was read.
    pub received: Instant,
    /// Fingerprint by which repeats of the request are recognised.
    pub suspect: Suspect,
    /// Time that the caller lost with earlier attempts.
    pub lost_time: Duration,
    /// Target latency of the route; a later answer is worth less.
    pub latency_target: Duration,
    /// When the caller or the route stops waiting.
    pub deadline: Instant,
    /// Upstreams that the request was already sent to.
    pub tried: SmallVec<[UpstreamKey; 2]>,
    /// Whether one of the tried upstreams may have run it.
    pub may_have_run: bool,
}

impl Job {
    /// Returns the hash of its affinity key, if it has one.
    pub fn affinity_hash(&self) -> Option<u64> {
        self.has_object.then_some(self.object)
    }

    /// Returns the organisation's name for logs, or `-` without an organisation.
    pub fn organisation_text(&self) -> &str {
        self.organisation.as_ref().map_or("-", |o| o.as_str())
    }
}

/// Asks the dispatcher for an upstream.
#[derive(Debug)]
pub struct Submit {
    /// The request to place.
    pub job: Job,
    /// Receives the decision.
    pub reply: oneshot::Sender<PlacementDecision>,
}

/// The dispatcher's decision on a request.
#[derive(Debug)]
pub enum PlacementDecision {
    /// The request may be sent to an upstream.
    Send(Box<ReservedSlot>),
    /// The request is refused and does not run.
    Refused(Refused),
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The organisation has reached its rate limit.
    Rate,
    /// No slot became free in time.
    Busy,
    /// No upstream of the service may run it.
    NoUpstream,
    /// All upstreams that may run it want no requests from this host for a while.
    Paused,
    /// The service's retry budget is used up.
    RetryBudget,
    /// No further attempt is allowed: the route's limit is reached, or too little time is
    /// left.
    TriesExhausted,
    /// Requests with the same fingerprint have crashed upstreams.
    Quarantine,
    /// The limit for buffered bodies is reached.
    Memory,
    /// The host is stopping, and may exit before the request ends.
    Stopping,
}

impl RefusalReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Rate => "rate",
            Self::Busy => "busy",
            Self::NoUpstream => "no-upstream",
            Self::Paused => "paused",
            Self::RetryBudget => "retry-budget",
            Self::TriesExhausted => "tries",
            Self::Quarantine => "quarantine",
            Self::Memory => "memory",
            Self::Stopping => "stopping",
        }
    }
}

/// The refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The reason for the refusal.
    pub reason: RefusalReason,
    /// After which time the caller should retry.
    pub retry_after: Duration,
}

/// A reserved slot at an upstream. Dropping it releases the slot and reports the end of
/// the attempt to the dispatcher.
#[derive(Debug)]
pub struct ReservedSlot {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Id of the upstream, as it registered.
    pub id: UpstreamId,
    /// Short key of the upstream in messages between hosts.
    pub key: UpstreamKey,
    /// The start of the upstream that the slot belongs to.
    pub start: UpstreamStart,
    started_at: Instant,
    /// When the head of the upstream's answer arrived.
    reported_at: Option<Instant>,
    ended: Option<AttemptEnded>,
    dispatcher: Option<Address<Dispatcher>>,
}

impl ReservedSlot {
    /// Returns a reserved slot. When it is dropped, `ended` is sent to the dispatcher.
    pub fn new(
        upstream: &Registration,
        ended: AttemptEnded,
        dispatcher: Option<Address<Dispatcher>>,
    ) -> Self {
        Self {
            address: upstream.address,
            id: upstream.id.clone(),
            start: upstream.start(),
            key: ended.key,
            started_at: Instant::now(),
            reported_at: None,
            ended: Some(ended),
            dispatcher,
        }
    }

    /// Records how the attempt ended.
    pub fn ended(&mut self, end: TryEnd) {
        if let Some(ended) = &mut self.ended {
            ended.end = end;
        }
    }

    /// Records that the upstream itself has answered the request with this fingerprint completely.
    pub fn answered(&mut self, suspect: Suspect) {
        if let Some(ended) = &mut self.ended {
            ended.answered = Some(suspect);
        }
    }

    /// Records the size of a complete answer's body.
    pub fn received(&mut self, bytes: u64) {
        if let Some(ended) = &mut self.ended {
            ended.answer_bytes = Some(bytes);
        }
    }

    /// Records the load that the upstream reported with its answer.
    pub fn reported(&mut self, load: Option<LoadReport>) {
        if let Some(ended) = &mut self.ended {
            ended.load = load;
            self.reported_at = Some(Instant::now());
        }
    }
}

impl Drop for ReservedSlot {
    fn drop(&mut self) {
        let (Some(dispatcher), Some(mut ended)) = (&self.dispatcher, self.ended.take()) else {
            return;
        };
        ended.held = self.started_at.elapsed();
        // The body may have taken a while after the head with the report.
        if let (Some(at), Some(load)) = (self.reported_at, &mut ended.load) {
            load.pace = load.pace.map(|pace| pace.aged(at.elapsed()));
        }
        post(dispatcher, ended);
    }
}

/// Reports that an attempt has ended.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The attempt that has ended.
    pub run: RunId,
    /// The requested service.
    pub service: ServiceName,
    /// The upstream that the request was sent to.
    pub key: UpstreamKey,
    /// Hash of the request's route.
    pub route: u64,
    /// Position of the object among those that the upstream had handled recently; `None`
    /// if it was not one of them.
    pub list_index: Option<usize>,
    /// How the attempt ended.
    pub end: TryEnd,
    /// How long the attempt held its slot.
    pub held: Duration,
    /// The load that the upstream reported with its answer, if any.
    pub load: Option<LoadReport>,
    /// Fingerprint of the request, if the upstream itself answered it completely.
    pub answered: Option<Suspect>,
    /// Size of the answer's body in bytes, if the answer is complete.
    pub answer_bytes: Option<u64>,
}

/// Reports that an upstream crashed while it ran a request.
#[derive(Debug)]
pub struct UpstreamCrashed {
    /// The start of the upstream that crashed.
    pub upstream: UpstreamStart,
    /// Fingerprint of the request.
    pub suspect: Suspect,
}

/// What an upstream has said about itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamNotice {
    /// It is about to stop and accepts no new requests.
    Leaving,
    /// It wants no requests from this host for the given time.
    Pause(Duration),
}

/// Reports what an upstream has said about itself.
#[derive(Debug)]
pub struct UpstreamSaid {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// The start of the upstream that has said it.
    pub upstream: UpstreamStart,
    /// What it has said.
    pub notice: UpstreamNotice,
}

/// Replaces the settings.
#[derive(Debug)]
pub struct Reload {
    /// The new settings.
    pub settings: Arc<Settings>,
}

/// Returns the rate-limit token of a request that did not run.
#[derive(Debug)]
pub struct RefundToken {
    /// The organisation that gets the token back.
    pub organisation: OrganisationName,
}

/// Triggers the dispatcher's periodic work.
#[derive(Debug)]
pub struct Tick;

/// Delivers a message from another host.
#[derive(Debug)]
pub struct DatagramReceived {
    /// The decoded message.
    pub msg: Datagram,
}

/// Asks for the addresses of the hosts that a caller should use.
#[derive(Debug)]
pub struct Lookup {
    /// The caller's query.
    pub query: LookupQuery,
}

/// Asks for a host whose registration this host is to remove from the store.
#[derive(Debug)]
pub struct GoneHost;

/// Asks whether the host takes requests.
#[derive(Debug)]
pub struct IsReady;

/// Asks for the configuration to check keys against; the answer is `None` while it may lack the
/// withdrawal of a key.
///
/// A configuration that is loaded elsewhere may be an earlier one than the one that was confirmed.
#[derive(Debug)]
pub struct ConfirmedConfiguration;

/// Announces that the host is about to stop.
#[derive(Debug)]
pub struct BeginShutdown;
