//! The log of the requests that an upstream received, in memory and in a file.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    fs::{
        File,
        OpenOptions, //
    },
    io::Write,
    path::Path,
    time::{
        SystemTime,
        UNIX_EPOCH, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use crate::error::StandinError;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The whole answer was handed to the connection.
    Answered,
    /// The connection closed before the answer was complete.
    Cancelled,
    /// Refused before its start because no slot was free.
    Shed,
    /// Refused before its start because the upstream is draining.
    Draining,
    /// The answer's body was aborted by [`Behaviour::break_after`](super::Behaviour::break_after).
    Broken,
    /// The request crashed the process.
    Crashed,
}

/// The log record of one received request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// The id of the process that received the request.
    pub process: u32,
    /// The sequence number of the request in that process, from 0.
    pub seq: u64,
    /// The sequence number of the connection, from 1.
    pub connection: u64,
    /// The request line and all received headers, one per line.
    pub head: String,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The request id; empty if none was sent.
    pub id: String,
    /// The organisation; empty if none was sent.
    pub organisation: String,
    /// The caller's token; empty if none was sent.
    pub token: String,
    /// The arrival time, in milliseconds of the upstream's clock.
    pub arrived_ms: u64,
    /// The time at which the request started to run; `None` if it never did.
    pub started_ms: Option<u64>,
    /// The end time; `None` while the request runs.
    pub ended_ms: Option<u64>,
    /// How the request ended; `None` while it runs.
    pub ending: Option<Ending>,
    /// The number of body bytes received.
    pub received: u64,
}

/// A line of the log file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A request arrived.
    Arrived(Entry),
    /// A request started to run.
    Started {
        /// The id of the process.
        process: u32,
        /// The sequence number of the request.
        seq: u64,
        /// The time of the event, in milliseconds of the upstream's clock.
        ms: u64,
    },
    /// A request ended.
    Ended {
        /// The id of the process.
        process: u32,
        /// The sequence number of the request.
        seq: u64,
        /// The time of the event, in milliseconds of the upstream's clock.
        ms: u64,
        /// How the request ended.
        ending: Ending,
        /// The number of body bytes received until the end.
        received: u64,
    },
}

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that started to run.
    pub started: u64,
    /// Requests that ended, in any way.
    pub ended: u64,
    /// Requests by how they ended.
    pub endings: BTreeMap<Ending, u64>,
    /// Requests that are running now.
    pub in_flight: u32,
    /// The highest number of requests running at the same time.
    pub in_flight_peak: u32,
    /// Connections that were accepted.
    pub connections: u64,
    /// Connections that are open now.
    pub connections_open: u32,
    /// The highest number of connections open at the same time.
    pub connections_peak: u32,
    /// Connections that were closed on accept because the limit was reached.
    pub connections_refused: u64,
    /// Reads of `/.health` and `/.load`.
    pub reports: u64,
    /// How often one of the searched strings was found in the received bytes.
    pub needle_hits: u64,
    /// Body bytes received, over all requests.
    pub received: u64,
}

impl Counts {
    /// Returns the number of requests that ended in a given way.
    pub fn ended_as(&self, ending: Ending) -> u64 {
        self.endings.get(&ending).copied().unwrap_or_default()
    }
}

/// The log in memory, and the file to which it is appended, if any.
#[derive(Debug)]
pub(super) struct Log {
    process: u32,
    origin: Instant,
    origin_ms: u64,
    capacity: usize,
    entries: VecDeque<Entry>,
    runs: BTreeMap<String, u32>,
    pub(super) counts: Counts,
    file: Option<File>,
}

