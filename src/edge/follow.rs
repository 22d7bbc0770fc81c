//! Follows the platform's topics, either at the store or through a relay: another host
//! that hands on what it has read.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::Incoming, //
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
    message::News,
    metrics::{
        EdgeMetrics,
        ReadLabels, //
    },
    relay::{
        Asked,
        RelayAnswer,
        RelayQuery,
        Shelves, //
    },
    settings::Bounds,
    topic::{
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
};

/// The pause after the first failed read; it doubles with each further failure up to
/// [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest pause between two failed reads.
const PAUSE_MAX: Duration = Duration::from_millis(800);
/// The longest such pause of a zone member, whose relay is retrying as well.
const PAUSE_MAX_OF_MANY: Duration = Duration::from_millis(3200);
/// How long a zone leader's query to its relay waits for changes.
const LEADER_WAIT: Duration = Duration::from_millis(250);
/// How long the relay's answer may take beyond the query's wait.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after a query that the relay did not answer.
const RELAY_PAUSE: Duration = Duration::from_millis(500);
/// The longest time that an update takes from one host to the next, also across regions.
const TRANSIT: Duration = Duration::from_millis(100);
/// How long a host's own read of the store takes, once the relay's updates are too old.
const READ_TIME: Duration = Duration::from_millis(200);
/// A member's query to its zone leader waits the tightest bound divided by this.
const RELAY_PART: u32 = 8;
/// The fraction of a bound, less its fixed delays, that one watch waits. Data may be two
/// watches old: the one that returned it and the one in progress. The rest is a margin for
/// timers that fire late.
const WATCH_PART: f64 = 0.45;
/// The fraction of a bound that a watch waits on a host without followers. A connection
/// that went silent is noticed one second after the wait, and the topic is read again.
const LONE_PART: f64 = 0.4;
/// The shortest wait of a watch, whatever the bounds are.
const WAIT_MIN: Duration = Duration::from_millis(150);
/// How long a watch of the registered hosts waits; no bound limits the age of this topic.
const HOSTS_WAIT: Duration = Duration::from_secs(8);
/// How long hosts that start together for the first time wait before they list the
/// registered hosts. The store's host lists may be seconds old, so later registrations
/// would be missing.
const FIRST_START_PAUSE: Duration = Duration::from_millis(2500);
/// How long a new process delays its first reads until a relay is known.
const FIRST_RELAY_PATIENCE: Duration = Duration::from_millis(800);
/// How often a new process checks whether the relay has answered.
const FIRST_READ_LOOK: Duration = Duration::from_millis(20);

/// A host's level in the relay tree below the host that reads the store. Lower levels wait
/// longer before they read the store themselves, since their relay may be doing so already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// The best leader of a region; it queries the host that reads the store.
    Region,
    /// The leader of a zone; it queries the best leader of its region.
    Zone,
    /// Any other host; it queries the leader of its zone.
    Member,
}

/// The host that is queried for updates instead of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Address at which the relay answers queries.
    pub address: SocketAddr,
    /// Level of the querying host.
    pub level: Level,
}

/// Where a host gets its updates, and whether it hands them on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NewsPath {
    /// The relay that it queries; `None` if it reads the store.
    pub relay: Option<Relay>,
    /// Whether other hosts query this one.
    pub has_followers: bool,
}

impl NewsPath {
    /// Returns whether many other hosts are likely to read the store at the same time as
    /// this one. This holds for members, since all of them lose the same relay.
    fn is_one_of_many(&self) -> bool {
        self.relay.is_some_and(|r| r.level == Level::Member)
    }
}

/// Timing parameters for following a topic.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// How long a watch waits for changes. It bounds the age of the data.
    pub wait: Duration,
    /// How long a watch waits on a host without followers.
    pub lone_wait: Duration,
    /// The shortest time between two reads; changes in between arrive in one batch.
    pub gap: Duration,
    /// How long a member's query to its relay waits for changes.
    pub relay_wait: Duration,
}

