//! Maps the API keys of callers to organisations and tracks withdrawn keys.
//!
//! Keys are stored only as digests. Withdrawn keys form a grow-only set that
//! hosts exchange directly, without waiting for the next configuration
//! generation. Clones are cheap and share the tables, so that a snapshot can be
//! published to the gateway.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use tokio::time::Instant;

use crate::{
    config::object::Key,
    membership::{
        SetSummary, //
        WithdrawalDataAge,
    },
    util::id::{
        KeyDigest,
        OrganisationName,
        ZoneName, //
    },
};

pub mod freshness;
pub mod scrub;
pub mod withdrawn_set;

pub use freshness::Quorum;
pub use withdrawn_set::{
    WithdrawnPage, //
    WithdrawnRequest,
};

use freshness::Freshness;
use withdrawn_set::WithdrawnSet;

/// The default age of the withdrawal data above which keyed routes refuse requests.
pub const MAX_WITHDRAWAL_DATA_AGE: Duration = Duration::from_secs(20);

/// The result of looking up a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// The key is valid and belongs to this organisation.
    Organisation(OrganisationName),
    /// No key with this digest is configured.
    Unknown,
    /// The key was withdrawn.
    Withdrawn,
    /// The withdrawal data is too old to rule out that the key was withdrawn.
    Stale,
}

/// How keyed routes treat configured keys when the withdrawal data is too old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StalePolicy {
    /// Requests are refused.
    #[default]
    Refuse,
    /// Requests are checked against the withdrawals known so far.
    Allow,
}

/// The configured keys, the withdrawn keys, and the age of the withdrawal data.
#[derive(Clone, Debug)]
pub struct Credentials {
    keys: Arc<HashMap<KeyDigest, OrganisationName>>,
    withdrawn: WithdrawnSet,
    freshness: Freshness,
    quorum: Quorum,
    stale_policy: StalePolicy,
    max_withdrawal_data_age: Duration,
    revision: u64,
}

impl Credentials {
    /// Creates an empty table for a host of this zone, with withdrawal data of
    /// unknown age.
    pub fn new(zone: ZoneName, quorum: Quorum, stale_policy: StalePolicy) -> Self {
        Self {
            keys: Arc::default(),
            withdrawn: WithdrawnSet::new(),
            freshness: Freshness::new(zone),
            quorum,
            stale_policy,
            max_withdrawal_data_age: MAX_WITHDRAWAL_DATA_AGE,
            revision: 0,
        }
    }

    /// Sets the age of the withdrawal data above which it counts as stale.
    pub fn with_max_withdrawal_data_age(mut self, max_withdrawal_data_age: Duration) -> Self {
        self.max_withdrawal_data_age = max_withdrawal_data_age;
        self
    }

    /// Replaces the configured keys and the configured zones.
    pub fn set_keys<'a>(&mut self, keys: &[Key], zones: impl Iterator<Item = &'a ZoneName>) {
        let pairs = keys.iter().map(|k| (k.digest, k.organisation.clone()));
        self.keys = Arc::new(pairs.collect());
        self.freshness.set_zones(zones);
        self.revision += 1;
    }

    /// Looks up a key as a caller presented it.
    pub fn check(&self, now: Instant, key: &[u8]) -> KeyStatus {
        self.check_digest(now, &KeyDigest::of(key))
    }

    /// Looks up a key by its digest, to check open connections and running
    /// streams again.
    pub fn check_digest(&self, now: Instant, digest: &KeyDigest) -> KeyStatus {
        if self.withdrawn.contains(digest) {
            return KeyStatus::Withdrawn;
        }
        let Some(organisation) = self.keys.get(digest) else {
            return KeyStatus::Unknown;
        };
        match self.stale_policy {
            StalePolicy::Refuse if !self.is_fresh(now) => KeyStatus::Stale,
            StalePolicy::Refuse | StalePolicy::Allow => {
                KeyStatus::Organisation(organisation.clone())
            }
        }
    }

    /// Returns whether a digest belongs to a configured or a withdrawn key.
    pub fn is_key(&self, digest: &KeyDigest) -> bool {
        self.keys.contains_key(digest) || self.withdrawn.contains(digest)
    }

    /// Returns whether a key is known to be withdrawn.
    pub fn is_withdrawn(&self, digest: &KeyDigest) -> bool {
        self.withdrawn.contains(digest)
    }

    /// Adds withdrawn keys; returns how many were not known before.
    pub fn withdraw(&mut self, digests: impl IntoIterator<Item = KeyDigest>) -> usize {
        let mut new = 0;
        for digest in digests {
            new += usize::from(self.withdrawn.insert(digest));
        }
        self.bump_revision(new)
    }

    /// Records that this set contains all withdrawals that the store held at
    /// `requested_at`. The store must have been read then or later, and a read
    /// that may be stale must not be recorded.
    pub fn record_store_read(&mut self, requested_at: Instant) {
        self.freshness.record_store_read(requested_at);
    }

    /// Merges the data ages in a peer's answer to a request sent at `requested_at`.
    ///
    /// Returns `false`, and merges nothing, if the peer's set may contain keys
    /// that are missing here. Request [`WithdrawnRequest::Latest`] from it and merge
    /// the page first. Unsolicited messages must not be passed: only for an
    /// answer is there an upper bound on the time that it was in transit.
    pub fn merge_peer_ages(
        &mut self,
        requested_at: Instant,
        set: SetSummary,
        freshness: &WithdrawalDataAge,
    ) -> bool {
        if !self.withdrawn.covers(set) {
            return false;
        }
        self.freshness.merge_peer_ages(requested_at, freshness);
        true
    }

    /// Answers a peer's request for withdrawn keys.
    pub fn page_for(&self, request: &WithdrawnRequest) -> WithdrawnPage {
        self.withdrawn.page_for(request)
    }

    /// Merges a page from a peer; returns the next request to send to it, if keys
    /// are still missing.
    pub fn merge_page(&mut self, page: &WithdrawnPage) -> Option<WithdrawnRequest> {
        let before = self.withdrawn.summary();
        let next = self.withdrawn.merge(page);
        self.bump_revision(usize::from(self.withdrawn.summary() != before));
        next
    }

    /// Returns the age of this host's withdrawal data: no withdrawal older than
    /// this is missing. Returns `None` if the age is unknown.
    pub fn withdrawal_data_age(&self, now: Instant) -> Option<Duration> {
        let complete_as_of = self.freshness.complete_as_of(self.quorum)?;
        Some(now.saturating_duration_since(complete_as_of))
    }

    /// Returns whether the withdrawal data is recent enough for keyed routes.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.withdrawal_data_age(now)
            .is_some_and(|age| age <= self.max_withdrawal_data_age)
    }

    /// Returns the ages of the withdrawal data to send to other hosts.
    pub fn freshness(&self, now: Instant) -> WithdrawalDataAge {
        self.freshness.ages(now)
    }

    /// Returns the summary of the withdrawn keys, by which hosts compare their sets.
    pub fn summary(&self) -> SetSummary {
        self.withdrawn.summary()
    }

    /// Returns a counter that increases whenever the result of looking up a key
    /// may have changed. It does not count that withdrawal data becomes stale.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn bump_revision(&mut self, new: usize) -> usize {
        self.revision += u64::from(new > 0);
        new
    }
}