impl Log {
    pub(super) fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let origin_ms = since_epoch.unwrap_or_default().as_millis();
        Self {
            process: std::process::id(),
            origin: Instant::now(),
            origin_ms: u64::try_from(origin_ms).unwrap_or_default(),
            capacity: 0,
            entries: VecDeque::new(),
            runs: BTreeMap::new(),
            counts: Counts::default(),
            file: None,
        }
    }

    pub(super) fn with_file(path: &Path) -> Result<Self, StandinError> {
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file = file.map_err(|cause| StandinError::Io {
            what: format!("opening the log {}", path.display()),
            cause,
        })?;
        let mut log = Self::new();
        log.file = Some(file);
        Ok(log)
    }

    pub(super) fn with_capacity(mut self, entries: usize) -> Self {
        self.capacity = entries;
        self
    }

    pub(super) fn counts(&self) -> Counts {
        self.counts.clone()
    }

    pub(super) fn entries(&self) -> Vec<Entry> {
        self.entries.iter().cloned().collect()
    }

    pub(super) fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.clone()
    }

    /// Returns the upstream's clock in milliseconds: the wall-clock time at its start
    /// plus the monotonic time elapsed since then.
    fn now_ms(&self) -> u64 {
        let elapsed = u64::try_from(self.origin.elapsed().as_millis());
        self.origin_ms + elapsed.unwrap_or_default()
    }

    /// Records an arrival and returns the sequence number of the request.
    pub(super) fn arrived(&mut self, mut entry: Entry) -> u64 {
        entry.process = self.process;
        entry.seq = self.counts.arrived;
        entry.arrived_ms = self.now_ms();
        self.counts.arrived += 1;
        let seq = entry.seq;
        if self.file.is_some() {
            self.append(&Event::Arrived(entry.clone()));
        }
        if self.capacity > 0 {
            self.entries.push_back(entry);
        }
        if self.entries.len() > self.capacity {
            self.entries.pop_front();
        }
        seq
    }

    /// Records that a request started to run.
    pub(super) fn started(&mut self, seq: u64, id: &str) {
        let ms = self.now_ms();
        self.counts.started += 1;
        self.counts.in_flight += 1;
        let peak = self.counts.in_flight_peak.max(self.counts.in_flight);
        self.counts.in_flight_peak = peak;
        if self.capacity > 0 && !id.is_empty() {
            *self.runs.entry(id.to_owned()).or_default() += 1;
        }
        if let Some(entry) = self.entry(seq) {
            entry.started_ms = Some(ms);
        }
        let process = self.process;
        self.append(&Event::Started { process, seq, ms });
    }

    /// Records the end of a request; `ran` is false for one refused before its start.
    pub(super) fn ended(&mut self, seq: u64, ran: bool, ending: Ending, received: u64) {
        let ms = self.now_ms();
        self.counts.ended += 1;
        *self.counts.endings.entry(ending).or_default() += 1;
        if ran {
            self.counts.in_flight -= 1;
        }
        if let Some(entry) = self.entry(seq) {
            entry.ended_ms = Some(ms);
            entry.ending = Some(ending);
            entry.received = received;
        }
        self.append(&Event::Ended {
            process: self.process,
            seq,
            ms,
            ending,
            received,
        });
    }

    fn entry(&mut self, seq: u64) -> Option<&mut Entry> {
        let first = self.entries.front()?.seq;
        let index = usize::try_from(seq.checked_sub(first)?).ok()?;
        self.entries.get_mut(index)
    }

    /// Appends a line to the file without buffering, so that a crash of the process does not lose it.
    fn append(&mut self, event: &Event) {
        let Some(file) = &mut self.file else {
            return;
        };
        let mut line = serde_json::to_vec(event).unwrap_or_default();
        line.push(b'\n');
        if let Err(e) = file.write_all(&line) {
            ::log::error!("event=log-not-written cause={e:?}");
        }
    }
}

/// Reads a log file back, skipping lines that cannot be parsed: a crash may
/// have left the last line incomplete.
pub fn read_log(path: &Path) -> Result<Vec<Entry>, StandinError> {
    let text = std::fs::read(path).map_err(|cause| StandinError::Io {
        what: format!("reading the log {}", path.display()),
        cause,
    })?;
    let mut entries: BTreeMap<(u32, u64), Entry> = BTreeMap::new();
    for line in text.split(|b| *b == b'\n') {
        let Ok(event) = serde_json::from_slice(line) else {
            continue;
        };
        replay(&mut entries, event);
    }
    Ok(entries.into_values().collect())
}

/// Applies one event to the entries read so far.
fn replay(entries: &mut BTreeMap<(u32, u64), Entry>, event: Event) {
    match event {
        Event::Arrived(entry) => {
            entries.insert((entry.process, entry.seq), entry);
        }
        Event::Started { process, seq, ms } => {
            if let Some(entry) = entries.get_mut(&(process, seq)) {
                entry.started_ms = Some(ms);
            }
        }
        Event::Ended {
            process,
            seq,
            ms,
            ending,
            received,
        } => {
            if let Some(entry) = entries.get_mut(&(process, seq)) {
                entry.ended_ms = Some(ms);
                entry.ending = Some(ending);
                entry.received = received;
            }
        }
    }
}