impl Pace {
    /// Returns the timing parameters with which a topic's changes take effect within the
    /// bounds.
    pub fn new(topic: Topic, bounds: &Bounds) -> Self {
        let relay_wait = bounds.drain.min(bounds.adoption) / RELAY_PART;
        let keys = bounds.revocation.saturating_sub(freshness::MARGIN);
        let (bound, gap_ms) = match topic {
            Topic::Configuration => (Some(bounds.adoption.min(keys)), 100),
            Topic::Upstreams => (Some(bounds.drain), 400),
            Topic::Evacuations => (Some(bounds.evacuation), 200),
            Topic::Hosts => (None, 500),
        };
        let mut pace = Self {
            wait: Duration::ZERO,
            lone_wait: HOSTS_WAIT,
            gap: Duration::from_millis(gap_ms),
            relay_wait,
        };
        // `pace.wait` is still zero here, so this is the delay of the relay chain alone.
        let on_the_way = pace.patience(Level::Member) + READ_TIME;
        let watch = |bound: Duration| bound.saturating_sub(on_the_way).mul_f64(WATCH_PART);
        pace.wait = bound.map_or(HOSTS_WAIT, |b| watch(b).max(WAIT_MIN));
        pace.lone_wait = bound.map_or(HOSTS_WAIT, |b| b.mul_f64(LONE_PART).max(pace.wait));
        pace
    }

    /// Returns how long a query to a relay waits for changes.
    pub fn question_wait(&self, level: Level) -> Duration {
        match level {
            Level::Region | Level::Zone => LEADER_WAIT,
            Level::Member => self.relay_wait,
        }
    }

    /// Returns how old relayed data may be before a host reads the store itself.
    ///
    /// The underlying read may be two watch waits old: the watch that returned it and the
    /// one in progress. Each hop adds its query, and the time to read the store itself in
    /// case its own relay has failed.
    pub fn patience(&self, level: Level) -> Duration {
        let hop = |level| self.question_wait(level) + TRANSIT;
        let read = self.wait * 2 + hop(Level::Region);
        match level {
            Level::Region => read,
            Level::Zone => read + READ_TIME + hop(Level::Zone),
            Level::Member => read + (READ_TIME + hop(Level::Zone)) + READ_TIME + hop(Level::Member),
        }
    }

    /// Returns how long a watch waits, depending on whether the host has followers.
    fn watch_wait(&self, path: NewsPath) -> Duration {
        match path.has_followers {
            true => self.wait,
            false => self.lone_wait,
        }
    }
}

/// Waits for a topic's first update from a relay, as long as one is known and answers.
///
/// Every process reads the registered hosts from the store, since they determine the relay.
async fn wait_for_relay(
    topic: Topic,
    shelves: &Shelves,
    pace: Pace,
    mut path: watch::Receiver<NewsPath>,
) {
    if topic == Topic::Hosts {
        return;
    }
    let end = Instant::now() + FIRST_RELAY_PATIENCE;
    if !matches!(timeout_at(end, path.changed()).await, Ok(Ok(()))) {
        return;
    }
    // A relay that answers may still be reading long lists itself.
    let known_at = Instant::now();
    let patience = pace.relay_wait + RELAY_TIMEOUT;
    while path.borrow().relay.is_some() && shelves.relayed(topic).is_none() {
        let answered = shelves.relay_answered().unwrap_or(known_at);
        if Instant::now() >= answered + patience {
            return;
        }
        sleep(FIRST_READ_LOOK).await;
    }
}

/// Follows a topic at the store while no relay provides sufficiently recent updates.
pub async fn follow_store<S: Source>(
    source: Arc<S>,
    topic: Topic,
    shelves: Shelves,
    metrics: Arc<EdgeMetrics>,
    path: watch::Receiver<NewsPath>,
    pace: Pace,
    is_first_start: bool,
) {
    if is_first_start {
        sleep(FIRST_START_PAUSE).await;
    }
    wait_for_relay(topic, &shelves, pace, path.clone()).await;
    let mut pause = PAUSE_MIN;
    let mut lost = false;
    let mut was_covered = false;
    loop {
        let known_path = *path.borrow();
        if let Some(until) = covered_until(&shelves, topic, pace, known_path)
            && !lost
        {
            was_covered = true;
            sleep_until(until).await;
            continue;
        }
        // While the store fails, only the configuration topic probes it.
        if topic != Topic::Configuration && shelves.store_fails() {
            sleep(PAUSE_MIN).await;
            continue;
        }
        // Relayed data has just reached its maximum age, so this read must not wait.
        let wait = match std::mem::take(&mut was_covered) {
            true => Duration::ZERO,
            false => pace.watch_wait(known_path),
        };
        let asked = Asked::now();
        let base = match lost {
            true => None,
            false => shelves.revision(topic),
        };
        let result = match base {
            None => source.list(topic).await.map(News::Whole),
            Some(revision) => source.watch(topic, revision, wait).await.map(News::Since),
        };
        note_read(&metrics, "store", result.is_ok());
        match result {
            Ok(news) => {
                // A new list replaces the cached records, whatever their revision is now.
                let base = if lost { shelves.revision(topic) } else { base };
                shelves.take_read(topic, base, news, asked);
                pause = PAUSE_MIN;
                lost = false;
            }
            Err(SourceError::HistoryLost) => {
                log::info!(event = "history-lost", topic:%; "");
                lost = true;
            }
            Err(cause) => {
                log::info!(event = "read-failed", topic:%, cause:%, pause_ms = pause.as_millis() as u64; "");
                shelves.take_failure(topic, asked);
                sleep(pause).await;
                let most = match known_path.is_one_of_many() {
                    true => PAUSE_MAX_OF_MANY,
                    false => PAUSE_MAX,
                };
                pause = (pause * 2).min(most);
            }
        }
        sleep_until(asked.at + pace.gap).await;
    }
}

