//! Follows the platform's topics, either at the store or through a relay: another host
//! that forwards the updates it has received.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{
        Body,
        Incoming, //
    },
};
use thiserror::Error;
use tokio::{
    sync::watch,
    time::{
        Instant,
        sleep,
        sleep_until,
        timeout,
        timeout_at, //
    },
};

use super::{
    freshness,
    message::TopicUpdate,
    metrics::{
        EdgeMetrics,
        ReadLabels, //
    },
    relay::{
        RelayAnswer,
        RelayQuery,
        SuspendAwareInstant,
        TopicCaches, //
    },
    settings::{
        Bounds,
        Settings, //
    },
    store_era::EraStep,
    store_health::StoreState,
    topic::{
        ANSWER_TIMEOUT,
        Source,
        SourceError,
        Topic, //
    },
};
use crate::{
    body::{
        ProxyBody,
        empty,
        full, //
    },
    connection::{
        CallError,
        Connections, //
    },
    held_bytes::HeldBytes,
};

/// The pause after the first failed read; it doubles with each further failure up to
/// [`RETRY_PAUSE_MAX`].
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest pause between two failed reads.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);
/// The longest such pause of a zone member, whose relay is retrying as well.
const RETRY_PAUSE_MAX_MEMBER: Duration = Duration::from_millis(1600);
/// How long a zone leader's query to its relay waits for changes.
const LEADER_QUERY_WAIT: Duration = Duration::from_millis(250);
/// How long the relay's answer may take beyond the query's wait.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after a query that the relay did not answer.
const RELAY_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long a follower may take to send a query.
const QUERY_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest query of a follower, in bytes; a query names a few topics and their revisions.
const QUERY_BYTES_MAX: usize = 64 * 1024;
/// The longest time that an update takes from one host to the next, also across regions.
const HOP_LATENCY_MAX: Duration = Duration::from_millis(100);
/// How long a host's own read of the store takes, once the relay's updates are too old.
const STORE_READ_TIME: Duration = Duration::from_millis(200);
/// A member's query to its zone leader waits the tightest bound divided by this.
const MEMBER_WAIT_DIVISOR: u32 = 8;
/// The fraction of a bound, less its fixed delays, that one watch waits. Data may be two
/// watches old: the one that returned it and the one in progress. The rest is a margin for
/// timers that fire late.
const WATCH_WAIT_FRACTION: f64 = 0.45;
/// The largest fraction of a bound that a watch waits on a host without followers.
const LONE_WAIT_FRACTION: f64 = 0.4;
/// The fraction of a bound, less the time in which a silent connection is noticed and the topic is
/// read again, that such a watch waits at most. The rest is a margin for timers that fire late.
const LONE_WAIT_REST_FRACTION: f64 = 0.9;
/// The shortest wait of a watch, whatever the bounds are.
const WATCH_WAIT_MIN: Duration = Duration::from_millis(150);
/// How long a watch of the registered hosts waits; no bound limits the age of this topic.
const HOSTS_WATCH_WAIT: Duration = Duration::from_secs(8);
/// How long hosts that start together for the first time wait before their first reads.
/// The store's lists of hosts may be seconds old and so lack the latest registrations.
const FIRST_START_PAUSE: Duration = Duration::from_millis(2500);
/// How long a new process delays its first reads until a relay is known.
const FIRST_RELAY_WAIT: Duration = Duration::from_millis(800);
/// How often a new process checks whether the relay has answered.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A host's level in the relay tree below the host that reads the store. Lower levels wait
/// longer before they read the store themselves, since their relay may be doing so already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayLevel {
    /// The best leader of a region; it queries the host that reads the store.
    Region,
    /// The leader of a zone; it queries the best leader of its region.
    Zone,
    /// Any other host; it queries the leader of its zone.
    Member,
}

/// The host that is queried for updates instead of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayTarget {
    /// Address at which the relay answers queries.
    pub address: SocketAddr,
    /// Level of the querying host.
    pub level: RelayLevel,
}

/// Where a host gets its updates, and whether it forwards them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateSource {
    /// The relay that it queries; `None` if it reads the store.
    pub relay: Option<RelayTarget>,
    /// Whether other hosts query this one.
    pub has_followers: bool,
}

impl UpdateSource {
    /// Returns whether many other hosts are likely to read the store at the same time as
    /// this one. This holds for members, since all of them lose the same relay.
    fn is_member(&self) -> bool {
        self.relay.is_some_and(|r| r.level == RelayLevel::Member)
    }
}

