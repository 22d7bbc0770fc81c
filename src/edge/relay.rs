//! What a host knows of the platform's topics, and how it hands it on.
//!
//! One host of each zone reads the store for its zone; the others follow that
//! host. All keep the same [`Shelves`], with the store's own revisions, so that
//! any host can take over, and a follower can go on at the store where it left
//! off at the other host. An answer carries the age of the read that it rests
//! on: a follower whose relay has lost the store notices, and reads for itself.

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
    freshness::suspended,
    message::{
        News,
        Observed,
        Origin, //
    },
    topic::{
        Change,
        Changes,
        Record,
        Revision,
        Topic, //
    },
};
use crate::post::post;

/// Changes of a topic that are kept to be handed on.
const LOG_MAX: usize = 2048;

/// When a read was sent, by both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// The runtime's clock, which stands still while the machine is suspended.
    pub at: Instant,
    /// The time spent suspended until then.
    pub suspended: Duration,
}

impl Asked {
    /// Returns the present instant.
    pub fn now() -> Self {
        Self {
            at: Instant::now(),
            suspended: suspended(),
        }
    }

    /// Returns the time that really passed since.
    pub fn age(&self) -> Duration {
        Self::now().since(self)
    }

    /// Returns the time that really passed from an earlier instant until this one.
    fn since(&self, earlier: &Self) -> Duration {
        let asleep = self.suspended.saturating_sub(earlier.suspended);
        self.at.saturating_duration_since(earlier.at) + asleep
    }

    /// Returns the instant that lies so much earlier, where the clock reaches back that far.
    fn earlier(self, age: Duration) -> Option<Self> {
        Some(Self {
            at: self.at.checked_sub(age)?,
            suspended: self.suspended,
        })
    }
}

/// One topic.
#[derive(Debug, Default)]
struct Shelf {
    revision: Option<Revision>,
    records: BTreeMap<String, Record>,
    /// The latest changes, each with the revision that the topic had with it.
    log: VecDeque<(Revision, Change)>,
    /// Changes up to this revision are not in the log.
    log_from: Revision,
    asked: Option<Asked>,
    /// When the last read was sent that another host handed on.
    relayed: Option<Asked>,
}

impl Shelf {
    fn take(&mut self, base: Option<Revision>, news: &News, asked: Asked) -> bool {
        let (whole, changes) = match news {
            News::Outage => return true,
            News::Whole(changes) => (true, changes),
            News::Since(changes) => (false, changes),
        };
        // Another answer came first; this one may be older.
        if base != self.revision || self.revision.is_some_and(|r| changes.revision < r) {
            return false;
        }
        if whole {
            self.records.clear();
            self.log.clear();
            self.log_from = changes.revision;
        }
        for change in &changes.changes {
            match &change.record {
                Some(record) => self.records.insert(change.name.clone(), record.clone()),
                None => self.records.remove(&change.name),
            };
            if !whole {
                self.log.push_back((changes.revision, change.clone()));
            }
        }
        while self.log.len() > LOG_MAX {
            if let Some((revision, _)) = self.log.pop_front() {
                self.log_from = revision;
            }
        }
        self.revision = Some(changes.revision);
        if self.asked.is_none_or(|known| known.at < asked.at) {
            self.asked = Some(asked);
        }
        true
    }

    /// Returns what is new after a revision; none where this host knows nothing.
    fn since(&self, after: Option<Revision>) -> Option<News> {
        // A follower that has read for itself may be ahead, and this host will catch up.
        let revision = self.revision?.max(after.unwrap_or_default());
        let log_reaches = after.is_some_and(|after| after >= self.log_from);
        if log_reaches {
            let later = self.log.iter().filter(|(r, _)| Some(*r) > after);
            return Some(News::Since(Changes {
                changes: later.map(|(_, change)| change.clone()).collect(),
                revision,
            }));
        }
        let all = self.records.iter().map(|(name, record)| Change {
            name: name.clone(),
            record: Some(record.clone()),
        });
        Some(News::Whole(Changes {
            changes: all.collect(),
            revision,
        }))
    }
}

/// Whether the store and the relay answer.
#[derive(Debug, Default)]
struct Contacts {
    /// When the relay last answered, whatever it knew.
    relay_answered: Option<Instant>,
    /// Whether the last read of the store failed.
    store_fails: bool,
}

/// The topics that a host knows, shared by its tasks.
#[derive(Clone, Debug)]
pub struct Shelves {
    shelves: Arc<Mutex<[Shelf; Topic::ALL.len()]>>,
    contacts: Arc<Mutex<Contacts>>,
    changed: watch::Sender<u64>,
    dispatcher: Address<Dispatcher>,
}