fn note_read(metrics: &EdgeMetrics, from: &'static str, is_ok: bool) {
    let outcome = if is_ok { "ok" } else { "failed" };
    metrics
        .reads
        .get_or_create(&ReadLabels { from, outcome })
        .inc();
}

/// Returns until when relayed data of a topic is recent enough; `None` if the store has to
/// be read now.
fn covered_until(shelves: &Shelves, topic: Topic, pace: Pace, path: NewsPath) -> Option<Instant> {
    let level = path.relay.map_or(Level::Region, |r| r.level);
    let asked = shelves.relayed(topic)?;
    let left = pace.patience(level).checked_sub(asked.age())?;
    (!left.is_zero()).then(|| Instant::now() + left)
}

/// A failure to ask the relay.
#[derive(Debug, Error)]
enum RelayError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("no answer in time")]
    TimedOut,
    #[error("the relay refused with status {0}")]
    Refused(StatusCode),
    #[error("a message cannot be written: {0}")]
    Unwritable(#[from] rmp_serde::encode::Error),
    #[error("a message cannot be read: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
}

/// Follows all topics through the relay, while the host has one.
pub async fn follow_relay(
    mut path: watch::Receiver<NewsPath>,
    shelves: Shelves,
    metrics: Arc<EdgeMetrics>,
    pace: Pace,
) {
    let connections = Connections::new();
    loop {
        let known = path.borrow_and_update().relay;
        let Some(Relay { address, level }) = known else {
            if path.changed().await.is_err() {
                return;
            }
            continue;
        };
        let wait = pace.question_wait(level);
        let query = RelayQuery {
            after: shelves.revisions(),
            wait_ms: wait.as_millis() as u64,
        };
        let sent = Asked::now();
        let asked = timeout(wait + RELAY_TIMEOUT, ask(&connections, address, &query)).await;
        let answer = asked.unwrap_or(Err(RelayError::TimedOut));
        note_read(&metrics, "relay", answer.is_ok());
        match answer {
            Ok(answer) => shelves.take_relayed(&query, answer, sent),
            Err(cause) => {
                log::info!(event = "relay-silent", relay:% = address, cause:%; "");
                sleep(RELAY_PAUSE).await;
            }
        }
    }
}

async fn ask(
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

/// Answers a query of a follower; waits for changes as long as the query allows.
pub async fn serve_follower(shelves: Shelves, req: Request<Incoming>) -> Response<ProxyBody> {
    let mut res = Response::new(empty());
    let result = match req.into_body().collect().await {
        Ok(body) => {
            rmp_serde::from_slice::<RelayQuery>(&body.to_bytes()).map_err(|e| e.to_string())
        }
        Err(e) => Err(e.to_string()),
    };
    let query = match result {
        Ok(query) => query,
        Err(cause) => {
            log::info!(event = "follower-unreadable", cause:%; "");
            *res.status_mut() = StatusCode::BAD_REQUEST;
            return res;
        }
    };
    match rmp_serde::to_vec(&shelves.answer(&query).await) {
        Ok(bytes) => *res.body_mut() = full(bytes),
        Err(e) => {
            log::error!(event = "answer-unwritable", cause:% = e; "");
            *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    res
}