/// Timing parameters for following a topic.
#[derive(Clone, Copy, Debug)]
pub struct FollowTimings {
    /// How long a watch waits for changes. It bounds the age of the data.
    pub wait: Duration,
    /// How long a watch waits on a host without followers.
    pub wait_without_followers: Duration,
    /// The shortest time between two reads; changes in between arrive in one batch.
    pub min_interval: Duration,
    /// How long a member's query to its relay waits for changes.
    pub member_query_wait: Duration,
}

impl FollowTimings {
    /// Returns the timing parameters with which a topic's changes take effect within the
    /// bounds.
    pub fn new(topic: Topic, bounds: &Bounds) -> Self {
        let member_query_wait = bounds.drain.min(bounds.adoption) / MEMBER_WAIT_DIVISOR;
        let keys = bounds.revocation.saturating_sub(freshness::CHECK_MARGIN);
        let (bound, min_interval_ms) = match topic {
            Topic::Configuration => (Some(bounds.adoption.min(keys)), 100),
            Topic::Upstreams => (Some(bounds.drain), 400),
            Topic::Evacuations => (Some(bounds.evacuation), 200),
            Topic::Hosts => (None, 500),
        };
        let mut timings = Self {
            wait: Duration::ZERO,
            wait_without_followers: HOSTS_WATCH_WAIT,
            min_interval: Duration::from_millis(min_interval_ms),
            member_query_wait,
        };
        // `timings.wait` is still zero here, so this is the delay of the relay chain alone.
        let relay_delay = timings.relayed_max_age(RelayLevel::Member) + STORE_READ_TIME;
        let watch = |bound: Duration| {
            bound
                .saturating_sub(relay_delay)
                .mul_f64(WATCH_WAIT_FRACTION)
        };
        timings.wait = bound.map_or(HOSTS_WATCH_WAIT, |b| watch(b).max(WATCH_WAIT_MIN));
        let lone_watch = |bound: Duration| {
            let recovery = ANSWER_TIMEOUT + RETRY_PAUSE_MIN + STORE_READ_TIME;
            let rest = bound.saturating_sub(recovery);
            let wait = bound.mul_f64(LONE_WAIT_FRACTION);
            wait.min(rest.mul_f64(LONE_WAIT_REST_FRACTION))
        };
        timings.wait_without_followers =
            bound.map_or(HOSTS_WATCH_WAIT, |b| lone_watch(b).max(timings.wait));
        timings
    }

    /// Returns how long a query to a relay waits for changes.
    pub fn query_wait(&self, level: RelayLevel) -> Duration {
        match level {
            RelayLevel::Region | RelayLevel::Zone => LEADER_QUERY_WAIT,
            RelayLevel::Member => self.member_query_wait,
        }
    }

    /// Returns how old relayed data may be before a host reads the store itself.
    ///
    /// The underlying read may be two watch waits old: the watch that returned it and the
    /// one in progress. Each hop adds its query, and the time to read the store itself in
    /// case its own relay has failed.
    pub fn relayed_max_age(&self, level: RelayLevel) -> Duration {
        let hop = |level| self.query_wait(level) + HOP_LATENCY_MAX;
        let read = self.wait * 2 + hop(RelayLevel::Region);
        match level {
            RelayLevel::Region => read,
            RelayLevel::Zone => read + STORE_READ_TIME + hop(RelayLevel::Zone),
            RelayLevel::Member => {
                read + (STORE_READ_TIME + hop(RelayLevel::Zone))
                    + STORE_READ_TIME
                    + hop(RelayLevel::Member)
            }
        }
    }

    /// Returns how long a watch waits, depending on whether the host has followers.
    fn watch_wait(&self, path: UpdateSource) -> Duration {
        match path.has_followers {
            true => self.wait,
            false => self.wait_without_followers,
        }
    }
}

/// Waits for a topic's first update from a relay, as long as one is known and answers.
///
/// Every process reads the registered hosts from the store, since they determine the relay.
async fn wait_for_relay(
    topic: Topic,
    caches: &TopicCaches,
    timings: FollowTimings,
    mut path: watch::Receiver<UpdateSource>,
) {
    if topic == Topic::Hosts {
        return;
    }
    let end = Instant::now() + FIRST_RELAY_WAIT;
    if !matches!(timeout_at(end, path.changed()).await, Ok(Ok(()))) {
        return;
    }
    // A relay that answers may still be reading long lists itself.
    let known_at = Instant::now();
    let answer_timeout = timings.member_query_wait + RELAY_TIMEOUT;
    while path.borrow().relay.is_some() && caches.relayed(topic).is_none() {
        let answered_at = caches.relay_answered_at().unwrap_or(known_at);
        if Instant::now() >= answered_at + answer_timeout {
            return;
        }
        sleep(RELAY_POLL_INTERVAL).await;
    }
}

