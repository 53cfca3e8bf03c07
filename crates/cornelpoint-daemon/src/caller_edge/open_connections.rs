use std::collections::HashMap;
use std::fmt;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::connection_budget::BodySegments;
use cornelpoint::connection_budget::ClientClass;
use cornelpoint::connection_budget::CloseReason;
use cornelpoint::connection_budget::Closed;
use cornelpoint::connection_budget::ConnectionId;
use cornelpoint::connection_budget::ListenerBudget;
use cornelpoint::connection_budget::ListenerLimits;
use cornelpoint::connection_budget::Room;

use super::drain_outcome::DrainOutcome;

/// Threads of closed connections that may still have to end, beside those of the open ones.
const ENDING_THREADS: usize = 32;
/// Longest wait for such threads to end before a newcomer is refused.
const ENDING_WAIT: Duration = Duration::from_millis(200);

/// What a connection is doing, as far as a stop needs to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// Waiting for a request.
    Idle,
    /// Reading or answering a request.
    Busy,
}

/// What is needed to close a connection at once.
#[derive(Debug)]
pub(super) struct ConnectionHandle {
    /// The connection.
    pub(super) stream: TcpStream,
    /// The body under way; its memory is free before the connection's thread has ended.
    pub(super) body: Mutex<BodySegments>,
}

