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
/// How long a question to the relay waits for changes.
const RELAY_WAIT: Duration = Duration::from_millis(400);
/// How long the relay's answer may take beyond that.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after a question that the relay did not answer.
const RELAY_PAUSE: Duration = Duration::from_millis(500);
/// How much older than two waits of a watch what a relay knows may be, before its
/// followers read for themselves: one question to the relay, and the ways.
const RELAY_SLACK: Duration = Duration::from_millis(700);

/// How long a new process leaves its first reads to the zone's relay: a question with its
/// wait for changes, and less than a restart takes.
const FIRST_READ_PATIENCE: Duration = RELAY_WAIT;
/// The time between two looks at whether the relay has answered.
const FIRST_READ_LOOK: Duration = Duration::from_millis(20);

/// How a topic is followed.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// How long a watch waits for changes. It bounds the age of what is known.
    wait: Duration,
    /// The shortest time between two reads; changes in between come together.
    gap: Duration,
}

fn pace(topic: Topic) -> Pace {
    let (wait_ms, gap_ms) = match topic {
        Topic::Configuration => (600, 100),
        Topic::Upstreams => (500, 400),
        Topic::Evacuations => (1500, 200),
        Topic::Hosts => (8_000, 500),
    };
    Pace {
        wait: Duration::from_millis(wait_ms),
        gap: Duration::from_millis(gap_ms),
    }
}

/// Leaves the first news of a topic to a relay, where one is known and answers soon.
///
/// The registered hosts are read at the store by every process; they name the relay.
async fn wait_for_relay(
    topic: Topic,
    shelves: &Shelves,
    mut relay: watch::Receiver<Option<SocketAddr>>,
) {
    if topic == Topic::Hosts {
        return;
    }
    let end = Instant::now() + FIRST_READ_PATIENCE;
    if !matches!(timeout_at(end, relay.changed()).await, Ok(Ok(()))) {
        return;
    }
    while relay.borrow().is_some() && shelves.relayed(topic).is_none() && Instant::now() < end {
        sleep(FIRST_READ_LOOK).await;
    }
}

/// Follows a topic at the store, while no relay does.
pub async fn follow_store<S: Source>(
    source: Arc<S>,
    topic: Topic,
    shelves: Shelves,
    metrics: Arc<EdgeMetrics>,
    relay: watch::Receiver<Option<SocketAddr>>,
) {
    wait_for_relay(topic, &shelves, relay).await;
    let pace = pace(topic);
    let mut pause = PAUSE_MIN;
    let mut lost = false;
    loop {
        if let Some(until) = covered_until(&shelves, topic, pace)
            && !lost
        {
            sleep_until(until).await;
            continue;
        }
        let asked = Asked::now();
        let base = match lost {
            true => None,
            false => shelves.revision(topic),
        };
        let result = match base {
            None => source.list(topic).await.map(News::Whole),
            Some(revision) => source
                .watch(topic, revision, pace.wait)
                .await
                .map(News::Since),
        };
        note_read(&metrics, "store", result.is_ok());
        match result {
            Ok(news) => {
                // A new list replaces whatever is known by now.
                let base = if lost { shelves.revision(topic) } else { base };
                shelves.take(topic, base, news, asked);
                pause = PAUSE_MIN;
                lost = false;
            }
            Err(SourceError::HistoryLost) => {
                log::info!(event = "history-lost", topic:%; "");
                lost = true;
            }
            Err(cause) => {
                log::info!(event = "read-failed", topic:%, cause:%, pause_ms = pause.as_millis() as u64; "");
                sleep(pause).await;
                pause = (pause * 2).min(PAUSE_MAX);
                shelves.take(topic, base, News::Outage, asked);
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
fn covered_until(shelves: &Shelves, topic: Topic, pace: Pace) -> Option<Instant> {
    let asked = shelves.relayed(topic)?;
    // The relay's read may be as old as two waits: the one that ended with it, and
    // the one that is going on.
    let left = (pace.wait * 2 + RELAY_SLACK).checked_sub(asked.age())?;
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
    mut relay: watch::Receiver<Option<SocketAddr>>,
    shelves: Shelves,
    metrics: Arc<EdgeMetrics>,
) {
    let connections = Connections::new();
    loop {
        let address = *relay.borrow_and_update();
        let Some(address) = address else {
            if relay.changed().await.is_err() {
                return;
            }
            continue;
        };
        let query = RelayQuery {
            after: shelves.revisions(),
            wait_ms: RELAY_WAIT.as_millis() as u64,
        };
        let sent = Asked::now();
        let asked = timeout(
            RELAY_WAIT + RELAY_TIMEOUT,
            ask(&connections, address, &query),
        )
        .await;
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
