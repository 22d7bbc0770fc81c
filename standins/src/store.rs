//! A stand-in for the platform's object store.
//!
//! [`Store`] holds the state, and [`serve`] answers the object API of
//! `docs/INTERFACES.md` on a listener. [`Store::switch`] turns faults on and off.

mod objects;
mod service;
mod switches;

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use bytes::Bytes;
use cardamomroad::{
    store::{
        Changes,
        Condition,
        ListedHost,
        Object, //
    },
    util::id::Version,
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

use self::objects::Objects;
pub use self::{
    objects::WriteConflict,
    service::{
        serve,
        spawn, //
    },
    switches::{
        Stale,
        SwitchChange,
        Switches, //
    },
};

/// The kinds of calls that the store counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A read of an object.
    Get,
    /// A conditional write.
    Put,
    /// A list of keys.
    List,
    /// A long-polling watch, counted once however long it waits.
    Watch,
    /// A read of the hosts list.
    Hosts,
}

/// The number of calls of one kind by one caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCount {
    /// The caller's name in `x-platform-caller`.
    pub caller: String,
    /// The kind of the calls.
    pub kind: CallKind,
    /// The number of calls, refused ones included.
    pub calls: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: Objects,
    hosts: Vec<ListedHost>,
    /// The list before the latest change, visible until `hosts_changed_at` plus the lag.
    previous_hosts: Vec<ListedHost>,
    hosts_changed_at: Option<Instant>,
    switches: Switches,
    counts: BTreeMap<(String, CallKind), u64>,
}

/// The objects, switches and counts of the store, shared by all connections.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

impl Store {
    /// Returns an empty store with all faults off.
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns an empty store to be shared with [`serve`].
    pub fn shared() -> Arc<Self> {
        Arc::new(Self::new())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Reads an object, possibly an older version as the switches demand.
    pub fn get(&self, key: &str) -> Option<Object> {
        let state = self.state();
        state.objects.get(key, state.switches.stale_for(key))
    }

    /// Writes an object if the condition holds for its newest version, whatever version reads return.
    pub fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Version, WriteConflict> {
        let version = self.state().objects.put(key, value, condition)?;
        self.notify();
        Ok(version)
    }

    /// Lists the keys under a prefix with the versions that the switches make visible.
    pub fn list(&self, prefix: &str) -> Changes {
        self.changes(prefix, Version(0))
    }

    /// Returns the visible changes under a prefix after a version.
    pub fn changes(&self, prefix: &str, after: Version) -> Changes {
        let state = self.state();
        state
            .objects
            .changes(prefix, after, |key| state.switches.stale_for(key))
    }

    /// Waits for the next write or change of the switches.
    async fn wait_for_change(&self, changed_rx: &mut watch::Receiver<u64>) {
        // The sender lives as long as `self`.
        let _ = changed_rx.changed().await;
    }

    /// Replaces the platform's list of hosts. Callers see the new list after the lag.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        let mut state = self.state();
        state.previous_hosts = state.visible_hosts().to_vec();
        state.hosts = hosts;
        state.hosts_changed_at = Some(Instant::now());
    }

    /// Returns the platform's list of hosts as callers see it now.
    pub fn hosts(&self) -> Vec<ListedHost> {
        self.state().visible_hosts().to_vec()
    }

    /// Applies a change of the switches and returns their new values.
    pub fn switch(&self, change: SwitchChange) -> Switches {
        let mut state = self.state();
        let newest = state.objects.version();
        state.switches.apply(change, newest);
        let switches = state.switches.clone();
        drop(state);
        self.notify();
        switches
    }

    /// Returns the current values of the switches.
    pub fn switches(&self) -> Switches {
        self.state().switches.clone()
    }

    /// Returns the calls counted so far, by caller and kind.
    pub fn counts(&self) -> Vec<CallCount> {
        let mut counts = Vec::new();
        for ((caller, kind), calls) in &self.state().counts {
            counts.push(CallCount {
                caller: caller.clone(),
                kind: *kind,
                calls: *calls,
            });
        }
        counts
    }

    /// Sets all counts to zero.
    pub fn clear_counts(&self) {
        self.state().counts.clear();
    }

    fn count(&self, caller: &str, kind: CallKind) {
        let mut state = self.state();
        *state.counts.entry((caller.to_owned(), kind)).or_default() += 1;
    }

    /// Returns whether the answer to a write of this key is to be lost, and if so
    /// decrements the number of answers to lose.
    fn take_lost_answer(&self, key: &str) -> bool {
        self.state().switches.take_lost_answer(key)
    }
}

impl State {
    fn visible_hosts(&self) -> &[ListedHost] {
        let lag = Duration::from_millis(self.switches.hosts_lag_ms);
        match self.hosts_changed_at {
            Some(changed_at) if changed_at.elapsed() < lag => &self.previous_hosts,
            _ => &self.hosts,
        }
    }
}
