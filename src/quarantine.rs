//! Quarantine of requests that were in flight when their upstream crashed.
//!
//! Crashes ("deaths") are counted for each request fingerprint and start of an upstream, since one
//! start can crash only once. Two hosts that see the same crash therefore record the same death,
//! and crashes of one address add up whoever sees them. If the starts at an address cannot be told
//! apart, its deaths are numbered instead: a crash that comes later than [`SAME_DEATH_WINDOW`]
//! after the last known one gets the next number.
//!
//! Both counts of a death only grow, so that hosts merge them by maximum and a repeated report
//! counts once. A fingerprint with deaths runs on an upstream only while no other suspect runs
//! there; from [`DEATHS_TO_REFUSE`] on it is refused for a while. A complete answer forgives all
//! deaths counted so far.
//!
//! A frequent request is in flight on many upstreams at once, so that it gets many deaths if several
//! of them crash together for another reason. If this host has seen it answered before, deaths that
//! lie close together therefore count as one.
//!
//! After a refusal the request may run once, as a trial that decides whether it is forgiven or
//! refused for longer. If all hosts tried it at the same time, it would crash many upstreams again,
//! so that each host waits for its turn.

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
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::{
    membership::SetSummary,
    util::id::{
        OrganisationName,
        UpstreamId, //
    },
};

/// The number of deaths at which a fingerprint is refused.
pub const DEATHS_TO_REFUSE: u32 = 3;
/// How long a fingerprint is refused after the death that reached [`DEATHS_TO_REFUSE`]; the time
/// doubles with each further death.
pub const REFUSAL_FIRST: Duration = Duration::from_secs(60);
/// The largest number of times that [`REFUSAL_FIRST`] is doubled.
const REFUSAL_DOUBLINGS_MAX: u32 = 8;
/// Time between the trials of a fingerprint after its refusal, at one host and between hosts. It
/// covers a run, and the time in which all hosts learn of a crash.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(5);
/// The last turn of a host for a trial; all later ones have the same.
const TRIAL_TURNS_MAX: u32 = 12;
/// How long a fingerprint is kept after its last death.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// The largest number of fingerprints in the table.
pub const SUSPECTS_MAX: usize = 1024;
/// How long after a death further failures of the same start of an upstream count as part of it.
pub const SAME_DEATH_WINDOW: Duration = Duration::from_secs(2);
/// The number of fingerprints whose answers are remembered; each new one replaces one other.
const ANSWERS_MAX: usize = 1024;
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
    /// body, or all of a shorter body, or a hash of the whole body.
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

/// One start of an upstream's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamStart {
    /// The address at which the upstream listened.
    pub address: SocketAddr,
    /// A hash that differs between the starts at an address; 0 if they cannot be told apart.
    pub start: u64,
}

impl UpstreamStart {
    /// Returns the start of an upstream with this id. An upstream that keeps its id over a restart
    /// has another start time, in milliseconds of its own clock.
    pub fn new(address: SocketAddr, id: &UpstreamId, born: Option<u64>) -> Self {
        let start = xxh3_64_with_seed(id.as_str().as_bytes(), born.unwrap_or_default());
        Self { address, start }
    }
}

impl From<SocketAddr> for UpstreamStart {
    fn from(address: SocketAddr) -> Self {
        Self { address, start: 0 }
    }
}

/// The deaths of one fingerprint on one start of an upstream.
///
/// Both counts only grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The start of an upstream that crashed.
    pub upstream: UpstreamStart,
    /// The number of its deaths; more than one only if starts cannot be told apart.
    pub deaths: u8,
    /// How many of these deaths a later complete answer has forgiven.
    pub forgiven: u8,
}

impl Mark {
    fn unforgiven(&self) -> u8 {
        self.deaths.saturating_sub(self.forgiven)
    }
}

/// A suspect in the form in which hosts exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// The fingerprint of the request.
    pub suspect: Suspect,
    /// Seconds since the last death, rounded up.
    pub age_seconds: u16,
    /// The deaths by upstream.
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
    /// The request is refused because of its deaths.
    Refused,
}

/// A mark, and when this host estimates that the upstream last died.
#[derive(Clone, Copy, Debug)]
struct KnownMark {
    mark: Mark,
    died_at: Instant,
}

/// The deaths of one suspect, as known to this host.
#[derive(Clone, Debug)]
struct SuspectRecord {
    last_death: Instant,
    marks: SmallVec<[KnownMark; 4]>,
    /// When this host last let it run although it had enough deaths to be refused.
    tried_at: Option<Instant>,
}

