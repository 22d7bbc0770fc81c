//! Follows one topic of the platform and tells the dispatcher what changes.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::time::{
    Instant,
    sleep,
    sleep_until, //
};
use xtra::Address;

use super::{
    dispatcher::Dispatcher,
    freshness::suspended,
    message::{
        News,
        Observed, //
    },
    topic::{
        Revision,
        Source,
        SourceError,
        Topic, //
    },
};

/// The pause after a read that failed, doubled up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest pause between two reads that fail.
const PAUSE_MAX: Duration = Duration::from_millis(800);

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
        Topic::Configuration => (1500, 100),
        Topic::Upstreams => (1500, 400),
        Topic::Evacuations => (2000, 200),
        Topic::Hosts => (8_000, 500),
    };
    Pace {
        wait: Duration::from_millis(wait_ms),
        gap: Duration::from_millis(gap_ms),
    }
}

/// Follows a topic until the dispatcher is gone.
pub async fn follow<S: Source>(source: Arc<S>, topic: Topic, dispatcher: Address<Dispatcher>) {
    let pace = pace(topic);
    let mut after: Option<Revision> = None;
    let mut pause = PAUSE_MIN;
    loop {
        let asked_at = Instant::now();
        let asleep = suspended();
        let result = match after {
            None => source.list(topic).await,
            Some(revision) => source.watch(topic, revision, pace.wait).await,
        };
        let news = match result {
            Ok(changes) => {
                let whole = after.is_none();
                // An answer never takes the topic back to an older state.
                after = Some(after.unwrap_or_default().max(changes.revision));
                pause = PAUSE_MIN;
                match whole {
                    true => News::Whole(changes),
                    false => News::Since(changes),
                }
            }
            Err(SourceError::HistoryLost) => {
                log::info!(event = "history-lost", topic:%; "");
                after = None;
                continue;
            }
            Err(cause) => {
                log::info!(event = "read-failed", topic:%, cause:%, pause_ms = pause.as_millis() as u64; "");
                sleep(pause).await;
                pause = (pause * 2).min(PAUSE_MAX);
                News::Outage
            }
        };
        let msg = Observed {
            topic,
            asked_at,
            suspended: asleep,
            news,
        };
        if dispatcher.send(msg).await.is_err() {
            return;
        }
        sleep_until(asked_at + pace.gap).await;
    }
}
