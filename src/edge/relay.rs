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
        BTreeSet,
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
    time::{
        Instant,
        timeout, //
    },
};
use xtra::Address;

use super::{
    dispatcher::Dispatcher,
    freshness::suspended_time,
    incomplete_records::remove_incomplete,
    message::{
        EraChanged,
        StoreObserved,
        TopicObserved,
        TopicUpdate,
        UpdateOrigin, //
    },
    model::ConfigVersion,
    rollback::{
        RetiredStarts,
        configuration,
        keep_newest_configuration, //
    },
    store_era::{
        EraStep,
        EraTracker, //
    },
    store_health::{
        StoreHealth,
        StoreState, //
    },
    topic::{
        Change,
        Changes,
        Era,
        Position,
        Record,
        Revision,
        Topic, //
    },
};
use crate::{
    post::post,
    util::{
        id::HostName,
        time::SaturatingAdd, //
    },
};

/// Changes of a topic that are kept for followers.
const CHANGE_LOG_MAX: usize = 2048;
/// How long after a registration was accepted reads of the registered hosts include it.
const REGISTRATION_LISTED_AFTER: Duration = Duration::from_secs(5);
/// Interval between two checks whether this host is still registered.
const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// How long after its end an outage is reported to followers. Upstreams register again within a few
/// seconds.
const OUTAGE_REPORTED: Duration = Duration::from_secs(10);
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
    position: Option<Position>,
    records: BTreeMap<String, Record>,
    /// The latest changes, oldest first, each with the topic's revision after it.
    log: VecDeque<(Revision, Change)>,
    /// The log holds only changes after this revision.
    log_start: Revision,
    /// When the most recent read of the store was sent, by this host or by another one.
    read_at: Option<SuspendAwareInstant>,
    /// When the read of the store behind the last relayed update was sent.
    relayed: Option<SuspendAwareInstant>,
    /// Starts of upstreams that an older copy must not bring back.
    retired: RetiredStarts,
    /// Names of upstreams that were written since the store went back; empty if it never did.
    rewritten: BTreeSet<String>,
    /// Whether the store went back since the first read.
    went_back: bool,
}