impl SuspectRecord {
    /// Returns the number of unforgiven deaths on all upstreams.
    fn deaths(&self) -> u32 {
        let unforgiven = |m: &KnownMark| u32::from(m.mark.unforgiven());
        self.marks.iter().map(unforgiven).sum()
    }

    /// Returns the number of unforgiven deaths, of which those that lie within
    /// [`SAME_DEATH_WINDOW`] count as one.
    fn deaths_apart(&self) -> u32 {
        let unforgiven = self.marks.iter().filter(|m| m.mark.unforgiven() > 0);
        let mut died_at: SmallVec<[Instant; 4]> = unforgiven.map(|m| m.died_at).collect();
        died_at.sort_unstable();
        let mut deaths = 0;
        let mut window_end: Option<Instant> = None;
        for at in died_at {
            if window_end.is_none_or(|end| at >= end) {
                deaths += 1;
                window_end = Some(at + SAME_DEATH_WINDOW);
            }
        }
        deaths
    }

    /// Returns until when the suspect is refused; `None` if it has too few deaths.
    fn refused_until(&self, was_answered: bool) -> Option<Instant> {
        let deaths = match was_answered {
            true => self.deaths_apart(),
            false => self.deaths(),
        };
        let doublings = deaths.checked_sub(DEATHS_TO_REFUSE)?;
        let factor = 1 << doublings.min(REFUSAL_DOUBLINGS_MAX);
        Some(self.last_death + (REFUSAL_FIRST * factor).min(SUSPECT_TTL))
    }

    /// Merges a mark by taking the maximum of each count.
    fn merge(&mut self, mark: Mark, died_at: Instant) {
        let known = self
            .marks
            .iter_mut()
            .find(|m| m.mark.upstream == mark.upstream);
        if let Some(known) = known {
            if known.mark.deaths < mark.deaths {
                known.mark.deaths = mark.deaths;
                known.died_at = died_at;
            }
            known.mark.forgiven = known.mark.forgiven.max(mark.forgiven);
            return;
        }
        if self.marks.len() == MARKS_MAX {
            // Forgiven deaths do not count, and the record is refused if all others are not.
            let is_forgiven = |m: &KnownMark| m.mark.unforgiven() == 0;
            let Some(i) = self.marks.iter().position(is_forgiven) else {
                return;
            };
            self.marks.remove(i);
        }
        self.marks.push(KnownMark { mark, died_at });
    }
}

/// The table of suspect requests of one host.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Suspect, SuspectRecord>,
    /// The suspect that this host currently runs on each upstream.
    alone: BTreeMap<SocketAddr, Suspect>,
    /// Fingerprints that were answered completely, and when last.
    answers: RecentAnswers,
    /// The number of less dangerous suspects that were sent to other hosts so far.
    sent: usize,
    /// Hashes of the names of this host and of the others, which determine the turns for trials.
    own_host: u64,
    other_hosts: Vec<u64>,
}

/// A table of answered fingerprints in which each has one possible place.
#[derive(Clone, Debug)]
struct RecentAnswers(Vec<Option<(Suspect, Instant)>>);

impl Default for RecentAnswers {
    fn default() -> Self {
        Self(vec![None; ANSWERS_MAX])
    }
}

impl RecentAnswers {
    fn index(suspect: Suspect) -> usize {
        let places = ANSWERS_MAX as u128;
        usize::try_from(suspect.0 % places).unwrap_or_default()
    }

    fn record(&mut self, now: Instant, suspect: Suspect) {
        self.0[Self::index(suspect)] = Some((suspect, now));
    }

    fn contains(&self, now: Instant, suspect: Suspect) -> bool {
        self.0[Self::index(suspect)].is_some_and(|(answered, at)| {
            answered == suspect && now.saturating_duration_since(at) < SUSPECT_TTL
        })
    }
}

impl Quarantine {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a request is refused on every upstream.
    pub fn is_refused(&self, now: Instant, suspect: Suspect) -> bool {
        self.refused_for(now, suspect).is_some()
    }

    /// Returns how much longer a request is refused on every upstream; `None` if it may run.
    pub fn refused_for(&self, now: Instant, suspect: Suspect) -> Option<Duration> {
        let was_answered = self.answers.contains(now, suspect);
        let record = self.records.get(&suspect)?;
        let mut until = record.refused_until(was_answered)?;
        if until <= now {
            until += TRIAL_INTERVAL * self.turn(suspect);
            until = until.max(record.tried_at.map_or(until, |at| at + TRIAL_INTERVAL));
        }
        until
            .checked_duration_since(now)
            .filter(|left| !left.is_zero())
    }

