//! How an upstream answers: its switches, and the request headers that override them.

use hyper::HeaderMap;
use serde::{
    Deserialize,
    Serialize, //
};

use super::reports::{
    Health,
    ReportMode, //
};

/// The prefix of the request headers that override the behaviour for one request:
/// `delay-ms`, `length`, `chunk-bytes`, `pause-ms`, `break-after`, `chunked`,
/// `status`, `shed`, `crash`, `hold` and `token`.
pub const HEADER_PREFIX: &str = "x-standin-";
/// A request whose path contains this text crashes the upstream process.
const CRASH_PATH: &str = "crash-upstream";
/// The default number of filler bytes in an answer.
const DEFAULT_LENGTH: u64 = 0;
/// The default size of one chunk of an answer's body.
const DEFAULT_CHUNK_BYTES: u64 = 16 * 1024;

/// How one request is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// The milliseconds from the end of the request body to the answer.
    pub delay_ms: u64,
    /// The number of filler bytes after the receipt.
    pub length: u64,
    /// The size of one chunk of filler, in bytes.
    pub chunk_bytes: u64,
    /// The milliseconds between two chunks.
    pub pause_ms: u64,
    /// Aborts the body after this many bytes; `None` sends it whole.
    pub break_after: Option<u64>,
    /// Sends the body with chunked transfer encoding instead of a content length.
    pub chunked: bool,
    /// The HTTP status of the answer.
    pub status: u16,
    /// Sheds the request as if no slot were free.
    pub shed: bool,
    /// Ends the process as soon as the request has started.
    pub crash: bool,
    /// Delays the answer until this name is released.
    pub hold: Option<String>,
    /// Puts the token of the previous request into the receipt.
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
    /// Returns the behaviour for one request, with the overrides in its path and headers applied.
    pub(super) fn for_request(&self, path: &str, headers: &HeaderMap) -> Self {
        let mut behaviour = self.clone();
        override_from_header(headers, "delay-ms", &mut behaviour.delay_ms);
        override_from_header(headers, "length", &mut behaviour.length);
        override_from_header(headers, "chunk-bytes", &mut behaviour.chunk_bytes);
        override_from_header(headers, "pause-ms", &mut behaviour.pause_ms);
        override_from_header(headers, "status", &mut behaviour.status);
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

/// Returns the value of the header named [`HEADER_PREFIX`] plus `name`.
pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let value = headers.get(format!("{HEADER_PREFIX}{name}"))?;
    value.to_str().ok()
}

/// Replaces `value` by the header's value, if the header is present and can be parsed.
fn override_from_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str, value: &mut T) {
    let new = header(headers, name).and_then(|text| text.parse().ok());
    if let Some(new) = new {
        *value = new;
    }
}

/// The current values of all switches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Switches {
    /// How requests without override headers are answered.
    pub behaviour: Behaviour,
    /// Refuses new requests as draining.
    pub drain: bool,
    /// How `/.load` answers.
    pub reports: ReportMode,
    /// The state that `/.health` reports; the true state where it is `None`.
    pub health: Option<Health>,
}

/// New values for some switches; those that are `None` keep their value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SwitchChange {
    /// See [`Switches::behaviour`]; omitted fields are reset to their defaults.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub behaviour: Option<Behaviour>,
    /// See [`Switches::drain`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drain: Option<bool>,
    /// See [`Switches::reports`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reports: Option<ReportMode>,
    /// See [`Switches::health`]; `truth` restores the true state.
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
