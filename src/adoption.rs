//! Which configuration a host adopts, and what it asks before its first one.
//!
//! A host in force adopts whatever is higher, whoever offers it. A new process
//! has nothing to compare with, so it first takes offers from the store and its
//! peers. Where it hears no peer, it makes sure that the store's answer is
//! current: a conditional write of the unchanged head succeeds only on the
//! current version.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::util::id::{
    Generation,
    HostName,
    Version, //
};

/// How long a new process waits for peers after it first asked.
pub const PEER_WAIT: Duration = Duration::from_secs(2);
/// Peers that a new process need not wait beyond, once the store answered too.
pub const PEERS_SUFFICIENT: usize = 2;
/// How long a fetch may take before it is asked again.
pub const FETCH_RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// Offers that are remembered at most.
const OFFERS_MAX: usize = 8;
/// How long a question may stay unanswered before it is asked again.
pub const ASK_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Who offers a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store, at this version of the head object.
    Store(Version),
    /// Another entry host, the zone's relay among them.
    Peer(HostName),
}

/// What the owner of an [`Adoption`] does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the store's head and ask the peers for their generations.
    Ask,
    /// Write the head back unchanged at this version, to learn whether it is current.
    Confirm {
        /// The version to name in the condition.
        version: Version,
    },
    /// Fetch this generation and call [`Adoption::adopt`] with it.
    Fetch {
        /// The generation.
        generation: Generation,
        /// Who offers it.
        source: Source,
    },
    /// Nothing before this instant.
    Wait {
        /// When to ask again what to do.
        until: Instant,
    },
}

/// The answer to [`Step::Confirm`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The write took effect, so the read before it was current.
    Current {
        /// The version that it gave.
        new: Version,
    },
    /// The head is at another version, where the store told it.
    Moved {
        /// The head's version.
        current: Option<Version>,
    },
}

/// What became of a fetched generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adopted {
    /// It is in force from now on.
    InForce,
    /// It is not higher than the one in force, which stays.
    Stale {
        /// The generation in force.
        current: Generation,
    },
    /// It is a new process's first one and not known to be current yet.
    Unconfirmed,
}

/// One host's choice of configuration generation.
#[derive(Clone, Debug)]
pub struct Adoption {
    current: Option<Generation>,
    /// Offers above the generation in force, highest first.
    offers: SmallVec<[(Generation, Source); OFFERS_MAX]>,
    /// The highest version of the head object that was seen.
    head: Option<Version>,
    /// Whether the head was proved current by a write.
    confirmed: bool,
    /// The peers that offered a generation, up to [`PEERS_ENOUGH`].
    offering_peers: SmallVec<[HostName; PEERS_SUFFICIENT]>,
    first_asked: Option<Instant>,
    asked: Option<Instant>,
    fetching: Option<(Generation, Instant)>,
}

impl Adoption {
    /// Creates the choice of a process that has no configuration.
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

    /// Takes in an offer. `None` comes from a peer or a store without configuration.
    ///
    /// A store's answer is stale if a higher version of the head was seen before.
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

    /// Takes in the answer to [`Step::Confirm`].
    ///
    /// An answer that was lost is not reported; the question is asked again.
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
            Confirmation::Moved { current } => {
                self.head = self.head.max(current);
                self.offers.retain(|(_, s)| !matches!(s, Source::Store(_)));
                self.asked = None;
            }
        }
    }

    /// Takes in that a source could not deliver what it offered.
    pub fn fetch_failed(&mut self, source: &Source) {
        self.offers.retain(|(_, s)| s != source);
        self.fetching = None;
    }

    /// Returns what to do next.
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

    /// Decides on a fetched generation.
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

    /// A new process takes nothing below the highest offer that can be delivered.
    fn may_adopt_first(&self, now: Instant, generation: Generation) -> bool {
        let lower = self.offers.first().is_some_and(|(g, _)| generation < *g);
        self.is_confirmed(now) && !lower
    }

    /// Whether the offers of a new process suffice to choose from.
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

    /// Keeps the highest offers; of equal ones a peer's goes first, for the store's sake.
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
