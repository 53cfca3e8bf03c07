use std::collections::HashMap;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use super::drain_outcome::DrainOutcome;

/// Identifies a connection; counts up from 1.
pub(super) type ConnectionId = u64;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// Waiting for a request.
    Idle,
    /// Reading or answering a request.
    Busy,
}

#[derive(Debug)]
struct Entry {
    stream: TcpStream,
    activity: Activity,
}

#[derive(Debug, Default)]
struct State {
    entries: HashMap<ConnectionId, Entry>,
    last_id: ConnectionId,
    stopping: bool,
}

/// The open connections, shared by the threads that serve them.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    state: Mutex<State>,
    closed: Condvar,
    max_connections: usize,
}

impl ConnectionTable {
    /// Creates a table for at most `max_connections` connections.
    pub(super) fn new(max_connections: usize) -> Self {
        Self {
            state: Mutex::default(),
            closed: Condvar::new(),
            max_connections,
        }
    }

    /// Adds a connection; returns `None` when the table is full or the edge is
    /// stopping.
    pub(super) fn insert(&self, stream: TcpStream) -> Option<ConnectionId> {
        let mut state = self.lock();
        if state.stopping || state.entries.len() >= self.max_connections {
            return None;
        }
        state.last_id += 1;
        let id = state.last_id;
        let activity = Activity::Idle;
        state.entries.insert(id, Entry { stream, activity });
        Some(id)
    }

    /// Removes a connection.
    pub(super) fn remove(&self, id: ConnectionId) {
        self.lock().entries.remove(&id);
        self.closed.notify_all();
    }

    /// Sets what a connection is doing; one that becomes idle while the edge is
    /// stopping is ended.
    pub(super) fn set_activity(&self, id: ConnectionId, activity: Activity) {
        let mut state = self.lock();
        let stopping = state.stopping;
        let Some(entry) = state.entries.get_mut(&id) else {
            return;
        };
        entry.activity = activity;
        if stopping && activity == Activity::Idle {
            shutdown_read(&entry.stream);
        }
    }

    /// Whether the edge is stopping.
    pub(super) fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    /// Rejects further connections and ends the idle ones.
    pub(super) fn stop(&self) {
        let mut state = self.lock();
        state.stopping = true;
        let entries = state.entries.values();
        let idle = entries.filter(|entry| entry.activity == Activity::Idle);
        idle.for_each(|entry| shutdown_read(&entry.stream));
    }

    /// Waits until all connections are closed or the deadline passes.
    pub(super) fn wait_idle(&self, deadline: Instant) -> DrainOutcome {
        let mut state = self.lock();
        while !state.entries.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                let connections = state.entries.len();
                return DrainOutcome::Busy { connections };
            }
            let waited = self.closed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        DrainOutcome::Idle
    }

    /// Number of open connections.
    pub(super) fn len(&self) -> usize {
        self.lock().entries.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wakes the thread that reads from the connection; bytes that were received
/// before are still read.
fn shutdown_read(stream: &TcpStream) {
    // Fails only when the connection is already closed.
    let _ = stream.shutdown(Shutdown::Read);
}