impl ConnectionHandle {
    pub(super) fn body(&self) -> MutexGuard<'_, BodySegments> {
        self.body.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self) {
        *self.body() = BodySegments::default();
        // Fails only when the connection is already closed. Wakes the thread that reads from
        // or writes to it.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Outcome of adding a connection.
#[derive(Debug)]
pub(super) enum Opened {
    /// The connection has been added.
    Added(ConnectionId, Arc<ConnectionHandle>),
    /// There is no room.
    Refused(TcpStream),
    /// The edge is stopping.
    Stopping,
}

/// Called with the reason for each connection that is closed to make room.
pub(super) type OnClosed = Box<dyn Fn(CloseReason) + Send + Sync>;

/// The open connections of a listener, shared by the threads that serve them, and what they
/// may hold.
pub(super) struct OpenConnections {
    state: Mutex<State>,
    thread_ended: Condvar,
    limits: ListenerLimits,
    started: Instant,
    on_closed: OnClosed,
}

#[derive(Debug)]
struct State {
    budget: ListenerBudget,
    entries: HashMap<ConnectionId, Entry>,
    /// Threads of connections, also of closed ones.
    threads: usize,
    stopping: bool,
}

#[derive(Debug)]
struct Entry {
    handle: Arc<ConnectionHandle>,
    activity: Activity,
}

impl OpenConnections {
    pub(super) fn new(limits: ListenerLimits, on_closed: OnClosed) -> Self {
        Self {
            state: Mutex::new(State {
                budget: ListenerBudget::new(&limits),
                entries: HashMap::new(),
                threads: 0,
                stopping: false,
            }),
            thread_ended: Condvar::new(),
            limits,
            started: Instant::now(),
            on_closed,
        }
    }

    pub(super) fn limits(&self) -> &ListenerLimits {
        &self.limits
    }

    /// Adds a connection, closing others if there is no room.
    pub(super) fn open(&self, stream: TcpStream) -> Opened {
        let max_threads = self.limits.connections.max_connections + ENDING_THREADS;
        let state = self.lock();
        let are_too_many = |state: &mut State| state.threads >= max_threads && !state.stopping;
        let waited = self
            .thread_ended
            .wait_timeout_while(state, ENDING_WAIT, are_too_many);
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if state.stopping {
            return Opened::Stopping;
        }
        if state.threads >= max_threads {
            return Opened::Refused(stream);
        }
        let (id, closed) = state.budget.open(self.now_ms());
        let closed = state.take(closed);
        let opened = match id {
            None => Opened::Refused(stream),
            Some(id) => {
                let handle = Arc::new(ConnectionHandle {
                    stream,
                    body: Mutex::default(),
                });
                let entry = Entry {
                    handle: Arc::clone(&handle),
                    activity: Activity::Idle,
                };
                state.entries.insert(id, entry);
                state.threads += 1;
                Opened::Added(id, handle)
            }
        };
        drop(state);
        self.close(closed);
        opened
    }

    /// Removes a connection whose thread ends.
    pub(super) fn remove(&self, id: ConnectionId) {
        let mut state = self.lock();
        state.budget.close(id);
        state.entries.remove(&id);
        state.threads -= 1;
        drop(state);
        self.thread_ended.notify_all();
    }

    /// Sets what a connection is doing; one that becomes idle while the edge is stopping is
    /// ended.
    pub(super) fn set_activity(&self, id: ConnectionId, activity: Activity) {
        let mut state = self.lock();
        let stopping = state.stopping;
        let Some(entry) = state.entries.get_mut(&id) else {
            return;
        };
        entry.activity = activity;
        if stopping && activity == Activity::Idle {
            shutdown_read(&entry.handle.stream);
        }
    }

    /// Makes room for a part of a head beyond the read buffer.
    pub(super) fn hold_head(&self, id: ConnectionId, bytes: usize) -> bool {
        self.make_room(|budget, now_ms| budget.hold_head(id, bytes, now_ms))
    }

    /// Counts a request whose head has been read, if there is room.
    pub(super) fn begin_request(&self, id: ConnectionId, class: ClientClass) -> bool {
        self.make_room(|budget, now_ms| budget.begin_request(id, class, now_ms))
    }

    /// Makes room for a body before any of it is read.
    pub(super) fn begin_body(&self, id: ConnectionId) -> bool {
        self.make_room(|budget, now_ms| budget.begin_body(id, now_ms))
    }

    /// Makes room for all that a request holds, its body and its answer together.
    pub(super) fn hold(&self, id: ConnectionId, bytes: usize) -> bool {
        self.make_room(|budget, now_ms| budget.hold(id, bytes, now_ms))
    }

    pub(super) fn record_progress(&self, id: ConnectionId, bytes: usize) {
        let now_ms = self.now_ms();
        self.lock().budget.record_progress(id, bytes, now_ms);
    }

    /// Makes room for all that a request with a complete body holds; with room, it is carried
    /// out.
    pub(super) fn complete_body(&self, id: ConnectionId, bytes: usize) -> bool {
        self.make_room(|budget, now_ms| budget.complete_body(id, bytes, now_ms))
    }

    pub(super) fn begin_answer(&self, id: ConnectionId) {
        let now_ms = self.now_ms();
        self.lock().budget.begin_answer(id, now_ms);
    }

    pub(super) fn end_request(&self, id: ConnectionId) {
        let now_ms = self.now_ms();
        self.lock().budget.end_request(id, now_ms);
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
        idle.for_each(|entry| shutdown_read(&entry.handle.stream));
        drop(state);
        self.thread_ended.notify_all();
    }

    /// Waits until the threads of all connections have ended or the deadline passes.
    pub(super) fn wait_idle(&self, deadline: Instant) -> DrainOutcome {
        let left = deadline.saturating_duration_since(Instant::now());
        let are_left = |state: &mut State| state.threads > 0;
        let waited = self
            .thread_ended
            .wait_timeout_while(self.lock(), left, are_left);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        match state.threads {
            0 => DrainOutcome::Idle,
            connections => DrainOutcome::Busy { connections },
        }
    }

    /// Number of open connections.
    pub(super) fn len(&self) -> usize {
        self.lock().entries.len()
    }

    fn make_room(&self, ask: impl FnOnce(&mut ListenerBudget, u64) -> Room) -> bool {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let room = ask(&mut state.budget, now_ms);
        let closed = state.take(room.closed);
        drop(state);
        self.close(closed);
        room.granted
    }

    fn close(&self, closed: Vec<(Arc<ConnectionHandle>, CloseReason)>) {
        for (handle, reason) in closed {
            handle.close();
            (self.on_closed)(reason);
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for OpenConnections {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("OpenConnections")
            .field("connections", &self.len())
            .finish_non_exhaustive()
    }
}

impl State {
    /// Takes out the connections that the budget has closed.
    fn take(&mut self, closed: Vec<Closed>) -> Vec<(Arc<ConnectionHandle>, CloseReason)> {
        let closed = closed.into_iter();
        let taken = closed.filter_map(|Closed { id, reason }| {
            let entry = self.entries.remove(&id)?;
            Some((entry.handle, reason))
        });
        taken.collect()
    }
}

/// Wakes the thread that reads from the connection; bytes that were received before are still
/// read.
fn shutdown_read(stream: &TcpStream) {
    // Fails only when the connection is already closed.
    let _ = stream.shutdown(Shutdown::Read);
}