/// A follower's question.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayQuery {
    /// The revision that it has, for each topic.
    pub after: [Option<Revision>; Topic::ALL.len()],
    /// How long the answer may wait for changes, in milliseconds.
    pub wait_ms: u64,
}

/// One topic of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayNews {
    /// The topic.
    pub topic: Topic,
    /// The age that the read which it rests on had when the question came, in milliseconds.
    pub age_ms: u64,
    /// What is new.
    pub news: News,
}

/// The answer to a follower.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// The topics that this host knows as well as the follower, or better.
    pub topics: Vec<RelayNews>,
}

impl Shelves {
    /// Returns empty shelves that tell a dispatcher of each change.
    pub fn new(dispatcher: Address<Dispatcher>) -> Self {
        Self {
            shelves: Arc::default(),
            contacts: Arc::default(),
            changed: watch::Sender::new(0),
            dispatcher,
        }
    }

    fn lock(&self) -> MutexGuard<'_, [Shelf; Topic::ALL.len()]> {
        self.shelves.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a topic's revision.
    pub fn revision(&self, topic: Topic) -> Option<Revision> {
        self.lock()[topic.index()].revision
    }

    /// Returns the revisions of all topics.
    pub fn revisions(&self) -> [Option<Revision>; Topic::ALL.len()] {
        let shelves = self.lock();
        Topic::ALL.map(|topic| shelves[topic.index()].revision)
    }

    /// Returns when the last read of a topic was sent that another host handed on.
    pub fn relayed(&self, topic: Topic) -> Option<Asked> {
        self.lock()[topic.index()].relayed
    }

    /// Takes in news that was based on revision `base`.
    fn take(&self, topic: Topic, base: Option<Revision>, news: News, asked: Asked, origin: Origin) {
        let mut shelves = self.lock();
        if !shelves[topic.index()].take(base, &news, asked) {
            return;
        }
        let is_change = news.is_change();
        // Sent under the lock, so that the dispatcher sees the same order.
        post(
            &self.dispatcher,
            Observed {
                topic,
                origin,
                asked_at: asked.at,
                suspended: asked.suspended,
                news,
            },
        );
        if is_change {
            self.changed.send_modify(|n| *n += 1);
        }
    }

    /// Returns when the relay last answered, whatever it knew.
    pub fn relay_answered(&self) -> Option<Instant> {
        self.contacts().relay_answered
    }

    /// Returns whether the store refused or did not answer the last read.
    pub fn store_fails(&self) -> bool {
        self.contacts().store_fails
    }

    fn contacts(&self) -> MutexGuard<'_, Contacts> {
        self.contacts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in what a read of the store brought that was based on revision `base`.
    pub fn take_read(&self, topic: Topic, base: Option<Revision>, news: News, asked: Asked) {
        self.contacts().store_fails = false;
        self.take(topic, base, news, asked, Origin::Store);
    }

    /// Takes in that the store did not answer a read.
    pub fn take_failure(&self, topic: Topic, asked: Asked) {
        self.contacts().store_fails = true;
        let base = self.revision(topic);
        self.take(topic, base, News::Outage, asked, Origin::Store);
    }

    /// Takes in what another host handed on, in answer to a question that was sent at `sent`.
    pub fn take_relayed(&self, query: &RelayQuery, answer: RelayAnswer, sent: Asked) {
        self.contacts().relay_answered = Some(Instant::now());
        for relayed in answer.topics {
            let age = Duration::from_millis(relayed.age_ms);
            let Some(asked) = sent.earlier(age) else {
                continue;
            };
            let base = query.after[relayed.topic.index()];
            self.lock()[relayed.topic.index()].relayed = Some(asked);
            self.take(relayed.topic, base, relayed.news, asked, Origin::Relay);
        }
    }

    /// Answers a follower, at once where there is something new.
    pub async fn answer(&self, query: &RelayQuery) -> RelayAnswer {
        let came = Asked::now();
        let mut changed = self.changed.subscribe();
        let end = Instant::now() + Duration::from_millis(query.wait_ms);
        loop {
            let (answer, is_new) = self.answer_now(query, came);
            if is_new || Instant::now() >= end {
                return answer;
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep_until(end) => {}
            }
        }
    }

    fn answer_now(&self, query: &RelayQuery, came: Asked) -> (RelayAnswer, bool) {
        let shelves = self.lock();
        let mut answer = RelayAnswer::default();
        let mut is_new = false;
        for topic in Topic::ALL {
            let shelf = &shelves[topic.index()];
            let (Some(news), Some(asked)) = (shelf.since(query.after[topic.index()]), shelf.asked)
            else {
                continue;
            };
            is_new |= news.is_change();
            answer.topics.push(RelayNews {
                topic,
                age_ms: u64::try_from(came.since(&asked).as_millis()).unwrap_or(u64::MAX),
                news,
            });
        }
        (answer, is_new)
    }
}