impl TopicCache {
    /// Applies an update to position `base`, which was read in `era`. Returns `false` if it no
    /// longer applies. Records that an older copy of the store lists are replaced in `news` by newer
    /// known ones.
    fn apply(
        &mut self,
        topic: Topic,
        base: Option<Position>,
        news: &mut TopicUpdate,
        era: Era,
        read_at: SuspendAwareInstant,
    ) -> bool {
        let (is_list, changes) = match news {
            TopicUpdate::Whole(changes) => (true, changes),
            TopicUpdate::Since(changes) => (false, changes),
        };
        let position = Position {
            era,
            revision: changes.revision,
        };
        match self.position {
            // Only a list replaces records of another era.
            Some(known) if known.era != era && !is_list => return false,
            Some(known) if known.era != era => self.went_back = true,
            // Another answer was applied since this read was sent; this one may be older.
            known if base != known || known.is_some_and(|k| position < k) => return false,
            _ => {}
        }
        changes.era = Some(era);
        self.keep_newer(topic, is_list, changes);
        if is_list {
            self.records.clear();
            self.log.clear();
            self.log_start = changes.revision;
        }
        for change in &changes.changes {
            if !is_list && self.is_older_configuration(era, change) {
                continue;
            }
            match &change.record {
                Some(record) => self.records.insert(change.name.clone(), record.clone()),
                None => self.records.remove(&change.name),
            };
            if !is_list {
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
        self.position = Some(position);
        if self.read_at.is_none_or(|known| known.at < read_at.at) {
            self.read_at = Some(read_at);
        }
        true
    }

    /// Replaces records of an older copy of the store by newer known ones.
    fn keep_newer(&mut self, topic: Topic, is_list: bool, changes: &mut Changes) {
        let era = changes.era.unwrap_or_default();
        match topic {
            Topic::Upstreams => {
                remove_incomplete(&self.records, &mut changes.changes);
                let known_era = self.position.map(|p| p.era);
                if known_era != Some(era) {
                    self.rewritten.clear();
                }
                if self.went_back {
                    let written = changes.changes.iter().filter(|_| !is_list);
                    let written = written.map(|c| &c.name).chain(&changes.rewritten);
                    self.rewritten.extend(written.cloned());
                }
                self.retired.update(
                    era,
                    is_list,
                    &self.records,
                    known_era,
                    &mut changes.changes,
                    &changes.rewritten,
                );
            }
            Topic::Configuration if is_list && era > Era::default() => {
                keep_newest_configuration(&self.records, &mut changes.changes);
            }
            Topic::Configuration | Topic::Evacuations | Topic::Hosts => {}
        }
    }

    /// Returns whether a change has an older configuration than the known one, in a store that may
    /// have gone back. Followers get the newest one.
    fn is_older_configuration(&self, era: Era, change: &Change) -> bool {
        let version = |r: &Record| configuration(r).map(|cfg| cfg.version);
        let known = self.records.get(&change.name).and_then(version);
        let changed = change.record.as_ref().and_then(version);
        era > Era::default() && changed.is_some() && changed < known
    }

    /// Returns the cached configuration if it is newer than the follower's `version` and `changes`
    /// lack it, in a store that may have gone back.
    fn newer_configuration(
        &self,
        version: Option<ConfigVersion>,
        changes: &Changes,
    ) -> Option<Change> {
        let may_have_gone_back = self.position.is_some_and(|p| p.era > Era::default());
        if !may_have_gone_back || changes.changes.iter().any(Change::supersedes_earlier) {
            return None;
        }
        let newer = |r: &Record| configuration(r).is_some_and(|cfg| Some(cfg.version) > version);
        let (name, record) = self.records.iter().find(|(_, r)| newer(r))?;
        Some(Change {
            name: name.clone(),
            record: Some(record.clone()),
        })
    }

    /// Returns the changes after a position, or all records if the log does not reach back that
    /// far or the position is of an earlier era. `None` if this host has not read the topic yet, or
    /// only in an earlier era.
    fn since(&self, after: Option<Position>) -> Option<TopicUpdate> {
        let position = self.position?;
        if after.is_some_and(|after| after.era > position.era) {
            return None;
        }
        let after = after.filter(|after| after.era == position.era);
        let after = after.map(|after| after.revision);
        // A follower that read the store itself may be ahead of this host.
        let revision = position.revision.max(after.unwrap_or_default());
        let log_reaches = after.is_some_and(|after| after >= self.log_start);
        if log_reaches {
            let later = self.log.iter().filter(|(r, _)| Some(*r) > after);
            return Some(TopicUpdate::Since(Changes {
                changes: later.map(|(_, change)| change.clone()).collect(),
                revision,
                era: Some(position.era),
                rewritten: Vec::new(),
            }));
        }
        let all = self.records.iter().map(|(name, record)| Change {
            name: name.clone(),
            record: Some(record.clone()),
        });
        Some(TopicUpdate::Whole(Changes {
            changes: all.collect(),
            revision,
            era: Some(position.era),
            rewritten: self.rewritten.iter().cloned().collect(),
        }))
    }
}

/// Whether the store and the relay are reachable.
#[derive(Debug, Default)]
struct Reachability {
    /// When the relay last answered, even if it had no records.
    relay_answered_at: Option<Instant>,
    store: StoreHealth,
}

/// The host's cache of all topics, shared by its tasks.
#[derive(Clone, Debug)]
pub struct TopicCaches {
    caches: Arc<Mutex<[TopicCache; Topic::ALL.len()]>>,
    reachability: Arc<Mutex<Reachability>>,
    changed: watch::Sender<u64>,
    tracker: Arc<Mutex<EraTracker>>,
    /// The known era of the store; `None` before the first answer.
    era: watch::Sender<Option<Era>>,
    dispatcher: Address<Dispatcher>,
}

/// A follower's query to its relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayQuery {
    /// The follower's position in each topic, indexed by [`Topic::index`].
    pub after: [Option<Position>; Topic::ALL.len()],
    /// How long the answer may wait for changes, in milliseconds.
    pub wait_ms: u64,
    /// Version of the follower's configuration; `None` if it has none. After the store has gone
    /// back, the relay may have a newer one at the same position.
    #[serde(default)]
    pub configuration: Option<ConfigVersion>,
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
    /// Time since the last outage of the store that may have let registrations lapse, in
    /// milliseconds; `None` if there was none recently.
    #[serde(default)]
    pub outage_ended_ms: Option<u64>,
}

impl TopicCaches {
    /// Returns an empty cache that sends each update to a dispatcher.
    pub fn new(dispatcher: Address<Dispatcher>) -> Self {
        Self {
            caches: Arc::default(),
            reachability: Arc::default(),
            changed: watch::Sender::new(0),
            tracker: Arc::default(),
            era: watch::Sender::new(None),
            dispatcher,
        }
    }

    /// Sets the shortest failure of the store that may let registrations of upstreams lapse.
    pub fn with_outage_min(self, outage_min: Duration) -> Self {
        self.reachability().store = StoreHealth::new(outage_min);
        self
    }

    fn lock(&self) -> MutexGuard<'_, [TopicCache; Topic::ALL.len()]> {
        self.caches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the cached position in a topic; `None` before its first read.
    pub fn position(&self, topic: Topic) -> Option<Position> {
        self.lock()[topic.index()].position
    }

