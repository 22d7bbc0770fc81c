//! Caches the platform's topics and relays them to other hosts.
//!
//! The members of a zone follow its leader instead of the store. All hosts keep
//! the same [`TopicCaches`] with the store's own revisions, so that any host can
//! take over as relay, and a follower can continue at the store from the
//! revision that it got from the relay. An answer carries the age of the
//! underlying read of the store: if the relay cannot reach the store any more,
//! its followers notice and read the store themselves.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};
use xtra::Address;

use super::{
    dispatcher::Dispatcher,
    freshness::suspended_time,
    message::{
        TopicObserved,
        TopicUpdate,
        UpdateOrigin, //
    },
    topic::{
        Change,
        Changes,
        Record,
        Revision,
        Topic, //
    },
};
use crate::{
    post::post,
    util::time::SaturatingAdd, //
};

/// Changes of a topic that are kept for followers.
const CHANGE_LOG_MAX: usize = 2048;
/// The longest time that an answer waits for changes, whatever the query asks for; hosts ask for a
/// few seconds. A waiting query holds a connection that is not closed when descriptors run short.
const ANSWER_WAIT_MAX: Duration = Duration::from_secs(30);

/// An instant whose age includes the time that the machine was suspended.
#[derive(Clone, Copy, Debug)]
pub struct SuspendAwareInstant {
    /// Reading of the runtime's clock, which stops while the machine is suspended.
    pub at: Instant,
    /// Total time that the machine had been suspended by then.
    pub suspended: Duration,
}

impl SuspendAwareInstant {
    /// Returns the current instant.
    pub fn now() -> Self {
        Self {
            at: Instant::now(),
            suspended: suspended_time(),
        }
    }

    /// Returns the time since this instant, suspensions included.
    pub fn age(&self) -> Duration {
        Self::now().since(self)
    }

    /// Returns the time from an earlier instant to this one, suspensions included.
    fn since(&self, earlier: &Self) -> Duration {
        let suspended_for = self.suspended.saturating_sub(earlier.suspended);
        self.at.saturating_duration_since(earlier.at) + suspended_for
    }

    /// Returns the instant `age` before this one; `None` if the clock cannot represent it.
    fn earlier(self, age: Duration) -> Option<Self> {
        Some(Self {
            at: self.at.checked_sub(age)?,
            suspended: self.suspended,
        })
    }
}

/// The cached state of one topic.
#[derive(Debug, Default)]
struct TopicCache {
    revision: Option<Revision>,
    records: BTreeMap<String, Record>,
    /// The latest changes, oldest first, each with the topic's revision after it.
    log: VecDeque<(Revision, Change)>,
    /// The log holds only changes after this revision.
    log_start: Revision,
    /// When the most recent read of the store was sent, by this host or by another one.
    read_at: Option<SuspendAwareInstant>,
    /// When the read of the store behind the last relayed update was sent.
    relayed: Option<SuspendAwareInstant>,
}

impl TopicCache {
    /// Applies an update to revision `base`. Returns `false` if it no longer applies.
    fn apply(
        &mut self,
        base: Option<Revision>,
        news: &TopicUpdate,
        read_at: SuspendAwareInstant,
    ) -> bool {
        let (whole, changes) = match news {
            TopicUpdate::Outage => return true,
            TopicUpdate::Whole(changes) => (true, changes),
            TopicUpdate::Since(changes) => (false, changes),
        };
        // Another answer was applied since this read was sent; this one may be older.
        if base != self.revision || self.revision.is_some_and(|r| changes.revision < r) {
            return false;
        }
        if whole {
            self.records.clear();
            self.log.clear();
            self.log_start = changes.revision;
        }
        for change in &changes.changes {
            match &change.record {
                Some(record) => self.records.insert(change.name.clone(), record.clone()),
                None => self.records.remove(&change.name),
            };
            if !whole {
                if change.supersedes_earlier() {
                    self.log.retain(|(_, earlier)| earlier.name != change.name);
                }
                self.log.push_back((changes.revision, change.clone()));
            }
        }
        while self.log.len() > CHANGE_LOG_MAX {
            if let Some((revision, _)) = self.log.pop_front() {
                self.log_start = revision;
            }
        }
        self.revision = Some(changes.revision);
        if self.read_at.is_none_or(|known| known.at < read_at.at) {
            self.read_at = Some(read_at);
        }
        true
    }