/// Follows a topic at the store while no relay provides sufficiently recent updates.
pub async fn follow_store<S: Source>(
    source: Arc<S>,
    topic: Topic,
    caches: TopicCaches,
    metrics: Arc<EdgeMetrics>,
    path: watch::Receiver<UpdateSource>,
    settings: watch::Receiver<Arc<Settings>>,
) {
    if settings.borrow().is_first_start {
        sleep(FIRST_START_PAUSE).await;
    }
    // The bounds may change while the process runs.
    let timings = || FollowTimings::new(topic, &settings.borrow().bounds);
    wait_for_relay(topic, &caches, timings(), path.clone()).await;
    let mut pause = RETRY_PAUSE_MIN;
    let mut history_lost = false;
    let mut was_relayed = false;
    let mut has_failed = false;
    loop {
        let current_path = *path.borrow();
        let timings = timings();
        if let Some(until) = relayed_until(&caches, topic, timings, current_path)
            && !history_lost
        {
            was_relayed = true;
            sleep_until(until).await;
            continue;
        }
        // While the store fails, only the configuration topic probes it.
        let store_state = caches.store_state();
        if topic != Topic::Configuration && store_state == StoreState::Failing {
            sleep(RETRY_PAUSE_MIN).await;
            continue;
        }
        // Relayed data has just reached its maximum age, or a call has failed and this one shows
        // whether the store answers.
        let is_urgent = std::mem::take(&mut was_relayed)
            || std::mem::take(&mut has_failed)
            || store_state != StoreState::Answering;
        let wait = match is_urgent {
            true => Duration::ZERO,
            false => timings.watch_wait(current_path),
        };
        let read_at = SuspendAwareInstant::now();
        let base = match history_lost {
            true => None,
            false => caches.watch_base(topic),
        };
        let known_era = caches.era();
        let read = async {
            match base {
                None => source.list(topic).await.map(TopicUpdate::Whole),
                Some(position) => source
                    .watch(topic, position.revision, wait)
                    .await
                    .map(TopicUpdate::Since),
            }
        };
        let result = tokio::select! {
            result = read => result,
            // The store has gone back: what this read returns would be dropped.
            () = caches.era_changed(known_era) => continue,
        };
        count_read(&metrics, "store", result.is_ok());
        match result {
            Ok(news) => {
                // A new list replaces the cached records, whatever their revision is now.
                let base = if history_lost {
                    caches.position(topic)
                } else {
                    base
                };
                if caches.apply_read(topic, base, news, read_at) == EraStep::Late {
                    sleep(pause).await;
                    pause = (pause * 2).min(RETRY_PAUSE_MAX);
                    continue;
                }
                pause = RETRY_PAUSE_MIN;
                history_lost = false;
            }
            Err(SourceError::HistoryLost) => {
                caches.record_answer();
                caches.observe_refusal_era(source.take_refusal_era());
                log::info!(event = "history-lost", topic:%; "");
                history_lost = true;
            }
            Err(cause) => {
                caches.observe_refusal_era(source.take_refusal_era());
                log::info!(event = "read-failed", topic:%, cause:%, pause_ms = pause.as_millis() as u64; "");
                let is_watch = base.is_some() && !wait.is_zero();
                let was_refused = matches!(cause, SourceError::Refused(_));
                caches.record_failure(read_at.at, is_watch && !was_refused);
                has_failed = true;
                sleep(pause).await;
                let pause_max = match current_path.is_member() {
                    true => RETRY_PAUSE_MAX_MEMBER,
                    false => RETRY_PAUSE_MAX,
                };
                pause = (pause * 2).min(pause_max);
            }
        }
        sleep_until(read_at.at + timings.min_interval).await;
    }
}

fn count_read(metrics: &EdgeMetrics, from: &'static str, is_ok: bool) {
    let outcome = if is_ok { "ok" } else { "failed" };
    metrics
        .reads
        .get_or_create(&ReadLabels { from, outcome })
        .inc();
}