    /// Returns the cached positions of all topics, indexed by [`Topic::index`].
    pub fn positions(&self) -> [Option<Position>; Topic::ALL.len()] {
        let caches = self.lock();
        Topic::ALL.map(|topic| caches[topic.index()].position)
    }

    /// Returns the position from which a watch of a topic can continue; `None` if the topic has to
    /// be listed, since it was never read or only in another era.
    pub fn watch_base(&self, topic: Topic) -> Option<Position> {
        let known = self.era();
        self.position(topic).filter(|p| Some(p.era) == known)
    }

    /// Returns the version of the cached configuration.
    pub fn configuration_version(&self) -> Option<ConfigVersion> {
        let caches = self.lock();
        let mut records = caches[Topic::Configuration.index()].records.values();
        records.find_map(|r| configuration(r).map(|cfg| cfg.version))
    }

    /// Returns the known era of the store; `None` before the first answer.
    pub fn era(&self) -> Option<Era> {
        *self.era.borrow()
    }

    /// Waits until the known era differs from `since`. Does not return if `since` is `None`, since
    /// the first era that becomes known is no rollback.
    pub async fn era_changed(&self, since: Option<Era>) {
        let mut era = self.era.subscribe();
        let changed = era.wait_for(|era| since.is_some() && *era != since);
        // The sender exists as long as this value.
        if changed.await.is_err() {
            std::future::pending().await
        }
    }

    /// Waits until a host is no longer among the registered ones, or the registered hosts are known
    /// in a later era than `registered_in` and the host is not among them; returns the era.
    pub async fn registration_lost(&self, host: &HostName, registered_in: Option<Era>) -> Era {
        let mut changed = self.changed.subscribe();
        let mut listed_in = registered_in.or(self.era()).unwrap_or_default();
        let registered_at = Instant::now();
        // A read that was sent soon after may return an older list.
        let includes_registration =
            |read: &SuspendAwareInstant| read.at >= registered_at + REGISTRATION_LISTED_AFTER;
        let mut was_listed = false;
        loop {
            {
                let caches = self.lock();
                let hosts = &caches[Topic::Hosts.index()];
                let is_listed = hosts.records.contains_key(host.as_str());
                let era = hosts.position.map(|p| p.era);
                let is_later = era.is_some_and(|era| era > listed_in);
                listed_in = era.unwrap_or_default().max(listed_in);
                let must_be_listed =
                    was_listed || hosts.read_at.as_ref().is_some_and(includes_registration);
                if !is_listed && (is_later || must_be_listed) {
                    return listed_in;
                }
                was_listed = is_listed;
            }
            // Reads without changes are not reported.
            if let Ok(Err(_)) = timeout(REGISTRATION_CHECK_INTERVAL, changed.changed()).await {
                return std::future::pending().await;
            }
        }
    }

    /// Records the era of a refusal of the store.
    pub fn observe_refusal_era(&self, era: Option<Era>) {
        if let Some(era) = era {
            self.observe_era(|tracker| tracker.observe_report(era));
        }
    }

    /// Updates the known era; returns what that means and the era that is known now.
    fn observe_era(&self, observe: impl FnOnce(&mut EraTracker) -> EraStep) -> (EraStep, Era) {
        let mut tracker = self.tracker.lock().unwrap_or_else(PoisonError::into_inner);
        let step = observe(&mut tracker);
        if let EraStep::Changed { old, new } = step {
            post(&self.dispatcher, EraChanged { old, new });
        }
        let known = tracker.known();
        self.era
            .send_if_modified(|era| std::mem::replace(era, known) != known);
        (step, known.unwrap_or_default())
    }

    /// Returns when the read of the store behind a topic's last relayed update was sent.
    pub fn relayed(&self, topic: Topic) -> Option<SuspendAwareInstant> {
        self.lock()[topic.index()].relayed
    }

    /// Applies an update to position `base` and sends it to the dispatcher. Returns whether it
    /// still applied.
    fn apply(
        &self,
        topic: Topic,
        base: Option<Position>,
        mut news: TopicUpdate,
        era: Era,
        read_at: SuspendAwareInstant,
        origin: UpdateOrigin,
    ) -> bool {
        let mut caches = self.lock();
        // The era may have risen since this answer was checked.
        if self.era() != Some(era) {
            return false;
        }
        if !caches[topic.index()].apply(topic, base, &mut news, era, read_at) {
            return false;
        }
        if origin == UpdateOrigin::Relay {
            caches[topic.index()].relayed = Some(read_at);
        }
        let is_change = news.is_change();
        // Sent under the lock, so that the dispatcher receives updates in the same order.
        post(
            &self.dispatcher,
            TopicObserved {
                topic,
                origin,
                read_at,
                news,
            },
        );
        if is_change {
            self.changed.send_modify(|n| *n += 1);
        }
        true
    }

