//! Chooses the configuration generation that a host adopts.
//!
//! A host with a configuration adopts any higher generation, from any source. A new
//! process has no generation to compare with, so it first collects offers from the store
//! and its peers. If no peer answers, it verifies that the store's answer is current: a
//! conditional write of the unchanged head succeeds only on the current version.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::util::id::{
    Generation,
    HostName,
    Version, //
};

/// How long a new process waits for peers after its first query.
pub const PEER_WAIT: Duration = Duration::from_secs(2);
/// Offers from this many peers and an answer of the store end the wait of a new process
/// early.
pub const PEERS_SUFFICIENT: usize = 2;
/// How long a fetch may take before it is started again.
pub const FETCH_RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// The largest number of offers that are kept.
const OFFERS_MAX: usize = 8;
/// The interval between two queries for offers, and the longest wait of [`Step::Wait`].
pub const ASK_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The source of an offered generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store, with the version of the head object that was read.
    Store(Version),
    /// Another entry host, which may be the zone's relay.
    Peer(HostName),
}

/// The next action for the owner of an [`Adoption`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the store's head and query the peers for their generations.
    Ask,
    /// Write the head back unchanged on condition of this version, to verify that the
    /// version is current.
    Confirm {
        /// The version that the head object must have.
        version: Version,
    },
    /// Fetch this generation and pass it to [`Adoption::adopt`].
    Fetch {
        /// The generation to fetch.
        generation: Generation,
        /// The source that offered it.
        source: Source,
    },
    /// Do nothing until this instant.
    Wait {
        /// When to call [`Adoption::next_step`] again.
        until: Instant,
    },
}

/// The result of [`Step::Confirm`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The write succeeded, so the version that was read before it was current.
    Current {
        /// The version of the head after the write.
        new: Version,
    },
    /// The write failed because the head has another version.
    NotCurrent {
        /// The version of the head; `None` if the store did not return it.
        current: Option<Version>,
    },
}

/// The decision on a fetched generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adopted {
    /// The generation is adopted and now in force.
    InForce,
    /// The generation is not higher than the one in force, which stays.
    Stale {
        /// The generation in force.
        current: Generation,
    },
    /// The process has no configuration yet, and the generation is not known to be current.
    Unconfirmed,
}

/// The state from which a host chooses its configuration generation.
#[derive(Clone, Debug)]
pub struct Adoption {
    current: Option<Generation>,
    /// Offers above the generation in force, highest first.
    offers: SmallVec<[(Generation, Source); OFFERS_MAX]>,
    /// The highest version of the head object seen so far.
    head: Option<Version>,
    /// Whether a conditional write has confirmed that the head is current.
    confirmed: bool,
    /// The peers that offered a generation, at most [`PEERS_SUFFICIENT`].
    offering_peers: SmallVec<[HostName; PEERS_SUFFICIENT]>,
    /// When the first query was made.
    first_asked: Option<Instant>,
    /// When the latest query was made.
    asked: Option<Instant>,
    /// The generation of the latest fetch and when it started.
    fetching: Option<(Generation, Instant)>,
}

impl Adoption {
    /// Creates the state of a process that has no configuration.
    pub fn new() -> Self {
        Self {
            current: None,
            offers: SmallVec::new(),
            head: None,
            confirmed: false,
            offering_peers: SmallVec::new(),
            first_asked: None,
            asked: None,
            fetching: None,
        }
    }

    /// Returns the generation in force.
    pub fn current(&self) -> Option<Generation> {
        self.current
    }

    /// Processes an offer. `None` comes from a peer or a store without a configuration.
    ///
    /// An answer of the store is stale, and ignored, if a higher version of the head was
    /// seen before.
    pub fn offer(&mut self, source: Source, generation: Option<Generation>) {
        if let Source::Store(version) = source {
            if self.head.is_some_and(|seen| version < seen) {
                return;
            }
            self.head = Some(version);
        }
        let Some(generation) = generation else {
            return;
        };
        self.record_peer(&source);
        if self.current.is_some_and(|c| generation <= c) {
            return;
        }
        self.insert_offer(generation, source);
    }

    /// Processes the result of [`Step::Confirm`]; `asked` is the version of that step.
    ///
    /// A write without an answer is not reported here; [`Adoption::next_step`] repeats the
    /// step.
    pub fn confirm(&mut self, asked: Version, answer: Confirmation) {
        if self.head != Some(asked) {
            return;
        }
        match answer {
            Confirmation::Current { new } => {
                self.head = Some(new);
                self.confirmed = true;
                for (_, source) in &mut self.offers {
                    if *source == Source::Store(asked) {
                        *source = Source::Store(new);
                    }
                }
            }
            Confirmation::NotCurrent { current } => {
                self.head = self.head.max(current);
                self.offers.retain(|(_, s)| !matches!(s, Source::Store(_)));
                self.asked = None;
            }
        }
    }

