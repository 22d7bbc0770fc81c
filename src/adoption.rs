//! Which configuration a host adopts, and what it asks before its first one.

use std::time::Duration;

use tokio::time::Instant;

use crate::util::id::{
    Generation,
    HostName,
    Version, //
};

/// How long a new process waits for peers after it first asked.
pub const PEER_WAIT: Duration = Duration::from_secs(2);
/// How long a question may stay unanswered before it is asked again.
pub const ASK_AGAIN: Duration = Duration::from_secs(1);

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
    Unproved,
}

/// One host's choice of configuration generation.
#[derive(Clone, Debug)]
pub struct Adoption {
    current: Option<Generation>,
    started: Instant,
}

impl Adoption {
    /// Creates the choice of a process that has no configuration.
    pub fn new(now: Instant) -> Self {
        Self {
            current: None,
            started: now,
        }
    }

    /// Returns the generation in force.
    pub fn current(&self) -> Option<Generation> {
        self.current
    }

    /// Takes in an offer. `None` from a peer that has no configuration itself.
    pub fn offer(&mut self, now: Instant, source: Source, generation: Option<Generation>) {
        let _ = (now, source, generation, self.started);
        todo!("offer")
    }

    /// Takes in that the store did not answer.
    pub fn store_failed(&mut self, now: Instant) {
        let _ = now;
        todo!("store_failed")
    }

    /// Takes in the answer to [`Step::Confirm`]: the new version, or `None` on a conflict.
    pub fn confirmed(&mut self, now: Instant, asked: Version, new: Option<Version>) {
        let _ = (now, asked, new);
        todo!("confirmed")
    }

    /// Returns what to do next.
    pub fn next_step(&mut self, now: Instant) -> Step {
        let _ = now;
        todo!("next_step")
    }

    /// Decides on a fetched generation.
    pub fn adopt(&mut self, now: Instant, generation: Generation) -> Adopted {
        let _ = (now, generation);
        todo!("adopt")
    }
}
