//! Quarantine of requests that were in flight when their upstream crashed.
//!
//! Crashes ("deaths") are counted for each request fingerprint, upstream and reporting
//! host. The counters only grow, so that hosts merge them by maximum and a repeated report
//! counts once. Of several reports on one upstream only the largest counts, because two
//! hosts may have seen the same crash. A fingerprint with deaths runs on an upstream only
//! while no other suspect runs there; at [`DEATHS_TO_REFUSE`] it is refused. A complete
//! answer forgives all deaths counted so far.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};
use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    membership::SetSummary,
    util::id::{
        HostName,
        Incarnation,
        OrganisationName, //
    },
};

/// The number of deaths at which a fingerprint is refused.
pub const DEATHS_TO_REFUSE: u32 = 3;
/// How long a fingerprint is kept after its last death.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// The largest number of fingerprints in the table.
pub const SUSPECTS_MAX: usize = 1024;
/// How long after counting a death a host treats further failures of the same upstream as
/// part of that death.
pub const SAME_DEATH_WINDOW: Duration = Duration::from_secs(2);
/// The largest number of marks that a fingerprint keeps.
const MARKS_MAX: usize = 16;
/// How many bytes of the body the fingerprint covers.
pub const BODY_PREFIX_BYTES: usize = 4096;

/// The fingerprint of a request, computed from its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Suspect(pub u128);

impl std::fmt::Display for Suspect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Suspect {
    /// Computes the fingerprint; `prefix` is the first [`BODY_PREFIX_BYTES`] bytes of the
    /// body, or all of a shorter body.
    pub fn of(
        organisation: Option<&OrganisationName>,
        method: &str,
        path_and_query: &str,
        body_length: Option<u64>,
        prefix: &[u8],
    ) -> Self {
        let length = body_length.map_or(Vec::new(), |l| l.to_le_bytes().to_vec());
        let mut hash = Sha256::new();
        for part in [
            organisation.map_or("", OrganisationName::as_str).as_bytes(),
            method.as_bytes(),
            path_and_query.as_bytes(),
            &length,
            prefix,
        ] {
            hash.update(part.len().to_le_bytes());
            hash.update(part);
        }
        let digest: [u8; 32] = hash.finalize().into();
        let mut short = [0; 16];
        short.copy_from_slice(&digest[..16]);
        Self(u128::from_le_bytes(short))
    }
}

/// The deaths of one fingerprint on one upstream, as one host counted them.
///
/// Both counts only grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The address of the upstream that crashed.
    pub upstream: SocketAddr,
    /// The low 32 bits of a hash of the reporting host's name and incarnation.
    pub reporter: u32,
    /// The number of deaths that the reporter counted.
    pub deaths: u8,
    /// How many of these deaths a later complete answer has forgiven.
    pub forgiven: u8,
}

/// A suspect in the form in which hosts exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// The fingerprint of the request.
    pub suspect: Suspect,
    /// Seconds since the last death, rounded up.
    pub age_seconds: u16,
    /// The deaths by upstream and reporter.
    pub marks: SmallVec<[Mark; 4]>,
}

/// The decision on a request for one upstream.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request has no deaths; run it.
    Run,
    /// The request is suspect and no other suspect runs on the upstream. Run it, and call
    /// [`Quarantine::end_alone`] when it has ended.
    Alone,
    /// The request is suspect and a suspect already runs on the upstream. Choose another
    /// upstream or wait.
    Busy,
    /// The request has reached [`DEATHS_TO_REFUSE`]; refuse it.
    Refused,
}

/// The deaths of one suspect, as known to this host.
#[derive(Clone, Debug)]
struct SuspectRecord {
    last_death: Instant,
    /// The upstream and time of the last death that this host counted itself.
    last_counted: Option<(SocketAddr, Instant)>,
    marks: SmallVec<[Mark; 4]>,
}

