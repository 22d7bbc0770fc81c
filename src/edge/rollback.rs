//! What survives when the store goes back to an older copy: starts of upstreams that are not used
//! again, evacuations and hosts that the copy lacks, and the newest configuration.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    sync::Arc,
    time::Duration, //
};

use tokio::time::Instant;

use super::{
    model::{
        Configuration,
        Registration,
        Standing, //
    },
    topic::{
        Change,
        Era,
        Record,
        Topic, //
    },
};
use crate::util::id::{
    HostName,
    ZoneName, //
};

/// How long an evacuation that the store has lost stays in force, so that the operator can write it
/// again.
pub const EVACUATION_KEPT: Duration = Duration::from_secs(60);
/// How long a host that the store has lost stays known. It covers the host's longest watch, after
/// which it notices, and a repeated registration.
pub const HOST_KEPT: Duration = Duration::from_secs(15);
/// Maximum number of retired starts that are remembered.
const RETIRED_MAX: usize = 4096;

/// A start of an upstream that was seen draining or removed.
#[derive(Clone, Copy, Debug)]
struct Retired {
    /// The era in which this was seen.
    era: Era,
    /// Order in which the starts were retired.
    number: u64,
}

/// Starts of upstreams that were seen draining or removed, by the hash of the start.
#[derive(Clone, Debug, Default)]
pub struct RetiredStarts {
    starts: HashMap<u64, Retired>,
    next_number: u64,
}

impl RetiredStarts {
    /// Updates the retired starts by changes of the upstreams that were read in `era`, and marks
    /// those that an older copy lists as ready as draining. `known` are the records before the
    /// changes, and `known_era` is their era.
    ///
    /// A single change is a new write of the upstream, which counts. A record in a list counts if
    /// the start was retired in the same era, since the list is newer then, or if it is one of the
    /// `rewritten` ones.
    pub fn update(
        &mut self,
        era: Era,
        is_list: bool,
        known: &BTreeMap<String, Record>,
        known_era: Option<Era>,
        changes: &mut [Change],
        rewritten: &[String],
    ) {
        if is_list && known_era == Some(era) {
            let listed: BTreeSet<&str> = changes.iter().map(|c| c.name.as_str()).collect();
            for (_, record) in known.iter().filter(|(n, _)| !listed.contains(n.as_str())) {
                self.retire(era, record);
            }
        }
        for change in changes {
            let Some(Record::Upstream(entry)) = &mut change.record else {
                if let Some(record) = known.get(&change.name) {
                    self.retire(era, record);
                }
                continue;
            };
            let start = entry.start().start;
            if entry.standing == Standing::Draining {
                self.insert(era, start);
                continue;
            }
            let Some(retired) = self.starts.get(&start) else {
                continue;
            };
            if !is_list || retired.era == era || rewritten.contains(&change.name) {
                self.starts.remove(&start);
                continue;
            }
            hold(entry);
        }
    }

    fn retire(&mut self, era: Era, record: &Record) {
        if let Record::Upstream(entry) = record {
            self.insert(era, entry.start().start);
        }
    }

    fn insert(&mut self, era: Era, start: u64) {
        if self.starts.len() >= RETIRED_MAX && !self.starts.contains_key(&start) {
            let oldest = self.starts.iter().min_by_key(|(_, r)| r.number);
            if let Some(start) = oldest.map(|(start, _)| *start) {
                self.starts.remove(&start);
            }
        }
        let number = self.next_number;
        self.next_number += 1;
        // The earliest era is kept: a relay passes on a held start as draining, in a later era.
        self.starts.entry(start).or_insert(Retired { era, number });
    }
}

fn hold(entry: &mut Registration) {
    entry.standing = Standing::Draining;
    log::info!(event = "upstream-held", upstream:% = entry.id; "");
}

/// Replaces a configuration in a list by a newer known one, or adds that one if the list has none.
pub fn keep_newest_configuration(known: &BTreeMap<String, Record>, changes: &mut Vec<Change>) {
    let Some((name, newest)) = known.iter().find_map(|(n, r)| Some((n, configuration(r)?))) else {
        return;
    };
    let is_configuration = |c: &&mut Change| c.record.is_some();
    match changes.iter_mut().find(is_configuration) {
        None => changes.push(Change {
            name: name.clone(),
            record: Some(Record::Configuration(newest.clone())),
        }),
        Some(change) => {
            if let Some(Record::Configuration(listed)) = &mut change.record
                && listed.version < newest.version
            {
                log::info!(
                    event = "configuration-kept",
                    listed:% = listed.version,
                    kept:% = newest.version;
                    ""
                );
                *listed = newest.clone();
            }
        }
    }
}

/// Returns the configuration in a record.
pub fn configuration(record: &Record) -> Option<&Arc<Configuration>> {
    match record {
        Record::Configuration(cfg) => Some(cfg),
        Record::Upstream(_)
        | Record::Evacuation(_)
        | Record::Host(_)
        | Record::UnreadableConfiguration => None,
    }
}

/// Names that the store has lost and that stay valid for a while.
#[derive(Clone, Debug)]
pub struct KeptNames<T>(BTreeMap<T, Instant>);

impl<T: Ord + Clone> KeptNames<T> {
    /// Keeps a name until an instant, unless it is kept already.
    pub fn keep(&mut self, name: T, until: Instant) {
        self.0.entry(name).or_insert(until);
    }

    /// Returns whether a name is kept.
    pub fn contains(&self, name: &T) -> bool {
        self.0.contains_key(name)
    }

    /// Records that the store has an entry with this name again, or has removed it.
    pub fn release(&mut self, name: &T) {
        self.0.remove(name);
    }

    /// Removes and returns the names whose time is over.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let expired = self.0.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<T> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.0.remove(name);
        }
        expired
    }
}

impl<T> Default for KeptNames<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

/// The era of the last list of each topic, and what the store has lost since then.
#[derive(Clone, Debug, Default)]
pub struct Rollback {
    eras: [Option<Era>; Topic::ALL.len()],
    /// Evacuations that the copy lacks.
    pub evacuations: KeptNames<ZoneName>,
    /// Hosts that the copy lacks.
    pub hosts: KeptNames<HostName>,
}

impl Rollback {
    /// Records the era of a list; returns whether the store has gone back since the last one.
    pub fn observe_list(&mut self, topic: Topic, era: Era) -> bool {
        let last = self.eras[topic.index()].replace(era);
        last.is_some_and(|last| last != era)
    }
}
