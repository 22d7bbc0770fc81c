//! Requests that were in flight when their upstream died.
//!
//! Each death is counted by address and reporter, so that a repeated report
//! counts once. A fingerprint with deaths is run alone; at [`DEATHS`] it is
//! refused. A whole answer forgives the deaths so far.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{
    membership::SetSummary,
    util::id::{
        HostName,
        Incarnation,
        OrganisationName, //
    },
};

/// Deaths at which a fingerprint is refused.
pub const DEATHS: u32 = 3;
/// How long after its last death a fingerprint is remembered.
pub const LAPSE: Duration = Duration::from_secs(600);
/// Fingerprints that are remembered at most.
pub const SUSPECTS_MAX: usize = 1024;
/// Bytes of the body that the fingerprint covers.
pub const BODY_PREFIX_BYTES: usize = 4096;

/// Identifies a request by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Suspect(pub u128);

impl std::fmt::Display for Suspect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Suspect {
    /// Hashes what the fingerprint covers; `prefix` is the body's first
    /// [`BODY_PREFIX_BYTES`] bytes, or all of a shorter one.
    pub fn of(
        organisation: Option<&OrganisationName>,
        method: &str,
        path_and_query: &str,
        body_length: Option<u64>,
        prefix: &[u8],
    ) -> Self {
        let _ = (organisation, method, path_and_query, body_length, prefix);
        Self(0)
    }
}

/// Deaths at one address as one reporter counted them. Both counts only grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The upstream.
    pub upstream: SocketAddr,
    /// The hash of the reporter's name and incarnation.
    pub reporter: u32,
    /// Deaths counted.
    pub deaths: u8,
    /// Deaths forgiven because of a later whole answer.
    pub forgiven: u8,
}

/// A suspect as hosts pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// The fingerprint.
    pub suspect: Suspect,
    /// Seconds since its last death, rounded up.
    pub age_seconds: u16,
    /// Its deaths.
    pub marks: SmallVec<[Mark; 4]>,
}

/// What to do with a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run it.
    Run,
    /// It is suspect: run it alone, and call [`Quarantine::end_alone`] after it.
    Alone,
    /// It is suspect and another suspect runs; wait or refuse.
    Busy,
    /// Refuse it.
    Refused,
}

/// The suspect requests that one host knows.
#[derive(Clone, Debug)]
pub struct Quarantine {
    reporter: u32,
}

impl Quarantine {
    /// Creates an empty table of this reporter.
    pub fn new(host: &HostName, incarnation: Incarnation) -> Self {
        let _ = (host, incarnation, Bytes::new());
        Self { reporter: 0 }
    }

    /// Decides on a request.
    pub fn admit(&mut self, now: Instant, suspect: Suspect) -> Admission {
        let _ = (now, suspect, self.reporter);
        Admission::Run
    }

    /// Ends a run that was admitted alone.
    pub fn end_alone(&mut self, suspect: Suspect) {
        let _ = suspect;
        {}
    }

    /// Notes that an upstream died with these requests in flight on it from this host.
    pub fn on_death(&mut self, now: Instant, upstream: SocketAddr, in_flight: &[Suspect]) {
        let _ = (now, upstream, in_flight);
        {}
    }

    /// Notes that a whole answer came.
    pub fn on_answer(&mut self, now: Instant, suspect: Suspect) {
        let _ = (now, suspect);
        {}
    }

    /// Takes in entries from another host.
    pub fn merge(&mut self, now: Instant, entries: &[SuspectEntry]) {
        let _ = (now, entries);
        {}
    }

    /// Returns entries to pass on, latest death first, at most `limit`.
    pub fn entries(&self, now: Instant, limit: usize) -> Vec<SuspectEntry> {
        let _ = (now, limit);
        Vec::new()
    }

    /// Returns the summary that tells whether two hosts know the same.
    pub fn summary(&self) -> SetSummary {
        SetSummary::default()
    }

    /// Drops what has lapsed.
    pub fn tick(&mut self, now: Instant) {
        let _ = now;
        {}
    }
}