    /// Returns the changes after a revision, or all records if the log does not reach back
    /// that far; `None` if this host has not read the topic yet.
    fn since(&self, after: Option<Revision>) -> Option<TopicUpdate> {
        // A follower that read the store itself may be ahead of this host.
        let revision = self.revision?.max(after.unwrap_or_default());
        let log_reaches = after.is_some_and(|after| after >= self.log_start);
        if log_reaches {
            let later = self.log.iter().filter(|(r, _)| Some(*r) > after);
            return Some(TopicUpdate::Since(Changes {
                changes: later.map(|(_, change)| change.clone()).collect(),
                revision,
            }));
        }
        let all = self.records.iter().map(|(name, record)| Change {
            name: name.clone(),
            record: Some(record.clone()),
        });
        Some(TopicUpdate::Whole(Changes {
            changes: all.collect(),
            revision,
        }))
    }
}

/// Whether the store and the relay are reachable.
#[derive(Debug, Default)]
struct Reachability {
    /// When the relay last answered, even if it had no records.
    relay_answered_at: Option<Instant>,
    /// Whether the last read of the store failed.
    is_store_failing: bool,
}

/// The host's cache of all topics, shared by its tasks.
#[derive(Clone, Debug)]
pub struct TopicCaches {
    caches: Arc<Mutex<[TopicCache; Topic::ALL.len()]>>,
    reachability: Arc<Mutex<Reachability>>,
    changed: watch::Sender<u64>,
    dispatcher: Address<Dispatcher>,
}

/// A follower's query to its relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayQuery {
    /// The follower's revision of each topic, indexed by [`Topic::index`].
    pub after: [Option<Revision>; Topic::ALL.len()],
    /// How long the answer may wait for changes, in milliseconds.
    pub wait_ms: u64,
}

/// The update of one topic within an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayNews {
    /// The topic that the update belongs to.
    pub topic: Topic,
    /// Age of the underlying read of the store when the query arrived, in milliseconds.
    pub age_ms: u64,
    /// The changes after the follower's revision, or all records.
    pub news: TopicUpdate,
}

/// A relay's answer to a [`RelayQuery`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// Updates of all topics that the relay has read; the others are left out.
    pub topics: Vec<RelayNews>,
}

impl TopicCaches {
    /// Returns an empty cache that sends each update to a dispatcher.
    pub fn new(dispatcher: Address<Dispatcher>) -> Self {
        Self {
            caches: Arc::default(),
            reachability: Arc::default(),
            changed: watch::Sender::new(0),
            dispatcher,
        }
    }

    fn lock(&self) -> MutexGuard<'_, [TopicCache; Topic::ALL.len()]> {
        self.caches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the cached revision of a topic; `None` before its first read.
    pub fn revision(&self, topic: Topic) -> Option<Revision> {
        self.lock()[topic.index()].revision
    }

    /// Returns the cached revisions of all topics, indexed by [`Topic::index`].
    pub fn revisions(&self) -> [Option<Revision>; Topic::ALL.len()] {
        let caches = self.lock();
        Topic::ALL.map(|topic| caches[topic.index()].revision)
    }

    /// Returns when the read of the store behind a topic's last relayed update was sent.
    pub fn relayed(&self, topic: Topic) -> Option<SuspendAwareInstant> {
        self.lock()[topic.index()].relayed
    }