impl SuspectRecord {
    /// Returns the sum over all upstreams of the largest number of unforgiven deaths that
    /// any reporter counted.
    fn deaths(&self) -> u32 {
        let mut by_upstream: SmallVec<[(SocketAddr, u8); 4]> = SmallVec::new();
        for mark in &self.marks {
            let unforgiven = mark.deaths.saturating_sub(mark.forgiven);
            match by_upstream.iter_mut().find(|(u, _)| *u == mark.upstream) {
                Some((_, most)) => *most = unforgiven.max(*most),
                None => by_upstream.push((mark.upstream, unforgiven)),
            }
        }
        by_upstream
            .iter()
            .map(|(_, unforgiven)| u32::from(*unforgiven))
            .sum()
    }

    /// Merges a mark by taking the maximum of each count.
    fn merge(&mut self, mark: Mark) {
        let same = |m: &&mut Mark| m.upstream == mark.upstream && m.reporter == mark.reporter;
        if let Some(known) = self.marks.iter_mut().find(same) {
            known.deaths = known.deaths.max(mark.deaths);
            known.forgiven = known.forgiven.max(mark.forgiven);
            return;
        }
        if self.marks.len() < MARKS_MAX {
            self.marks.push(mark);
        }
    }
}

/// The table of suspect requests of one host.
#[derive(Clone, Debug)]
pub struct Quarantine {
    reporter: u32,
    records: BTreeMap<Suspect, SuspectRecord>,
    /// The suspect that this host currently runs on each upstream.
    alone: BTreeMap<SocketAddr, Suspect>,
}

impl Quarantine {
    /// Creates an empty table. The host name and incarnation identify it as a reporter.
    pub fn new(host: &HostName, incarnation: Incarnation) -> Self {
        let low = xxh3_64(format!("{host}/{incarnation}").as_bytes()) & u64::from(u32::MAX);
        Self {
            reporter: u32::try_from(low).unwrap_or_default(),
            records: BTreeMap::new(),
            alone: BTreeMap::new(),
        }
    }

    /// Returns whether a request is refused on every upstream.
    pub fn is_refused(&self, now: Instant, suspect: Suspect) -> bool {
        self.deaths(now, suspect) >= DEATHS_TO_REFUSE
    }

    /// Decides whether a request may run on an upstream.
    pub fn admit(&mut self, now: Instant, suspect: Suspect, upstream: SocketAddr) -> Admission {
        match self.deaths(now, suspect) {
            0 => Admission::Run,
            DEATHS_TO_REFUSE.. => Admission::Refused,
            _ if self.alone.contains_key(&upstream) => Admission::Busy,
            _ => {
                self.alone.insert(upstream, suspect);
                Admission::Alone
            }
        }
    }

    /// Records the end of a request that was admitted with [`Admission::Alone`].
    pub fn end_alone(&mut self, upstream: SocketAddr) {
        self.alone.remove(&upstream);
    }

    /// Returns the number of unforgiven deaths of a request.
    pub fn deaths(&self, now: Instant, suspect: Suspect) -> u32 {
        let record = self.records.get(&suspect);
        record
            .filter(|r| now < r.last_death + SUSPECT_TTL)
            .map_or(0, SuspectRecord::deaths)
    }

    /// Records that an upstream crashed while these requests of this host were in flight.
    ///
    /// All of them get a death, because the request that caused the crash may be new.
    /// Suspects run one at a time on an upstream, so that a harmless request seldom gets a
    /// second death before a complete answer forgives the first.
    pub fn on_death(&mut self, now: Instant, upstream: SocketAddr, in_flight: &[Suspect]) {
        for suspect in in_flight {
            self.add_death(now, upstream, *suspect);
        }
    }

    /// Records a complete answer, which forgives all deaths of the request so far.
    pub fn on_answer(&mut self, suspect: Suspect) {
        let Some(record) = self.records.get_mut(&suspect) else {
            return;
        };
        for mark in &mut record.marks {
            mark.forgiven = mark.deaths;
        }
    }

    /// Merges entries from another host.
    pub fn merge(&mut self, now: Instant, entries: &[SuspectEntry]) {
        for entry in entries {
            let age = Duration::from_secs(entry.age_seconds.into());
            let Some(died_at) = now.checked_sub(age).filter(|_| age < SUSPECT_TTL) else {
                continue;
            };
            self.remove_expired(now, entry.suspect);
            for mark in entry.marks.iter().filter(|m| m.deaths > 0) {
                self.merge_mark(now, died_at, entry.suspect, *mark);
            }
        }
    }

