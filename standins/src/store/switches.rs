//! The faults that can be switched on.

use cardamomroad::util::id::Version;
use serde::{
    Deserialize,
    Serialize, //
};

/// The end of a caller's name or a key that matches any rest.
const WILDCARD: char = '*';

/// Which older state reads, lists and watches show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stale {
    /// The version of each object before its newest one, where it has one.
    Previous,
    /// The objects as they were at this version of the store.
    At(Version),
}

/// All switches as they stand.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Every call is refused with 503.
    pub down: bool,
    /// Every call waits so many milliseconds before it runs.
    pub slow_ms: u64,
    /// Reads show an older state.
    pub stale: Option<Stale>,
    /// So many next writes take effect and are not answered.
    pub lose_answers: u32,
    /// Connections of these callers are closed without the call running; `zone-*` matches a prefix.
    pub cut: Vec<String>,
    /// Calls of these callers never get an answer and do not run; `zone-*` matches a prefix.
    pub hang: Vec<String>,
    /// The keys that `down`, `slow_ms`, `stale` and `lose_answers` touch; all where it is empty.
    pub keys: Vec<String>,
    /// The hosts list shows a change after so many milliseconds.
    pub hosts_lag_ms: u64,
}

/// New values for some switches; the others stay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SwitchChange {
    /// See [`Switches::down`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// See [`Switches::slow_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// See [`Switches::stale`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stale: Option<Stale>,
    /// Freezes reads at the present version (true) or shows the newest state again (false).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub freeze: Option<bool>,
    /// See [`Switches::lose_answers`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u32>,
    /// See [`Switches::cut`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut: Option<Vec<String>>,
    /// See [`Switches::hang`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hang: Option<Vec<String>>,
    /// See [`Switches::keys`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub keys: Option<Vec<String>>,
    /// See [`Switches::hosts_lag_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hosts_lag_ms: Option<u64>,
}

impl Switches {
    pub(super) fn apply(&mut self, change: SwitchChange, newest: Version) {
        if let Some(freeze) = change.freeze {
            self.stale = freeze.then_some(Stale::At(newest));
        }
        if let Some(stale) = change.stale {
            self.stale = Some(stale);
        }
        set(&mut self.down, change.down);
        set(&mut self.slow_ms, change.slow_ms);
        set(&mut self.lose_answers, change.lose_answers);
        set(&mut self.cut, change.cut);
        set(&mut self.hang, change.hang);
        set(&mut self.keys, change.keys);
        set(&mut self.hosts_lag_ms, change.hosts_lag_ms);
    }

    /// Returns whether the faults limited by [`Switches::keys`] touch a key.
    pub(super) fn touches(&self, key: &str) -> bool {
        self.keys.is_empty() || self.keys.iter().any(|k| matches(k, key))
    }

    pub(super) fn stale_for(&self, key: &str) -> Option<Stale> {
        self.stale.filter(|_| self.touches(key))
    }

    pub(super) fn is_cut(&self, caller: &str) -> bool {
        self.cut.iter().any(|c| matches(c, caller))
    }

    pub(super) fn is_hung(&self, caller: &str) -> bool {
        self.hang.iter().any(|c| matches(c, caller))
    }

    pub(super) fn take_lost_answer(&mut self, key: &str) -> bool {
        if self.lose_answers == 0 || !self.touches(key) {
            return false;
        }
        self.lose_answers -= 1;
        true
    }
}

fn set<T>(value: &mut T, new: Option<T>) {
    if let Some(new) = new {
        *value = new;
    }
}

fn matches(pattern: &str, text: &str) -> bool {
    match pattern.strip_suffix(WILDCARD) {
        Some(prefix) => text.starts_with(prefix),
        None => pattern == text,
    }
}