    /// Applies an update to revision `base` and sends it to the dispatcher.
    fn apply(
        &self,
        topic: Topic,
        base: Option<Revision>,
        news: TopicUpdate,
        read_at: SuspendAwareInstant,
        origin: UpdateOrigin,
    ) {
        let mut caches = self.lock();
        if !caches[topic.index()].apply(base, &news, read_at) {
            return;
        }
        let is_change = news.is_change();
        // Sent under the lock, so that the dispatcher receives updates in the same order.
        post(
            &self.dispatcher,
            TopicObserved {
                topic,
                origin,
                read_sent_at: read_at.at,
                suspended: read_at.suspended,
                news,
            },
        );
        if is_change {
            self.changed.send_modify(|n| *n += 1);
        }
    }

    /// Returns when the relay last answered, even if it had no records.
    pub fn relay_answered_at(&self) -> Option<Instant> {
        self.reachability().relay_answered_at
    }

    /// Returns whether the last read of the store failed.
    pub fn is_store_failing(&self) -> bool {
        self.reachability().is_store_failing
    }

    fn reachability(&self) -> MutexGuard<'_, Reachability> {
        self.reachability
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the result of a read of the store that continued from revision `base`.
    pub fn apply_read(
        &self,
        topic: Topic,
        base: Option<Revision>,
        news: TopicUpdate,
        read_at: SuspendAwareInstant,
    ) {
        self.reachability().is_store_failing = false;
        self.apply(topic, base, news, read_at, UpdateOrigin::Store);
    }

    /// Records that a read of the store failed.
    pub fn record_failure(&self, topic: Topic, read_at: SuspendAwareInstant) {
        self.reachability().is_store_failing = true;
        let base = self.revision(topic);
        self.apply(
            topic,
            base,
            TopicUpdate::Outage,
            read_at,
            UpdateOrigin::Store,
        );
    }

    /// Applies the relay's answer to a query that was sent at `sent_at`.
    pub fn apply_relayed(
        &self,
        query: &RelayQuery,
        answer: RelayAnswer,
        sent_at: SuspendAwareInstant,
    ) {
        self.reachability().relay_answered_at = Some(Instant::now());
        for relayed in answer.topics {
            let age = Duration::from_millis(relayed.age_ms);
            let Some(read_at) = sent_at.earlier(age) else {
                continue;
            };
            let base = query.after[relayed.topic.index()];
            self.lock()[relayed.topic.index()].relayed = Some(read_at);
            self.apply(
                relayed.topic,
                base,
                relayed.news,
                read_at,
                UpdateOrigin::Relay,
            );
        }
    }

    /// Answers a follower's query, immediately if there are changes.
    pub async fn answer(&self, query: &RelayQuery) -> RelayAnswer {
        let received_at = SuspendAwareInstant::now();
        let mut changed = self.changed.subscribe();
        let wait = Duration::from_millis(query.wait_ms).min(ANSWER_WAIT_MAX);
        let end = Instant::now().saturating_add(wait);
        loop {
            let (answer, is_new) = self.current_answer(query, received_at);
            if is_new || Instant::now() >= end {
                return answer;
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep_until(end) => {}
            }
        }
    }

    fn current_answer(
        &self,
        query: &RelayQuery,
        received_at: SuspendAwareInstant,
    ) -> (RelayAnswer, bool) {
        let caches = self.lock();
        let mut answer = RelayAnswer::default();
        let mut is_new = false;
        for topic in Topic::ALL {
            let cache = &caches[topic.index()];
            let (Some(news), Some(read_at)) =
                (cache.since(query.after[topic.index()]), cache.read_at)
            else {
                continue;
            };
            is_new |= news.is_change();
            answer.topics.push(RelayNews {
                topic,
                age_ms: u64::try_from(received_at.since(&read_at).as_millis()).unwrap_or(u64::MAX),
                news,
            });
        }
        (answer, is_new)
    }
}