    /// Returns at most `limit` entries to send to other hosts, latest death first.
    pub fn entries(&self, now: Instant, limit: usize) -> Vec<SuspectEntry> {
        let live = |r: &SuspectRecord| now < r.last_death + SUSPECT_TTL;
        let mut records: Vec<_> = self.records.iter().filter(|(_, r)| live(r)).collect();
        records.sort_by_key(|(_, r)| std::cmp::Reverse(r.last_death));
        let mut entries = Vec::new();
        for (suspect, record) in records.into_iter().take(limit) {
            let age = now.saturating_duration_since(record.last_death);
            let seconds = age.as_millis().div_ceil(1_000);
            entries.push(SuspectEntry {
                suspect: *suspect,
                age_seconds: u16::try_from(seconds).unwrap_or(u16::MAX),
                marks: record.marks.clone(),
            });
        }
        entries
    }

    /// Returns a summary of the table, which hosts compare to detect that their tables
    /// differ.
    pub fn summary(&self) -> SetSummary {
        let mut summary = SetSummary::default();
        for (suspect, record) in &self.records {
            for mark in &record.marks {
                let text = format!("{suspect:?}{mark:?}");
                summary.sum = summary.sum.wrapping_add(xxh3_64(text.as_bytes()));
            }
            summary.count += 1;
        }
        summary
    }

    /// Drops suspects whose last death is older than [`SUSPECT_TTL`].
    pub fn tick(&mut self, now: Instant) {
        self.records.retain(|_, r| now < r.last_death + SUSPECT_TTL);
    }

    fn add_death(&mut self, now: Instant, upstream: SocketAddr, suspect: Suspect) {
        self.remove_expired(now, suspect);
        let mut own = Mark {
            upstream,
            reporter: self.reporter,
            deaths: 0,
            forgiven: 0,
        };
        if let Some(record) = self.records.get(&suspect) {
            let same = |(u, t): (SocketAddr, Instant)| u == upstream && now < t + SAME_DEATH_WINDOW;
            if record.last_counted.is_some_and(same) {
                return;
            }
            let is_own = |m: &&Mark| m.upstream == upstream && m.reporter == self.reporter;
            own = record.marks.iter().find(is_own).copied().unwrap_or(own);
        }
        own.deaths = own.deaths.saturating_add(1);
        self.merge_mark(now, now, suspect, own);
        if let Some(record) = self.records.get_mut(&suspect) {
            record.last_counted = Some((upstream, now));
        }
    }

    /// Merges a mark of a suspect whose last death was at `died_at`.
    fn merge_mark(&mut self, now: Instant, died_at: Instant, suspect: Suspect, mark: Mark) {
        if !self.records.contains_key(&suspect) && !self.make_room(now) {
            return;
        }
        let record = self
            .records
            .entry(suspect)
            .or_insert_with(|| SuspectRecord {
                last_death: died_at,
                last_counted: None,
                marks: SmallVec::new(),
            });
        record.merge(mark);
        record.last_death = record.last_death.max(died_at);
    }

    /// Removes an expired suspect, so that a new death starts its count from zero.
    fn remove_expired(&mut self, now: Instant, suspect: Suspect) {
        let expired = |r: &SuspectRecord| now >= r.last_death + SUSPECT_TTL;
        if self.records.get(&suspect).is_some_and(expired) {
            self.records.remove(&suspect);
        }
    }

    /// Makes room for one record and returns whether there is room.
    ///
    /// A full table evicts the record with the fewest deaths, and the oldest of these, but
    /// never one that is refused.
    fn make_room(&mut self, now: Instant) -> bool {
        if self.records.len() < SUSPECTS_MAX {
            return true;
        }
        self.tick(now);
        let rank = |r: &SuspectRecord| (r.deaths(), r.last_death);
        let least = self.records.iter().min_by_key(|(_, r)| rank(r));
        let Some((suspect, deaths)) = least.map(|(s, r)| (*s, r.deaths())) else {
            return true;
        };
        if deaths >= DEATHS_TO_REFUSE {
            return false;
        }
        self.records.remove(&suspect);
        true
    }
}