    /// Sets the hosts that take turns, by the hashes of their names.
    pub fn set_hosts(&mut self, own: u64, others: Vec<u64>) {
        self.own_host = own;
        self.other_hosts = others;
    }

    /// Returns this host's turn for trials of a suspect, from 0.
    fn turn(&self, suspect: Suspect) -> u32 {
        let rank = |host: u64| xxh3_64_with_seed(&suspect.0.to_le_bytes(), host);
        let own = rank(self.own_host);
        let earlier = self.other_hosts.iter().filter(|host| rank(**host) < own);
        u32::try_from(earlier.count()).map_or(TRIAL_TURNS_MAX, |n| n.min(TRIAL_TURNS_MAX))
    }

    /// Records that a request is sent to an upstream. If it has enough deaths to be refused, this is
    /// its trial.
    pub fn record_run(&mut self, now: Instant, suspect: Suspect) {
        if let Some(record) = self.records.get_mut(&suspect)
            && record.deaths() >= DEATHS_TO_REFUSE
        {
            record.tried_at = Some(now);
        }
    }

    /// Decides whether a request may run on an upstream.
    pub fn admit(&mut self, now: Instant, suspect: Suspect, upstream: SocketAddr) -> Admission {
        if self.is_refused(now, suspect) {
            return Admission::Refused;
        }
        match self.deaths(now, suspect) {
            0 => Admission::Run,
            _ if self.alone.contains_key(&upstream) => Admission::Busy,
            _ => {
                self.alone.insert(upstream, suspect);
                self.record_run(now, suspect);
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
    pub fn on_death(
        &mut self,
        now: Instant,
        upstream: impl Into<UpstreamStart>,
        in_flight: &[Suspect],
    ) {
        let upstream = upstream.into();
        for suspect in in_flight {
            self.add_death(now, upstream, *suspect);
        }
    }

    /// Records a complete answer, which forgives all deaths of the request so far.
    pub fn on_answer(&mut self, now: Instant, suspect: Suspect) {
        self.answers.record(now, suspect);
        let Some(record) = self.records.get_mut(&suspect) else {
            return;
        };
        for known in &mut record.marks {
            known.mark.forgiven = known.mark.deaths;
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

    /// Returns at most `limit` entries to send to other hosts. Half of them are those with the most
    /// deaths; the others take turns, so that none is left out for good.
    pub fn entries(&mut self, now: Instant, limit: usize) -> Vec<SuspectEntry> {
        let live = |r: &SuspectRecord| now < r.last_death + SUSPECT_TTL;
        let mut records: Vec<_> = self.records.iter().filter(|(_, r)| live(r)).collect();
        if records.len() > limit {
            records.sort_by_key(|(_, r)| std::cmp::Reverse((r.deaths(), r.last_death)));
            let by_turns = &mut records[limit.div_ceil(2)..];
            by_turns.rotate_left(self.sent % by_turns.len());
            self.sent = self.sent.wrapping_add(limit / 2);
        }
        let mut entries = Vec::new();
        for (suspect, record) in records.into_iter().take(limit) {
            let age = now.saturating_duration_since(record.last_death);
            let seconds = age.as_millis().div_ceil(1_000);
            entries.push(SuspectEntry {
                suspect: *suspect,
                age_seconds: u16::try_from(seconds).unwrap_or(u16::MAX),
                marks: record.marks.iter().map(|m| m.mark).collect(),
            });
        }
        entries
    }

    /// Returns a summary of the table, which hosts compare to detect that their tables
    /// differ.
    pub fn summary(&self) -> SetSummary {
        let mut summary = SetSummary::default();
        for (suspect, record) in &self.records {
            for KnownMark { mark, .. } in &record.marks {
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

    fn add_death(&mut self, now: Instant, upstream: UpstreamStart, suspect: Suspect) {
        self.remove_expired(now, suspect);
        let marks = self.records.get(&suspect).map(|r| r.marks.as_slice());
        let known = marks
            .unwrap_or_default()
            .iter()
            .find(|m| m.mark.upstream == upstream);
        let deaths = match known {
            Some(m) if now < m.died_at + SAME_DEATH_WINDOW => return,
            Some(m) => m.mark.deaths.saturating_add(1),
            None => 1,
        };
        let mark = Mark {
            upstream,
            deaths,
            forgiven: 0,
        };
        self.merge_mark(now, now, suspect, mark);
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
                marks: SmallVec::new(),
                tried_at: None,
            });
        record.merge(mark, died_at);
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
