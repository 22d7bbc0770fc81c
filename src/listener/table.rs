//! The connections of all listeners of a process, and which of them are closed.

use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use tokio::{
    task::AbortHandle,
    time::Instant, //
};

use super::{
    activity::CloseCause,
    disconnect::ReadAheadStream,
    eviction::{
        Need,
        Snapshot,
        choose, //
    },
    limits::Limits,
};
use crate::held_bytes::HeldBytes;

/// When a limit is reached, this fraction of it is freed at once, so that a crowd does not need a
/// choice for each of its connections.
const BATCH_DIVISOR: usize = 16;
/// After a choice that could not free enough, the next one is made this much later.
const CHOICE_PAUSE: Duration = Duration::from_millis(50);
/// The fraction of the connections that callers may not use, so that readiness probes, look-ups
/// and other hosts find room beside a crowd.
const OTHERS_DIVISOR: usize = 8;

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerRole {
    /// Callers, with their requests.
    Callers,
    /// The platform, operators and other hosts.
    Others,
}

/// Called with the client and the cause of each connection that is closed or request that is
/// refused.
pub type OnClose = Box<dyn Fn(SocketAddr, CloseCause) + Send + Sync>;

/// An open connection.
struct Entry {
    client: SocketAddr,
    stream: ReadAheadStream,
    task: Option<AbortHandle>,
    /// The bytes that it frees, once it has been chosen to be closed.
    closing_bytes: Option<u64>,
}

#[derive(Default)]
struct State {
    entries: HashMap<u64, Entry>,
    next_id: u64,
    closing: usize,
    closing_bytes: u64,
    next_choice_at: Option<Instant>,
}

impl State {
    fn open(&self) -> usize {
        self.entries.len() - self.closing
    }

    /// Ends the connection's task; its entry is removed when the task is dropped.
    fn close(&mut self, id: u64, bytes: u64) -> Option<SocketAddr> {
        let entry = self.entries.get_mut(&id)?;
        if entry.closing_bytes.is_some() {
            return None;
        }
        entry.closing_bytes = Some(bytes);
        if let Some(task) = &entry.task {
            task.abort();
        }
        self.closing += 1;
        self.closing_bytes += bytes;
        Some(entry.client)
    }

    fn snapshots(&self, now: Instant) -> Vec<Snapshot> {
        let entries = self.entries.iter();
        let open = entries.filter(|(_, entry)| entry.closing_bytes.is_none());
        open.map(|(id, entry)| entry.stream.snapshot(*id, now))
            .collect()
    }
}

/// The connections of a process.
pub struct ConnectionTable {
    state: Mutex<State>,
    limits: Mutex<Limits>,
    held: HeldBytes,
    on_close: OnClose,
}

