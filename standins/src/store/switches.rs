//! The faults that can be turned on.

use cardamomroad::util::id::Version;
use serde::{
    Deserialize,
    Serialize, //
};

/// At the end of a pattern for callers or keys: matches any suffix.
const WILDCARD: char = '*';

/// Which older state reads, lists and watches return.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stale {
    /// The second newest version of each object, or its only one.
    Previous,
    /// The state of the objects at this version of the store.
    At(Version),
}

/// The current values of all switches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Refuses every call with 503.
    pub down: bool,
    /// Delays every call by this many milliseconds.
    pub slow_ms: u64,
    /// Makes reads return an older state.
    pub stale: Option<Stale>,
    /// The number of next writes that take effect but are not answered.
    pub lose_answers: u32,
    /// Callers whose connections are closed before the call runs; `zone-*` matches a prefix.
    pub cut: Vec<String>,
    /// Callers whose calls neither run nor get an answer; `zone-*` matches a prefix.
    pub hang: Vec<String>,
    /// The keys to which `down`, `slow_ms`, `stale` and `lose_answers` apply; all keys if empty.
    pub keys: Vec<String>,
    /// The milliseconds after which a change of the hosts list becomes visible.
    pub hosts_lag_ms: u64,
}

/// New values for some switches; those that are `None` keep their value.
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
    /// Freezes reads at the current version (true) or returns the newest state again (false).
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
        set_if_some(&mut self.down, change.down);
        set_if_some(&mut self.slow_ms, change.slow_ms);
        set_if_some(&mut self.lose_answers, change.lose_answers);
        set_if_some(&mut self.cut, change.cut);
        set_if_some(&mut self.hang, change.hang);
        set_if_some(&mut self.keys, change.keys);
        set_if_some(&mut self.hosts_lag_ms, change.hosts_lag_ms);
    }

    /// Returns whether the faults limited by [`Switches::keys`] apply to a key.
    pub(super) fn applies_to(&self, key: &str) -> bool {
        self.keys.is_empty() || self.keys.iter().any(|k| matches(k, key))
    }

    pub(super) fn stale_for(&self, key: &str) -> Option<Stale> {
        self.stale.filter(|_| self.applies_to(key))
    }

    pub(super) fn is_cut(&self, caller: &str) -> bool {
        self.cut.iter().any(|c| matches(c, caller))
    }

    pub(super) fn is_hung(&self, caller: &str) -> bool {
        self.hang.iter().any(|c| matches(c, caller))
    }

    /// Returns whether the answer to a write of this key is to be lost, and counts it down if so.
    pub(super) fn take_lost_answer(&mut self, key: &str) -> bool {
        if self.lose_answers == 0 || !self.applies_to(key) {
            return false;
        }
        self.lose_answers -= 1;
        true
    }
}

/// Replaces a value if a new one is given.
fn set_if_some<T>(value: &mut T, new: Option<T>) {
    if let Some(new) = new {
        *value = new;
    }
}

/// Returns whether a text equals a pattern, or begins with a pattern that ends in [`WILDCARD`].
fn matches(pattern: &str, text: &str) -> bool {
    match pattern.strip_suffix(WILDCARD) {
        Some(prefix) => text.starts_with(prefix),
        None => pattern == text,
    }
}
