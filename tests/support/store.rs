//! An in-memory object store with fault injection.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::{
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use bytes::Bytes;
use cardamomroad::{
    error::StoreError,
    store::{
        Change,
        Changes,
        Condition,
        ListedHost,
        Object,
        ObjectStore, //
    },
    util::id::Version,
};

/// The fault injected into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call succeeds.
    None,
    /// The store refuses the call with status 503.
    Refused,
    /// The call fails without an answer and takes no effect.
    LostBefore,
    /// The call takes effect, but its answer is lost.
    LostAfter,
    /// The call fails without an answer; a write takes effect this many calls later.
    Late(u32),
    /// A read returns the value this many versions before the current one.
    Stale(usize),
}

struct LateWrite {
    calls_left: u32,
    key: String,
    value: Bytes,
    condition: Condition,
}

#[derive(Default)]
struct State {
    version: u64,
    /// All values of each key, oldest first.
    objects: BTreeMap<String, Vec<(Version, Bytes)>>,
    late: Vec<LateWrite>,
    plan: VecDeque<Fault>,
    put_plan: Vec<(String, Fault)>,
    get_plan: Vec<(String, Fault)>,
    down: bool,
}

/// An in-memory object store that keeps the history of each key.
#[derive(Default)]
pub struct FakeStore {
    state: Mutex<State>,
    pause: Mutex<VecDeque<Duration>>,
}

impl FakeStore {
    pub fn new() -> Self {
        Self::default()
    }

    /// Plans the faults of the next calls, for any method and key.
    pub fn plan(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state().plan.extend(faults);
    }

    /// Drops the faults planned with [`Self::plan`].
    pub fn forget_plan(&self) {
        self.state().plan.clear();
    }

    /// Plans the fault of the next write to a key.
    pub fn plan_put(&self, key: &str, fault: Fault) {
        self.state().put_plan.push((key.to_owned(), fault));
    }

    /// Plans the delays of the next calls.
    pub fn plan_delays(&self, pauses: impl IntoIterator<Item = Duration>) {
        self.pause.lock().unwrap().extend(pauses);
    }

    /// Sets whether all calls are refused.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
    }

    /// Applies all pending late writes.
    pub fn flush(&self) {
        let mut state = self.state();
        for write in std::mem::take(&mut state.late) {
            let _ = state.write(&write.key, write.value, write.condition);
        }
    }

    /// Plans the fault of the next read of a key.
    pub fn plan_get(&self, key: &str, fault: Fault) {
        self.state().get_plan.push((key.to_owned(), fault));
    }

    /// Returns all values that a key ever had.
    pub fn history(&self, key: &str) -> Vec<(Version, Bytes)> {
        self.state().objects.get(key).cloned().unwrap_or_default()
    }

    /// Overwrites an object unconditionally.
    pub fn overwrite(&self, key: &str, value: Bytes) {
        let mut state = self.state();
        state.version += 1;
        let version = Version(state.version);
        let values = state.objects.entry(key.to_owned()).or_default();
        values.push((version, value));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    async fn delay(&self) {
        let pause = self.pause.lock().unwrap().pop_front();
        if let Some(pause) = pause {
            tokio::time::sleep(pause).await;
        }
    }
}

impl State {
    fn next_fault(&mut self) -> Fault {
        let mut due = Vec::new();
        for write in &mut self.late {
            write.calls_left = write.calls_left.saturating_sub(1);
        }
        self.late.retain_mut(|write| {
            if write.calls_left > 0 {
                return true;
            }
            due.push((write.key.clone(), write.value.clone(), write.condition));
            false
        });
        for (key, value, condition) in due {
            let _ = self.write(&key, value, condition);
        }
        if self.down {
            return Fault::Refused;
        }
        self.plan.pop_front().unwrap_or(Fault::None)
    }

    fn write(
        &mut self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Version, StoreError> {
        let values = self.objects.entry(key.to_owned()).or_default();
        let current = values.last().map(|(version, _)| *version);
        let holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::At(version) => current == Some(version),
        };
        if !holds {
            let key = key.to_owned();
            return Err(StoreError::Conflict { key, current });
        }
        self.version += 1;
        values.push((Version(self.version), value));
        Ok(Version(self.version))
    }
}

/// Removes and returns the first fault planned for a key.
fn take_planned(plan: &mut Vec<(String, Fault)>, key: &str) -> Option<Fault> {
    let i = plan.iter().position(|(k, _)| k == key)?;
    Some(plan.remove(i).1)
}

fn refused(key: &str) -> StoreError {
    StoreError::Refused {
        key: key.to_owned(),
        status: 503,
    }
}

fn unanswered() -> StoreError {
    StoreError::Unanswered {
        address: "127.0.0.1:1".to_owned(),
        cause: "planned by the test".to_owned(),
    }
}

impl ObjectStore for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.delay().await;
        let mut state = self.state();
        let mut fault = state.next_fault();
        if let Some(planned) = take_planned(&mut state.get_plan, key) {
            fault = planned;
        }
        let versions_back = match fault {
            Fault::Refused => return Err(refused(key)),
            Fault::LostBefore | Fault::LostAfter | Fault::Late(_) => return Err(unanswered()),
            Fault::Stale(versions_back) => versions_back,
            Fault::None => 0,
        };
        let values = state.objects.get(key).map_or(&[][..], Vec::as_slice);
        let value = values
            .len()
            .checked_sub(1 + versions_back)
            .map(|i| values[i].clone());
        Ok(value.map(|(version, value)| Object { version, value }))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Version, StoreError> {
        self.delay().await;
        let mut state = self.state();
        let mut fault = state.next_fault();
        if let Some(planned) = take_planned(&mut state.put_plan, key) {
            fault = planned;
        }
        match fault {
            Fault::None | Fault::Stale(_) => state.write(key, value, condition),
            Fault::Refused => Err(refused(key)),
            Fault::LostBefore => Err(unanswered()),
            Fault::LostAfter => {
                let _ = state.write(key, value, condition);
                Err(unanswered())
            }
            Fault::Late(calls_left) => {
                let key = key.to_owned();
                state.late.push(LateWrite {
                    calls_left,
                    key,
                    value,
                    condition,
                });
                Err(unanswered())
            }
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Change>, StoreError> {
        self.delay().await;
        let mut state = self.state();
        if state.next_fault() != Fault::None {
            return Err(refused(prefix));
        }
        let mut all = Vec::new();
        for (key, values) in &state.objects {
            let Some((version, _)) = values.last() else {
                continue;
            };
            if key.starts_with(prefix) {
                let (key, version) = (key.clone(), *version);
                all.push(Change { key, version });
            }
        }
        Ok(all)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        _wait: Duration,
    ) -> Result<Changes, StoreError> {
        let mut changes = self.list(prefix).await?;
        changes.retain(|change| change.version > after);
        changes.sort_by_key(|change| change.version);
        let version = Version(self.state().version);
        Ok(Changes { changes, version })
    }

    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        Ok(Vec::new())
    }
}
