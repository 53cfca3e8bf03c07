use std::collections::HashMap;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use super::drain_outcome::DrainOutcome;

/// Number of a connection.
pub(super) type ConnectionId = u64;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// It waits for a request.
    Idle,
    /// It reads or answers one.
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

/// The connections that are open, shared by the threads that serve them.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    state: Mutex<State>,
    closed: Condvar,
    max_connections: usize,
}

impl ConnectionTable {
    /// A table with room for `max_connections`.
    pub(super) fn new(max_connections: usize) -> Self {
        Self {
            state: Mutex::default(),
            closed: Condvar::new(),
            max_connections,
        }
    }

    /// Enters a connection; none when the table is full or the edge stops.
    pub(super) fn enter(&self, stream: TcpStream) -> Option<ConnectionId> {
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
    pub(super) fn leave(&self, id: ConnectionId) {
        self.lock().entries.remove(&id);
        self.closed.notify_all();
    }

    /// Notes what a connection does.
    pub(super) fn set_activity(&self, id: ConnectionId, activity: Activity) {
        let mut state = self.lock();
        let stopping = state.stopping;
        let Some(entry) = state.entries.get_mut(&id) else {
            return;
        };
        entry.activity = activity;
        if stopping && activity == Activity::Idle {
            end_reading(&entry.stream);
        }
    }

    /// Whether the edge stops.
    pub(super) fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    /// Takes no further connections and ends those that wait for a request.
    pub(super) fn stop(&self) {
        let mut state = self.lock();
        state.stopping = true;
        let entries = state.entries.values();
        let idle = entries.filter(|entry| entry.activity == Activity::Idle);
        idle.for_each(|entry| end_reading(&entry.stream));
    }

    /// Waits until no connection is left.
    pub(super) fn wait_idle(&self, deadline: Instant) -> DrainOutcome {
        let mut state = self.lock();
        while !state.entries.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let connections = state.entries.len();
                return DrainOutcome::Busy { connections };
            }
            let waited = self.closed.wait_timeout(state, left);
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

/// Wakes the thread that reads; bytes that came before are still read.
fn end_reading(stream: &TcpStream) {
    // A connection that is closed already needs no end.
    let _ = stream.shutdown(Shutdown::Read);
}
