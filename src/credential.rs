//! Which organisation a caller's key stands for, at each request.
//!
//! Only digests are kept. Withdrawals form a grow-only set that hosts pass to
//! one another ahead of the generation they come with. Clones are cheap and
//! share the tables, so that a snapshot can be published to the gateway.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use tokio::time::Instant;

use crate::{
    config::object::Key,
    membership::{
        NewsAge,
        SetSummary, //
    },
    util::id::{
        KeyDigest,
        OrganisationName,
        ZoneName, //
    },
};

pub mod news;
pub mod scrub;
pub mod withdrawn;

pub use news::Quorum;
pub use withdrawn::{
    WithdrawnAsk,
    WithdrawnPage, //
};

use news::Freshness;
use withdrawn::WithdrawnSet;

/// How old news of withdrawn keys may be before keyed routes stop.
pub const MAX_WITHDRAWAL_DATA_AGE: Duration = Duration::from_secs(20);

/// A key's standing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It stands for this organisation.
    Organisation(OrganisationName),
    /// No such key is configured.
    Unknown,
    /// It was withdrawn.
    Withdrawn,
    /// News of withdrawn keys is too old to tell.
    Stale,
}

/// What keyed routes do when news of withdrawn keys is too old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WhenStale {
    /// They refuse.
    #[default]
    Stop,
    /// They go on with what is known.
    Allow,
}

/// The keys, the withdrawn keys, and how fresh they are.
#[derive(Clone, Debug)]
pub struct Credentials {
    keys: Arc<HashMap<KeyDigest, OrganisationName>>,
    withdrawn: WithdrawnSet,
    news: Freshness,
    quorum: Quorum,
    when_stale: WhenStale,
    max_withdrawal_data_age: Duration,
    revision: u64,
}

impl Credentials {
    /// Creates an empty table for a host of this zone that has had no news.
    pub fn new(zone: ZoneName, quorum: Quorum, when_stale: WhenStale) -> Self {
        Self {
            keys: Arc::default(),
            withdrawn: WithdrawnSet::new(),
            news: Freshness::new(zone),
            quorum,
            when_stale,
            max_withdrawal_data_age: MAX_WITHDRAWAL_DATA_AGE,
            revision: 0,
        }
    }

    /// Sets how old news may be before keyed routes stop.
    pub fn with_max_withdrawal_data_age(mut self, max_withdrawal_data_age: Duration) -> Self {
        self.max_withdrawal_data_age = max_withdrawal_data_age;
        self
    }

    /// Replaces the configured keys and zones.
    pub fn set_keys<'a>(&mut self, keys: &[Key], zones: impl Iterator<Item = &'a ZoneName>) {
        let pairs = keys.iter().map(|k| (k.digest, k.organisation.clone()));
        self.keys = Arc::new(pairs.collect());
        self.news.set_zones(zones);
        self.revision += 1;
    }

    /// Returns the standing of a presented key.
    pub fn check(&self, now: Instant, key: &[u8]) -> Standing {
        self.check_digest(now, &KeyDigest::of(key))
    }

    /// Returns the standing of a key by its digest, for open connections and running streams.
    pub fn check_digest(&self, now: Instant, digest: &KeyDigest) -> Standing {
        if self.withdrawn.contains(digest) {
            return Standing::Withdrawn;
        }
        let Some(organisation) = self.keys.get(digest) else {
            return Standing::Unknown;
        };
        match self.when_stale {
            WhenStale::Stop if !self.is_fresh(now) => Standing::Stale,
            WhenStale::Stop | WhenStale::Allow => Standing::Organisation(organisation.clone()),
        }
    }

    /// Tells whether a digest is that of a key, withdrawn or not.
    pub fn is_key(&self, digest: &KeyDigest) -> bool {
        self.keys.contains_key(digest) || self.withdrawn.contains(digest)
    }

    /// Returns whether a key is known to be withdrawn.
    pub fn is_withdrawn(&self, digest: &KeyDigest) -> bool {
        self.withdrawn.contains(digest)
    }

    /// Adds withdrawn keys; returns how many were new.
    pub fn withdraw(&mut self, digests: impl IntoIterator<Item = KeyDigest>) -> usize {
        let mut new = 0;
        for digest in digests {
            new += usize::from(self.withdrawn.insert(digest));
        }
        self.bump_revision(new)
    }

    /// Notes that the store was read at `asked` or later, and that all
    /// withdrawals it held are in this set. A read that may be stale does not count.
    pub fn on_store(&mut self, requested_at: Instant) {
        self.news.on_store(requested_at);
    }

    /// Takes in the news of a peer that answered a question asked at `asked`.
    ///
    /// Returns whether it counted. If not, the peer's set holds what this one
    /// misses; ask it [`WithdrawnAsk::Latest`] and take in its page first. Only
    /// answers count: how long a message was under way is known of them alone.
    pub fn on_peer(&mut self, requested_at: Instant, set: SetSummary, news: &NewsAge) -> bool {
        if !self.withdrawn.covers(set) {
            return false;
        }
        self.news.on_peer(requested_at, news);
        true
    }

    /// Answers what a peer asks of the withdrawn keys.
    pub fn answer(&self, ask: &WithdrawnAsk) -> WithdrawnPage {
        self.withdrawn.answer(ask)
    }

    /// Takes in a peer's page; returns what to ask it next, if anything is missing.
    pub fn on_page(&mut self, page: &WithdrawnPage) -> Option<WithdrawnAsk> {
        let before = self.withdrawn.summary();
        let next = self.withdrawn.merge(page);
        self.bump_revision(usize::from(self.withdrawn.summary() != before));
        next
    }

    /// Returns how old this host's news is, or `None` where it never had any.
    pub fn news_age(&self, now: Instant) -> Option<Duration> {
        let complete_as_of = self.news.complete_as_of(self.quorum)?;
        Some(now.saturating_duration_since(complete_as_of))
    }

    /// Tells whether keyed routes may go on by this host's news.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.news_age(now)
            .is_some_and(|age| age <= self.max_withdrawal_data_age)
    }

    /// Returns the ages to tell the others.
    pub fn news(&self, now: Instant) -> NewsAge {
        self.news.ages(now)
    }

    /// Returns the summary of the withdrawn keys.
    pub fn summary(&self) -> SetSummary {
        self.withdrawn.summary()
    }

    /// Returns a number that changes whenever a key may have lost or gained its
    /// standing. News that grows old does not change it.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn bump_revision(&mut self, new: usize) -> usize {
        self.revision += u64::from(new > 0);
        new
    }
}
