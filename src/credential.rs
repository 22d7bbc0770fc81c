//! Which organisation a caller's key stands for, at each request.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
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

pub mod scrub;

/// How old news of withdrawn keys may be before keyed routes stop.
pub const NEWS_BOUND: Duration = Duration::from_secs(20);

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

/// What proves, without the store, that no withdrawal is missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Quorum {
    /// Being in touch with all configured zones.
    #[default]
    AllZones,
    /// Being in touch with more than half of them.
    Majority,
}

/// What keyed routes do when news of withdrawn keys is too old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WhenStale {
    /// They refuse.
    #[default]
    Stop,
    /// They go on with what is known.
    GoOn,
}

/// A page of a set exchange.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WithdrawnPage {
    /// What the sender's set holds.
    pub summary: SetSummary,
    /// Hashes of the set's parts, where the page asks for what differs.
    pub parts: Bytes,
    /// Digests that the receiver may miss, 32 bytes each.
    pub digests: Bytes,
}

/// The keys, the withdrawn keys, and how fresh they are.
#[derive(Clone, Debug)]
pub struct Credentials {
    quorum: Quorum,
    when_stale: WhenStale,
    zone: ZoneName,
}

impl Credentials {
    /// Creates an empty table for a host of this zone, whose news has no known age.
    pub fn new(zone: ZoneName, quorum: Quorum, when_stale: WhenStale) -> Self {
        Self {
            quorum,
            when_stale,
            zone,
        }
    }

    /// Replaces the configured keys and zones.
    pub fn set_keys(&mut self, keys: &[Key], zones: &[ZoneName]) {
        let _ = (keys, zones, self.quorum, self.when_stale, &self.zone);
        todo!("set_keys")
    }

    /// Returns the standing of a presented key.
    pub fn check(&self, now: Instant, key: &[u8]) -> Standing {
        self.check_digest(now, &KeyDigest::of(key))
    }

    /// Returns the standing of a key by its digest, for open connections and running streams.
    pub fn check_digest(&self, now: Instant, digest: &KeyDigest) -> Standing {
        let _ = (now, digest);
        todo!("check_digest")
    }

    /// Adds withdrawn keys; returns how many were new.
    pub fn withdraw<'a>(&mut self, digests: impl IntoIterator<Item = &'a KeyDigest>) -> usize {
        let _ = digests.into_iter();
        todo!("withdraw")
    }

    /// Notes that at `asked` or later the store held no withdrawal that is not known here.
    pub fn on_store(&mut self, asked: Instant) {
        let _ = asked;
        todo!("on_store")
    }

    /// Takes in the news of a peer that answered a question asked at `asked`.
    pub fn on_peer(&mut self, asked: Instant, zone: &ZoneName, set: SetSummary, news: &NewsAge) {
        let _ = (asked, zone, set, news);
        todo!("on_peer")
    }

    /// Returns how old this host's news is, or `None` where it never had any.
    pub fn news_age(&self, now: Instant) -> Option<Duration> {
        let _ = now;
        todo!("news_age")
    }

    /// Returns the ages to tell the others.
    pub fn news(&self, now: Instant) -> NewsAge {
        let _ = now;
        todo!("news")
    }

    /// Returns the summary of the withdrawn keys.
    pub fn summary(&self) -> SetSummary {
        todo!("summary")
    }

    /// Returns the page that asks a peer for what differs.
    pub fn ask_page(&self) -> WithdrawnPage {
        todo!("ask_page")
    }

    /// Answers a page with the digests that its sender misses.
    pub fn answer_page(&self, page: &WithdrawnPage) -> WithdrawnPage {
        let _ = page;
        todo!("answer_page")
    }

    /// Takes in an answered page; returns how many digests were new.
    pub fn on_page(&mut self, page: &WithdrawnPage) -> usize {
        let _ = page;
        todo!("on_page")
    }

    /// Returns a number that changes whenever a standing may have changed.
    pub fn revision(&self) -> u64 {
        todo!("revision")
    }

    /// Returns the configured digests, shared with [`scrub::scrub`].
    pub fn digests(&self) -> Arc<std::collections::HashSet<KeyDigest>> {
        todo!("digests")
    }
}
