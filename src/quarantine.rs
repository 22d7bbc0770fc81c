//! Requests that were in flight when their upstream died.
//!
//! Deaths are counted for each upstream and reporter by counters that only grow,
//! so that merging takes the larger one and a repeated report counts once. Of
//! several reports on one upstream the largest counts, for two hosts may have
//! seen the same death. A fingerprint with deaths is run alone; at [`DEATHS`] it
//! is refused. A whole answer forgives the deaths so far.

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

/// Deaths at which a fingerprint is refused.
pub const DEATHS_TO_REFUSE: u32 = 3;
/// How long after its last death a fingerprint is remembered.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Fingerprints that are remembered at most.
pub const SUSPECTS_MAX: usize = 1024;
/// Reports on one upstream that are closer together tell of the same death.
pub const SAME_DEATH_WINDOW: Duration = Duration::from_secs(2);
/// Marks that a fingerprint keeps at most.
const MARKS_MAX: usize = 16;
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
    /// It is suspect and no other suspect runs there: run it, and call
    /// [`Quarantine::end_alone`] after it.
    Alone,
    /// It is suspect and another suspect runs there; take another upstream or wait.
    Busy,
    /// Refuse it.
    Refused,
}

/// What one host knows of one suspect.
#[derive(Clone, Debug)]
struct SuspectRecord {
    last_death: Instant,
    /// The last death that this host itself counted.
    last_counted: Option<(SocketAddr, Instant)>,
    marks: SmallVec<[Mark; 4]>,
}

impl SuspectRecord {
    /// Returns the deaths that are not forgiven, each upstream's by its largest report.
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

    /// Merges a mark by its larger counts.
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

/// The suspect requests that one host knows.
#[derive(Clone, Debug)]
pub struct Quarantine {
    reporter: u32,
    records: BTreeMap<Suspect, SuspectRecord>,
    /// The suspect that runs alone on each upstream, as far as this host sends them.
    alone: BTreeMap<SocketAddr, Suspect>,
}

impl Quarantine {
    /// Creates an empty table of this reporter.
    pub fn new(host: &HostName, incarnation: Incarnation) -> Self {
        let low = xxh3_64(format!("{host}/{incarnation}").as_bytes()) & u64::from(u32::MAX);
        Self {
            reporter: u32::try_from(low).unwrap_or_default(),
            records: BTreeMap::new(),
            alone: BTreeMap::new(),
        }
    }

    /// Tells whether a request is refused wherever it would run.
    pub fn is_refused(&self, now: Instant, suspect: Suspect) -> bool {
        self.deaths(now, suspect) >= DEATHS_TO_REFUSE
    }

    /// Decides on a request for an upstream.
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

    /// Ends a run that was admitted alone.
    pub fn end_alone(&mut self, upstream: SocketAddr) {
        self.alone.remove(&upstream);
    }

    /// Returns the deaths that count against a request.
    pub fn deaths(&self, now: Instant, suspect: Suspect) -> u32 {
        let record = self.records.get(&suspect);
        record
            .filter(|r| now < r.last_death + SUSPECT_TTL)
            .map_or(0, SuspectRecord::deaths)
    }

    /// Notes that an upstream died with these requests in flight on it from this host.
    ///
    /// All are blamed alike, for the guilty one may be new. Those that were suspect
    /// ran one at a time, so that an innocent one is seldom blamed twice before a
    /// whole answer clears it.
    pub fn on_death(&mut self, now: Instant, upstream: SocketAddr, in_flight: &[Suspect]) {
        for suspect in in_flight {
            self.add_death(now, upstream, *suspect);
        }
    }

    /// Notes that a whole answer came.
    pub fn on_answer(&mut self, suspect: Suspect) {
        let Some(record) = self.records.get_mut(&suspect) else {
            return;
        };
        for mark in &mut record.marks {
            mark.forgiven = mark.deaths;
        }
    }

    /// Takes in entries from another host.
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

    /// Returns entries to pass on, latest death first, at most `limit`.
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

    /// Returns the summary that tells whether two hosts know the same.
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

    /// Drops what has lapsed.
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

    /// Merges a mark whose suspect's last death was at `at`.
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

    /// A later death of a lapsed suspect is counted from nothing.
    fn remove_expired(&mut self, now: Instant, suspect: Suspect) {
        let expired = |r: &SuspectRecord| now >= r.last_death + SUSPECT_TTL;
        if self.records.get(&suspect).is_some_and(expired) {
            self.records.remove(&suspect);
        }
    }

    /// Makes room for one record; a full table gives up the one with the fewest
    /// deaths, the oldest of these, but none that is refused.
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