/// Returns until when relayed data of a topic is recent enough; `None` if the store has to
/// be read now.
fn relayed_until(
    caches: &TopicCaches,
    topic: Topic,
    timings: FollowTimings,
    path: UpdateSource,
) -> Option<Instant> {
    let level = path.relay.map_or(RelayLevel::Region, |r| r.level);
    let read_at = caches.relayed(topic)?;
    let remaining = timings.relayed_max_age(level).checked_sub(read_at.age())?;
    (!remaining.is_zero()).then(|| Instant::now() + remaining)
}

/// A failure to get an answer from the relay.
#[derive(Debug, Error)]
enum RelayError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("the relay did not answer in time")]
    TimedOut,
    #[error("the relay refused with status {0}")]
    Refused(StatusCode),
    #[error("the query cannot be encoded: {0}")]
    EncodeQuery(#[from] rmp_serde::encode::Error),
    #[error("the answer cannot be decoded: {0}")]
    DecodeAnswer(#[from] rmp_serde::decode::Error),
}

/// Follows all topics through the relay, while the host has one. An answer that is larger than the
/// settings allow counts as none.
pub async fn follow_relay(
    mut path: watch::Receiver<UpdateSource>,
    caches: TopicCaches,
    metrics: Arc<EdgeMetrics>,
    settings: watch::Receiver<Arc<Settings>>,
) {
    let answer_bytes_max = settings.borrow().answer_bytes_max();
    let connections = Connections::new().with_call_body_max(answer_bytes_max);
    loop {
        let current_relay = path.borrow_and_update().relay;
        let Some(RelayTarget { address, level }) = current_relay else {
            if path.changed().await.is_err() {
                return;
            }
            continue;
        };
        let wait = FollowTimings::new(Topic::Hosts, &settings.borrow().bounds).query_wait(level);
        let query = RelayQuery {
            after: caches.positions(),
            wait_ms: wait.as_millis() as u64,
            configuration: caches.configuration_version(),
        };
        let sent_at = SuspendAwareInstant::now();
        let reply = timeout(
            wait + RELAY_TIMEOUT,
            query_relay(&connections, address, &query),
        )
        .await;
        let answer = reply.unwrap_or(Err(RelayError::TimedOut));
        count_read(&metrics, "relay", answer.is_ok());
        match answer {
            Ok(answer) => caches.apply_relayed(&query, answer, sent_at),
            Err(cause) => {
                log::info!(event = "relay-silent", relay:% = address, cause:%; "");
                sleep(RELAY_RETRY_PAUSE).await;
            }
        }
    }
}

async fn query_relay(
    connections: &Connections,
    address: SocketAddr,
    query: &RelayQuery,
) -> Result<RelayAnswer, RelayError> {
    let mut req = Request::new(full(Bytes::from(rmp_serde::to_vec(query)?)));
    *req.method_mut() = Method::POST;
    let res = connections.call(address, req).await?;
    let status = res.status();
    if status != StatusCode::OK {
        return Err(RelayError::Refused(status));
    }
    Ok(rmp_serde::from_slice(res.body())?)
}

/// Answers a query of a follower; waits for changes as long as the query allows. The query counts as
/// held while it is read.
pub async fn serve_follower(
    caches: TopicCaches,
    req: Request<Incoming>,
    held: &HeldBytes,
) -> Response<ProxyBody> {
    let mut res = Response::new(empty());
    let declared = req.body().size_hint().exact();
    let mut holder = held.holder();
    if !holder.set(declared.unwrap_or(u64::MAX).min(QUERY_BYTES_MAX as u64)) {
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return res;
    }
    let body = Limited::new(req.into_body(), QUERY_BYTES_MAX).collect();
    let result = match timeout(QUERY_READ_TIMEOUT, body).await {
        Ok(Ok(body)) => {
            rmp_serde::from_slice::<RelayQuery>(&body.to_bytes()).map_err(|e| e.to_string())
        }
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("the query did not end in time".to_owned()),
    };
    let query = match result {
        Ok(query) => query,
        Err(cause) => {
            log::info!(event = "follower-unreadable", cause:%; "");
            *res.status_mut() = StatusCode::BAD_REQUEST;
            return res;
        }
    };
    drop(holder);
    match rmp_serde::to_vec(&caches.answer(&query).await) {
        Ok(bytes) => *res.body_mut() = full(bytes),
        Err(e) => {
            log::error!(event = "answer-unwritable", cause:% = e; "");
            *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    res
}
