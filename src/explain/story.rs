//! The timeline of one request, or of what the hosts believe, from a heap of their logs.
//!
//! Hosts' clocks are not compared: lines keep the order of their own log, and
//! what a host believed is what its log said before the request came.

use std::{
    collections::BTreeMap,
    fmt, //
};

use serde::Serialize;

/// The fields that name what a belief is about, in the order in which they are looked for.
const SUBJECT_FIELDS: [&str; 6] = [
    "topic",
    "upstream",
    "zone",
    "host",
    "service",
    "organisation",
];
/// Subjects that bear on every request.
const HOST_WIDE_TOPICS: [&str; 4] = ["configuration", "upstreams", "evacuations", "hosts"];
/// Events of requests; all others change what a host believes, or tell of its life.
const REQUEST_EVENTS: [&str; 3] = ["placed", "refused", "lines-dropped"];

/// One host's log.
#[derive(Clone, Debug)]
pub struct HostLog {
    /// The host, as its file is named.
    pub host: String,
    /// What it wrote.
    pub text: String,
}

/// Why a line is part of a timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LineRole {
    /// It held when the request came.
    Before,
    /// It is about the request.
    Request,
    /// It changed while the request was handled.
    Meanwhile,
    /// It is a change of a belief.
    Change,
}

impl fmt::Display for LineRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Before => "before",
            Self::Request => "request",
            Self::Meanwhile => "meanwhile",
            Self::Change => "change",
        })
    }
}

/// One line of a timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TimelineEntry {
    /// The host that wrote it.
    pub host: String,
    /// Its number in the host's log, from 1.
    pub line: usize,
    /// Why it is listed.
    #[serde(rename = "part")]
    pub role: LineRole,
    /// The line.
    pub text: String,
}

impl fmt::Display for TimelineEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            host,
            line,
            role,
            text,
        } = self;
        write!(f, "{host}:{line} {role:<9} {text}")
    }
}

/// Returns the value of a field of a line, up to the next space.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut words = line.split_ascii_whitespace();
    words.find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
}

/// Returns what a line's belief is about: its kind and its subject; none where
/// the line is about a request or says nothing that holds on.
fn state_change(line: &str) -> Option<(&str, Option<&str>)> {
    let event = field(line, "event")?;
    if REQUEST_EVENTS.contains(&event) || field(line, "id").is_some() {
        return None;
    }
    // Events of one kind replace one another: a dependency is lost, then regained.
    let kind = event.rsplit_once('-').map_or(event, |(kind, _)| kind);
    let subject = SUBJECT_FIELDS.iter().find_map(|name| field(line, name));
    Some((kind, subject))
}

/// Returns whether a belief bears on a request: it is about the whole host, or
/// about something that the request's lines name.
fn affects_request(subject: Option<&str>, request: &[(usize, &str)]) -> bool {
    let Some(subject) = subject.filter(|s| !HOST_WIDE_TOPICS.contains(s)) else {
        return true;
    };
    let names = |line| {
        SUBJECT_FIELDS
            .iter()
            .any(|n| field(line, n) == Some(subject))
    };
    request.iter().any(|&(_, line)| names(line))
}

/// Returns the lines of one request, with what its hosts believed when it came
/// and what changed meanwhile.
pub fn of_request(logs: &[HostLog], id: &str) -> Vec<TimelineEntry> {
    let mut timeline = Vec::new();
    for log in logs {
        let lines = log.text.lines().enumerate();
        let is_of_request = |&(_, line): &(usize, &str)| field(line, "id") == Some(id);
        let request: Vec<(usize, &str)> = lines.clone().filter(is_of_request).collect();
        let (Some(&(first, _)), Some(&(last, _))) = (request.first(), request.last()) else {
            continue;
        };
        let mut state_before = BTreeMap::new();
        let mut entries = Vec::new();
        for (n, line) in lines.take(last + 1) {
            if field(line, "id") == Some(id) {
                entries.push((n, LineRole::Request, line));
                continue;
            }
            let Some((kind, subject)) =
                state_change(line).filter(|(_, s)| affects_request(*s, &request))
            else {
                continue;
            };
            if n < first {
                state_before.insert((kind, subject), (n, LineRole::Before, line));
            } else {
                entries.push((n, LineRole::Meanwhile, line));
            }
        }
        entries.extend(state_before.into_values());
        entries.sort_unstable_by_key(|(n, ..)| *n);
        timeline.extend(entries.into_iter().map(|(n, role, line)| TimelineEntry {
            host: log.host.clone(),
            line: n + 1,
            role,
            text: line.to_owned(),
        }));
    }
    timeline
}

/// Returns all lines that tell of a change in what the hosts believe.
pub fn of_beliefs(logs: &[HostLog]) -> Vec<TimelineEntry> {
    let mut timeline = Vec::new();
    for log in logs {
        let lines = log.text.lines().enumerate();
        let changes = lines.filter(|(_, line)| state_change(line).is_some());
        timeline.extend(changes.map(|(n, line)| TimelineEntry {
            host: log.host.clone(),
            line: n + 1,
            role: LineRole::Change,
            text: line.to_owned(),
        }));
    }
    timeline
}