    /// Discards the offers of a source that failed to deliver a generation.
    pub fn fetch_failed(&mut self, source: &Source) {
        self.offers.retain(|(_, s)| s != source);
        self.fetching = None;
    }

    /// Returns the next action.
    pub fn next_step(&mut self, now: Instant) -> Step {
        if self.current.is_some() || self.is_confirmed(now) {
            return self.fetch_or_wait(now);
        }
        let first = *self.first_asked.get_or_insert(now);
        if self.asked.is_none_or(|t| now >= t + ASK_RETRY_INTERVAL) {
            self.asked = Some(now);
            return self.ask(now, first);
        }
        Step::Wait {
            until: self.asked.unwrap_or(now) + ASK_RETRY_INTERVAL,
        }
    }

    /// Decides whether to adopt a fetched generation.
    pub fn adopt(&mut self, now: Instant, generation: Generation) -> Adopted {
        if let Some(current) = self.current.filter(|c| generation <= *c) {
            return Adopted::Stale { current };
        }
        if self.current.is_none() && !self.may_adopt_first(now, generation) {
            return Adopted::Unconfirmed;
        }
        self.current = Some(generation);
        self.offers.retain(|(g, _)| *g > generation);
        self.fetching = None;
        Adopted::InForce
    }

    /// Returns whether a new process may adopt this generation as its first.
    ///
    /// It must not be lower than the highest offer that can still be fetched.
    fn may_adopt_first(&self, now: Instant, generation: Generation) -> bool {
        let lower = self.offers.first().is_some_and(|(g, _)| generation < *g);
        self.is_confirmed(now) && !lower
    }

    /// Returns whether the highest offer may be trusted to be current.
    ///
    /// This needs a confirmed head, or an offer from at least one peer after
    /// [`PEER_WAIT`], or offers from [`PEERS_SUFFICIENT`] peers and an answer of the store.
    fn is_confirmed(&self, now: Instant) -> bool {
        let waited = self.first_asked.is_some_and(|t| now >= t + PEER_WAIT);
        let sufficient = self.head.is_some() && self.offering_peers.len() >= PEERS_SUFFICIENT;
        self.confirmed || sufficient || (waited && !self.offering_peers.is_empty())
    }

    fn record_peer(&mut self, source: &Source) {
        let Source::Peer(peer) = source else {
            return;
        };
        if self.offering_peers.len() < PEERS_SUFFICIENT && !self.offering_peers.contains(peer) {
            self.offering_peers.push(peer.clone());
        }
    }

    fn ask(&self, now: Instant, first: Instant) -> Step {
        let no_peers = self.offering_peers.is_empty() && now >= first + PEER_WAIT;
        match self.offers.first() {
            Some((_, Source::Store(version))) if no_peers => Step::Confirm { version: *version },
            _ => Step::Ask,
        }
    }

    fn fetch_or_wait(&mut self, now: Instant) -> Step {
        let wait = Step::Wait {
            until: now + ASK_RETRY_INTERVAL,
        };
        let Some((generation, source)) = self.offers.first().cloned() else {
            return wait;
        };
        let in_progress =
            |(g, t): (Generation, Instant)| g >= generation && now < t + FETCH_RETRY_INTERVAL;
        if self.fetching.is_some_and(in_progress) {
            return wait;
        }
        self.fetching = Some((generation, now));
        Step::Fetch { generation, source }
    }

    /// Keeps the highest offers. Among equal generations a peer comes first, to reduce the
    /// load on the store.
    fn insert_offer(&mut self, generation: Generation, source: Source) {
        if let Source::Store(_) = source {
            self.offers.retain(|(_, s)| !matches!(s, Source::Store(_)));
        }
        let offer = (generation, source);
        if self.offers.contains(&offer) {
            return;
        }
        self.offers.push(offer);
        let rank = |(g, s): &(Generation, Source)| (*g, matches!(s, Source::Peer(_)));
        self.offers.sort_by_key(|o| std::cmp::Reverse(rank(o)));
        self.offers.truncate(OFFERS_MAX);
    }
}

impl Default for Adoption {
    fn default() -> Self {
        Self::new()
    }
}
