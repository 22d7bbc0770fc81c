//! Reconstructs the timeline of one request, or of all state changes, from hosts' logs.
//!
//! Clocks of different hosts are not compared: lines keep the order of their own
//! log, and a host's state at a request is what its log reported before that request.

use std::{
    collections::BTreeMap,
    fmt, //
};

use serde::Serialize;

/// The fields that can name the subject of a state change; the first one present is used.
const SUBJECT_FIELDS: [&str; 6] = [
    "topic",
    "upstream",
    "zone",
    "host",
    "service",
    "organisation",
];
/// Topics that affect every request of a host.
const HOST_WIDE_TOPICS: [&str; 4] = ["configuration", "upstreams", "evacuations", "hosts"];
/// Events of requests; all others report a state change or the lifecycle of a host.
const REQUEST_EVENTS: [&str; 3] = ["placed", "refused", "lines-dropped"];

/// One host's log.
#[derive(Clone, Debug)]
pub struct HostLog {
    /// The host's name, taken from the log file's name.
    pub host: String,
    /// The content of the log file.
    pub text: String,
}

/// How a line of a timeline relates to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LineRole {
    /// State in effect when the request arrived.
    Before,
    /// Event of the request itself.
    Request,
    /// State change while the request was handled.
    Meanwhile,
    /// State change in a timeline without a request.
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

/// One log line in a timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TimelineEntry {
    /// The host that logged it.
    pub host: String,
    /// The line number in the host's log, counted from 1.
    pub line: usize,
    /// How the line relates to the request.
    #[serde(rename = "part")]
    pub role: LineRole,
    /// The log line as written.
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

/// Returns the value of the field `name` in a `key=value` log line, up to the next space.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut words = line.split_ascii_whitespace();
    words.find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the kind and the subject of the state change that a line reports, or `None`
/// if the line has no event or is about a request.
fn state_change(line: &str) -> Option<(&str, Option<&str>)> {
    let event = field(line, "event")?;
    if REQUEST_EVENTS.contains(&event) || field(line, "id").is_some() {
        return None;
    }
    // A later event of the same kind replaces an earlier one: a dependency is lost,
    // then regained.
    let kind = event.rsplit_once('-').map_or(event, |(kind, _)| kind);
    let subject = SUBJECT_FIELDS.iter().find_map(|name| field(line, name));
    Some((kind, subject))
}

/// Returns whether a state change affects a request: it concerns the whole host, or
/// a subject that the request's own lines name.
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

/// Returns the lines of one request, with the state of its hosts when it arrived and
/// the state changes until its last line.
pub fn request_timeline(logs: &[HostLog], id: &str) -> Vec<TimelineEntry> {
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

/// Returns all lines that report a state change.
pub fn state_changes(logs: &[HostLog]) -> Vec<TimelineEntry> {
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
