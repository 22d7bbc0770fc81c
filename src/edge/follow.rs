//! Follows the platform's topics, at the store or at the zone's relay.

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

/// The pause after a read that failed, doubled up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest pause between two reads that fail.
const PAUSE_MAX: Duration = Duration::from_millis(800);
/// The longest such pause of a host whose relay is about to read as well.
const PAUSE_MAX_OF_MANY: Duration = Duration::from_millis(3200);
/// How long a question of a zone's leader to its relay waits for changes.
const LEADER_WAIT: Duration = Duration::from_millis(250);
/// How long the relay's answer may take beyond that.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after a question that the relay did not answer.
const RELAY_PAUSE: Duration = Duration::from_millis(500);
/// The way of news from one host to the next, the longest one between regions.
const TRANSIT: Duration = Duration::from_millis(100);
/// How long a host's own read takes, once its relay's news is too old.
const READ_TIME: Duration = Duration::from_millis(200);
/// The part of the tightest bound that a question to a zone's leader waits, one in this many.
const RELAY_PART: u32 = 8;
/// What is left for a watch is shared by the one that ended and the one that goes on; the
/// rest is for timers that fire late.
const WATCH_PART: f64 = 0.45;
/// The part of a bound that a watch waits where nobody follows the host: a connection that
/// went silent is noticed a second later, and read anew.
const LONE_PART: f64 = 0.4;
/// The shortest wait of a watch, whatever the bounds.
const WAIT_MIN: Duration = Duration::from_millis(150);
/// How long a watch of the hosts waits; nothing depends on its age.
const HOSTS_WAIT: Duration = Duration::from_secs(8);
/// How long hosts that start together for the first time wait for one another's
/// registrations to show in lists, which may be seconds old.
const FIRST_START_PAUSE: Duration = Duration::from_millis(2500);
/// How long a new process leaves its first reads to a relay that is not known yet.
const FIRST_RELAY_PATIENCE: Duration = Duration::from_millis(800);
/// The time between two looks at whether the relay has answered.
const FIRST_READ_LOOK: Duration = Duration::from_millis(20);

/// How many hosts hand news on between a host and the one that reads the store. A host
/// farther down waits longer for its relay, which may just be reading for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// It leads a region, and asks the reader.
    Region,
    /// It leads a zone, and asks the best leader of its region.
    Zone,
    /// It asks the leader of its zone.
    Member,
}

/// Whom a host asks for news in place of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Where it is asked.
    pub address: SocketAddr,
    /// The asking host's place.
    pub level: Level,
}

/// Where a host's news comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NewsPath {
    /// The host that it asks; none where it reads the store.
    pub relay: Option<Relay>,
    /// Whether others ask it.
    pub has_followers: bool,
}

impl NewsPath {
    /// Returns whether many other hosts are likely to read the store if this one does.
    fn is_one_of_many(&self) -> bool {
        self.relay.is_some_and(|r| r.level == Level::Member)
    }
}

/// How a topic is followed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// How long a watch waits for changes. It bounds the age of what is known.
    pub wait: Duration,
    /// How long it waits where no other host depends on it.
    pub lone_wait: Duration,
    /// The shortest time between two reads; changes in between come together.
    pub gap: Duration,
    /// How long a question of a host that hands nothing on waits for changes.
    pub relay_wait: Duration,
}

impl Pace {
    /// Returns how a topic is followed so that news of it is in force within the bounds.
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
        // With no wait of its own, what a member's patience holds is the way alone.
        let on_the_way = pace.patience(Level::Member) + READ_TIME;
        let watch = |bound: Duration| bound.saturating_sub(on_the_way).mul_f64(WATCH_PART);
        pace.wait = bound.map_or(HOSTS_WAIT, |b| watch(b).max(WAIT_MIN));
        pace.lone_wait = bound.map_or(HOSTS_WAIT, |b| b.mul_f64(LONE_PART).max(pace.wait));
        pace
    }

    /// Returns how long a question to a relay waits for changes.
    pub fn question_wait(&self, level: Level) -> Duration {
        match level {
            Level::Region | Level::Zone => LEADER_WAIT,
            Level::Member => self.relay_wait,
        }
    }

    /// Returns how old a relay's news may be before its followers read for themselves.
    ///
    /// The read that it rests on may be as old as two waits: the one that ended with it, and
    /// the one that is going on. Each host on the way adds its question, and the time to
    /// read for itself where its own relay has failed.
    pub fn patience(&self, level: Level) -> Duration {
        let hop = |level| self.question_wait(level) + TRANSIT;
        let read = self.wait * 2 + hop(Level::Region);
        match level {
            Level::Region => read,
            Level::Zone => read + READ_TIME + hop(Level::Zone),
            Level::Member => read + (READ_TIME + hop(Level::Zone)) + READ_TIME + hop(Level::Member),
        }
    }

    /// Returns how long a watch waits.
    fn watch_wait(&self, path: NewsPath) -> Duration {
        match path.has_followers {
            true => self.wait,
            false => self.lone_wait,
        }
    }
}

/// Leaves the first news of a topic to a relay, where one is known and answers.
///
/// The registered hosts are read at the store by every process; they name the relay.
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
    // A relay that answers may have to read long lists itself.
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

/// Follows a topic at the store, while no relay does.
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
        // One topic finds out when the store answers again.
        if topic != Topic::Configuration && shelves.store_fails() {
            sleep(PAUSE_MIN).await;
            continue;
        }
        // What the relay told last is as old as it may be.
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
                // A new list replaces whatever is known by now.
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

/// Returns until when a topic needs no reading, since a relay told it lately.
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

/// Follows all topics at the zone's relay, while there is one.
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

/// Answers a follower.
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