impl fmt::Debug for ConnectionTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionTable").finish_non_exhaustive()
    }
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(limits: Limits, on_close: OnClose) -> Self {
        Self {
            state: Mutex::default(),
            limits: Mutex::new(limits),
            held: HeldBytes::new(limits.held_bytes_max),
            on_close,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the limits of new connections.
    pub fn set_limits(&self, limits: Limits) {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = limits;
        self.held.set_max(limits.held_bytes_max);
    }

    /// Returns the count of the bytes that are held for clients and for their requests.
    pub fn held(&self) -> HeldBytes {
        self.held.clone()
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.lock().open()
    }

    /// Reports a connection that is closed or a request that is refused.
    pub fn report(&self, client: SocketAddr, cause: CloseCause) {
        (self.on_close)(client, cause);
    }

    /// Returns whether a new connection may be opened, after others were closed for it if needed.
    pub(super) fn admits(&self, role: ListenerRole, client: SocketAddr, now: Instant) -> bool {
        let total = self.limits().connections_max;
        let max = match role {
            ListenerRole::Callers => total - total / OTHERS_DIVISOR,
            ListenerRole::Others => total,
        };
        // Connections that are being closed still have their descriptors.
        let has_descriptor =
            self.lock().entries.len() < total.saturating_add(total / BATCH_DIVISOR);
        let is_admitted = has_descriptor && self.make_room(max, now);
        if !is_admitted {
            self.report(client, CloseCause::Refused);
        }
        is_admitted
    }

    /// Returns whether more bytes may be held, after connections were closed for them if needed.
    pub(super) fn has_bytes_left(&self) -> bool {
        !self.held.is_full() || self.make_room(usize::MAX, Instant::now())
    }

    /// Closes a batch of connections after the process ran out of descriptors.
    pub(super) fn free_descriptors(&self, now: Instant) {
        let batch = 1 + self.open() / BATCH_DIVISOR;
        self.close_for(
            Need {
                connections: batch,
                bytes: 0,
            },
            now,
        );
    }

    /// Closes connections if more are open, or more bytes are held, than allowed. Returns whether
    /// there is room then.
    fn make_room(&self, connections_max: usize, now: Instant) -> bool {
        let bytes_max = self.held.max();
        let (open, held) = {
            let state = self.lock();
            let held = self.held.total();
            (state.open(), held.saturating_sub(state.closing_bytes))
        };
        let mut need = Need::default();
        if open >= connections_max {
            need.connections = open - connections_max + 1;
        }
        if held >= bytes_max {
            need.bytes = held - bytes_max + 1;
        }
        if need == Need::default() {
            return true;
        }
        let batch = Need {
            connections: match need.connections {
                0 => 0,
                n => n + connections_max / BATCH_DIVISOR,
            },
            bytes: match need.bytes {
                0 => 0,
                n => n + bytes_max / BATCH_DIVISOR as u64,
            },
        };
        let freed = self.close_for(batch, now);
        freed.connections >= need.connections && freed.bytes >= need.bytes
    }

    /// Closes connections until `need` is met or none is left that may be closed.
    fn close_for(&self, need: Need, now: Instant) -> Need {
        let mut freed = Need::default();
        let mut closed = Vec::new();
        let mut state = self.lock();
        if state.next_choice_at.is_some_and(|at| now < at) {
            return freed;
        }
        for choice in choose(&state.snapshots(now), need) {
            freed.connections += 1;
            freed.bytes += choice.bytes;
            let client = state.close(choice.id, choice.bytes);
            closed.extend(client.map(|client| (client, choice.cause)));
        }
        let is_enough = freed.connections >= need.connections && freed.bytes >= need.bytes;
        state.next_choice_at = (!is_enough).then(|| now + CHOICE_PAUSE);
        drop(state);
        for (client, cause) in closed {
            self.report(client, cause);
        }
        freed
    }

    /// Closes the connections that have been idle, sending a head, or not reading for too long.
    pub fn sweep(&self, now: Instant) {
        let limits = self.limits();
        let mut closed = Vec::new();
        let mut state = self.lock();
        for connection in state.snapshots(now) {
            let Some(cause) = limits.overdue(connection.activity, connection.duration) else {
                continue;
            };
            let client = state.close(connection.id, connection.bytes);
            closed.extend(client.map(|client| (client, cause)));
        }
        drop(state);
        for (client, cause) in closed {
            self.report(client, cause);
        }
    }

    /// Adds a connection until the result is dropped.
    pub(super) fn register(
        self: &Arc<Self>,
        client: SocketAddr,
        stream: ReadAheadStream,
    ) -> Registered {
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        let entry = Entry {
            client,
            stream,
            task: None,
            closing_bytes: None,
        };
        state.entries.insert(id, entry);
        Registered {
            table: self.clone(),
            id,
        }
    }

    /// Sets the task that serves a connection.
    pub(super) fn set_task(&self, id: u64, task: AbortHandle) {
        if let Some(entry) = self.lock().entries.get_mut(&id) {
            entry.task = Some(task);
        }
    }
}

/// Registration of a connection.
#[derive(Debug)]
pub(super) struct Registered {
    table: Arc<ConnectionTable>,
    pub(super) id: u64,
}

impl Drop for Registered {
    fn drop(&mut self) {
        let mut state = self.table.lock();
        let entry = state.entries.remove(&self.id);
        if let Some(bytes) = entry.as_ref().and_then(|e| e.closing_bytes) {
            state.closing -= 1;
            state.closing_bytes -= bytes;
        }
        drop(state);
        drop(entry);
    }
}
