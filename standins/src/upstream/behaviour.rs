//! How an upstream answers: by its switches, and by what a request asks for.

use hyper::HeaderMap;
use serde::{
    Deserialize,
    Serialize, //
};

use super::reports::{
    Health,
    Reports, //
};

/// The start of the request headers that override the behaviour for one request:
/// `delay-ms`, `length`, `chunk-bytes`, `pause-ms`, `break-after`, `chunked`,
/// `status`, `shed`, `crash`, `hold` and `token`.
pub const HEADER_PREFIX: &str = "x-standin-";
/// The path that crashes the upstream, wherever it stands in a request's path.
const CRASH_PATH: &str = "crash-upstream";
/// The filler bytes of an answer.
const DEFAULT_LENGTH: u64 = 0;
/// The bytes of one piece of an answer's body.
const DEFAULT_CHUNK_BYTES: u64 = 16 * 1024;

/// How one request is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// The milliseconds from the start of the request to its answer.
    pub delay_ms: u64,
    /// The filler bytes after the receipt.
    pub length: u64,
    /// The bytes of one piece of the body.
    pub chunk_bytes: u64,
    /// The milliseconds between two pieces.
    pub pause_ms: u64,
    /// The body breaks off after so many bytes.
    pub break_after: Option<u64>,
    /// The body carries no length.
    pub chunked: bool,
    /// The HTTP status.
    pub status: u16,
    /// The request is refused before it starts.
    pub shed: bool,
    /// The process ends as soon as the request has started.
    pub crash: bool,
    /// The answer waits until this name is released.
    pub hold: Option<String>,
    /// The answer carries the receipt token of the request before.
    pub crossed: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            delay_ms: 0,
            length: DEFAULT_LENGTH,
            chunk_bytes: DEFAULT_CHUNK_BYTES,
            pause_ms: 0,
            break_after: None,
            chunked: false,
            status: 200,
            shed: false,
            crash: false,
            hold: None,
            crossed: false,
        }
    }
}

impl Behaviour {
    /// Returns the behaviour for one request, which may override some of it.
    pub(super) fn for_request(&self, path: &str, headers: &HeaderMap) -> Self {
        let mut behaviour = self.clone();
        read(headers, "delay-ms", &mut behaviour.delay_ms);
        read(headers, "length", &mut behaviour.length);
        read(headers, "chunk-bytes", &mut behaviour.chunk_bytes);
        read(headers, "pause-ms", &mut behaviour.pause_ms);
        read(headers, "status", &mut behaviour.status);
        if let Some(bytes) = header(headers, "break-after") {
            behaviour.break_after = bytes.parse().ok();
        }
        behaviour.chunked |= header(headers, "chunked").is_some();
        behaviour.shed |= header(headers, "shed").is_some();
        behaviour.crash |= header(headers, "crash").is_some() || path.contains(CRASH_PATH);
        if let Some(name) = header(headers, "hold") {
            behaviour.hold = Some(name.to_owned());
        }
        behaviour
    }
}

/// Returns the value of one of the headers that begin with [`HEADER_PREFIX`].
pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let value = headers.get(format!("{HEADER_PREFIX}{name}"))?;
    value.to_str().ok()
}

fn read<T: std::str::FromStr>(headers: &HeaderMap, name: &str, value: &mut T) {
    let new = header(headers, name).and_then(|text| text.parse().ok());
    if let Some(new) = new {
        *value = new;
    }
}

/// All switches as they stand.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Switches {
    /// How requests are answered that do not ask for something else.
    pub behaviour: Behaviour,
    /// New requests are refused as draining.
    pub drain: bool,
    /// What `/.load` says.
    pub reports: Reports,
    /// What `/.health` says; the truth where it is `None`.
    pub health: Option<Health>,
}

/// New values for some switches; the others stay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SwitchChange {
    /// See [`Switches::behaviour`]; fields left out go back to their defaults.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub behaviour: Option<Behaviour>,
    /// See [`Switches::drain`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drain: Option<bool>,
    /// See [`Switches::reports`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reports: Option<Reports>,
    /// See [`Switches::health`]; `truth` ends a lie.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub health: Option<Health>,
}

impl Switches {
    pub(super) fn apply(&mut self, change: SwitchChange) {
        if let Some(behaviour) = change.behaviour {
            self.behaviour = behaviour;
        }
        if let Some(drain) = change.drain {
            self.drain = drain;
        }
        if let Some(reports) = change.reports {
            self.reports = reports;
        }
        if let Some(health) = change.health {
            self.health = Some(health).filter(|h| *h != Health::Truth);
        }
    }
}