    /// Returns when the relay last answered, even if it had no records.
    pub fn relay_answered_at(&self) -> Option<Instant> {
        self.reachability().relay_answered_at
    }

    /// Returns whether the store answers this host.
    pub fn store_state(&self) -> StoreState {
        self.reachability().store.state()
    }

    /// Updates what is known of the store, and reports it to the dispatcher if it has changed.
    fn update_store(&self, update: impl FnOnce(&mut StoreHealth)) {
        let report = |store: &StoreHealth| StoreObserved {
            is_failing: store.state() == StoreState::Failing,
            outage_ended_at: store.outage_ended_at(),
        };
        let mut reachability = self.reachability();
        let before = report(&reachability.store);
        update(&mut reachability.store);
        let after = report(&reachability.store);
        // Sent under the lock, so that the dispatcher receives reports in the same order.
        if after != before {
            post(&self.dispatcher, after);
        }
    }

    /// Records that the store has answered a call.
    pub fn record_answer(&self) {
        self.update_store(|store| store.record_answer(Instant::now()));
    }

    /// Records that a call of the store failed that was sent at `sent_at`. `is_watch` tells whether
    /// it may have failed while it waited for a change.
    pub fn record_failure(&self, sent_at: Instant, is_watch: bool) {
        let now = Instant::now();
        self.update_store(|store| store.record_failure(now, sent_at, is_watch));
    }

    fn reachability(&self) -> MutexGuard<'_, Reachability> {
        self.reachability
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the result of a read of the store that continued from position `base`, unless it is
    /// from an earlier era than the known one. Changes since a position of another era are dropped;
    /// the topic has to be listed then.
    pub fn apply_read(
        &self,
        topic: Topic,
        base: Option<Position>,
        news: TopicUpdate,
        read_at: SuspendAwareInstant,
    ) -> EraStep {
        // The dispatcher has to know of an outage before it learns what has lapsed in it.
        self.record_answer();
        let now = Instant::now();
        let (step, era) = self.observe_era(|tracker| tracker.observe_store(news.era(), now));
        if step != EraStep::Late {
            self.apply(topic, base, news, era, read_at, UpdateOrigin::Store);
        }
        step
    }

    /// Applies the relay's answer to a query that was sent at `sent_at`.
    pub fn apply_relayed(
        &self,
        query: &RelayQuery,
        answer: RelayAnswer,
        sent_at: SuspendAwareInstant,
    ) {
        let now = Instant::now();
        self.reachability().relay_answered_at = Some(now);
        let outage_age = answer.outage_ended_ms.map(Duration::from_millis);
        if let Some(ended_at) = outage_age.and_then(|age| now.checked_sub(age)) {
            self.update_store(|store| store.record_relayed_outage_end(ended_at));
        }
        for relayed in answer.topics {
            let age = Duration::from_millis(relayed.age_ms);
            let Some(read_at) = sent_at.earlier(age) else {
                continue;
            };
            self.update_store(|store| store.record_relayed_answer(read_at.at));
            let era = relayed.news.era().unwrap_or_default();
            let (step, era) = self.observe_era(|tracker| tracker.observe_report(era));
            if step == EraStep::Late {
                continue;
            }
            let base = query.after[relayed.topic.index()];
            // Does not apply if this host has read the store itself meanwhile.
            self.apply(
                relayed.topic,
                base,
                relayed.news,
                era,
                read_at,
                UpdateOrigin::Relay,
            );
        }
    }

    /// Answers a follower's query, immediately if there are changes.
    pub async fn answer(&self, query: &RelayQuery) -> RelayAnswer {
        let received_at = SuspendAwareInstant::now();
        let latest_era = query.after.iter().flatten().map(|p| p.era).max();
        if let Some(era) = latest_era.filter(|_| self.era().is_some()) {
            self.observe_era(|tracker| tracker.observe_report(era));
        }
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
        let outage_ended_at = self.reachability().store.outage_ended_at();
        let outage_age = outage_ended_at.map(|at| at.elapsed());
        let caches = self.lock();
        let mut answer = RelayAnswer {
            topics: Vec::new(),
            outage_ended_ms: outage_age
                .filter(|age| *age < OUTAGE_REPORTED)
                .and_then(|age| u64::try_from(age.as_millis()).ok()),
        };
        let mut is_new = false;
        for topic in Topic::ALL {
            let cache = &caches[topic.index()];
            let (Some(mut news), Some(read_at)) =
                (cache.since(query.after[topic.index()]), cache.read_at)
            else {
                continue;
            };
            if let (Topic::Configuration, TopicUpdate::Since(changes)) = (topic, &mut news)
                && let Some(change) = cache.newer_configuration(query.configuration, changes)
            {
                changes.changes.push(change);
            }
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
