use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use cornelpoint::connection_budget::BodySegments;
use cornelpoint::connection_budget::Closed;
use cornelpoint::connection_budget::ConnectionId;
use cornelpoint::connection_budget::ConnectionTable;
use cornelpoint::connection_budget::Held;
use cornelpoint::connection_budget::Room;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::connection_limits::BodyTimeouts;
use super::connection_limits::Port;
use super::connection_limits::ServerLimits;
use super::connection_limits::port_limits;

/// Called for each refused request and each connection that is closed to make room, with
/// the reason.
pub(crate) type OnRefusal = Box<dyn Fn(Port, &'static str)>;

/// Names the connection that a request came on; an extension of the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionKey {
    pub(super) port: Port,
    pub(super) id: ConnectionId,
}

/// The connections of all listeners of a process.
pub(super) struct Connections {
    started: Instant,
    ports: [RefCell<PortConnections>; Port::ALL.len()],
    open: Cell<usize>,
    pub(super) body_timeouts: BodyTimeouts,
    on_refusal: OnRefusal,
}

struct PortConnections {
    table: ConnectionTable,
    handles: HashMap<ConnectionId, Rc<ConnectionHandle>>,
}

/// What is needed to close a connection at once.
#[derive(Debug, Default)]
pub(super) struct ConnectionHandle {
    /// Ends the connection's task.
    pub(super) closed: Notify,
    /// The body under way; here, its memory is free before the task has ended.
    pub(super) body: RefCell<BodySegments>,
}

impl Connections {
    pub(super) fn new(limits: &ServerLimits, on_refusal: OnRefusal) -> Self {
        let ports = Port::ALL.map(|port| {
            let limits = port_limits(port, limits);
            RefCell::new(PortConnections {
                table: ConnectionTable::new(limits),
                handles: HashMap::new(),
            })
        });
        Self {
            started: Instant::now(),
            ports,
            open: Cell::new(0),
            body_timeouts: limits.body_timeouts,
            on_refusal,
        }
    }

    /// Returns the number of connections whose tasks have not ended.
    pub(super) fn open_count(&self) -> usize {
        self.open.get()
    }

    pub(super) fn held(&self, port: Port) -> Held {
        self.ports[port.index()].borrow().table.held()
    }

    /// Adds a connection, closing others if there is no room; `None` if none could be made.
    /// The second value says whether others were closed.
    pub(super) fn open(self: &Rc<Self>, port: Port) -> (Option<OpenConnection>, bool) {
        let now_ms = self.now_ms();
        let mut connections = self.ports[port.index()].borrow_mut();
        let (id, closed) = connections.table.open(now_ms);
        let closed = connections.remove(closed);
        let handle = Rc::new(ConnectionHandle::default());
        if let Some(id) = id {
            connections.handles.insert(id, Rc::clone(&handle));
        }
        drop(connections);
        let has_closed = !closed.is_empty();
        self.report(port, closed);
        let Some(id) = id else {
            self.refuse(port, "connection_refused");
            return (None, has_closed);
        };
        self.open.set(self.open.get() + 1);
        let open = OpenConnection {
            connections: Rc::clone(self),
            key: ConnectionKey { port, id },
            handle,
        };
        (Some(open), has_closed)
    }

    /// Returns the handle of a connection; `None` if it is about to be closed.
    pub(super) fn handle(&self, key: ConnectionKey) -> Option<Rc<ConnectionHandle>> {
        let connections = self.ports[key.port.index()].borrow();
        connections.handles.get(&key.id).cloned()
    }

    pub(super) fn begin_request(&self, key: ConnectionKey) {
        self.table(key, |table, _| table.begin_request(key.id));
    }

    pub(super) fn end_request(&self, key: ConnectionKey) {
        self.table(key, |table, now_ms| table.end_request(key.id, now_ms));
    }

    pub(super) fn begin_body(&self, key: ConnectionKey) -> bool {
        self.make_room(key, |table, now_ms| table.begin_body(key.id, now_ms))
    }

    pub(super) fn grow_body(&self, key: ConnectionKey, buffer_bytes: usize) -> bool {
        self.make_room(key, |table, now_ms| {
            table.grow(key.id, buffer_bytes, now_ms)
        })
    }

    pub(super) fn record_progress(&self, key: ConnectionKey, bytes: usize) {
        self.table(key, |table, now_ms| {
            table.record_progress(key.id, bytes, now_ms);
        });
    }

    pub(super) fn end_body(&self, key: ConnectionKey) {
        self.table(key, |table, _| table.end_body(key.id));
    }

    /// Reports a refusal.
    pub(super) fn refuse(&self, port: Port, reason: &'static str) {
        (self.on_refusal)(port, reason);
    }

    fn make_room(
        &self,
        key: ConnectionKey,
        request: impl FnOnce(&mut ConnectionTable, u64) -> Room,
    ) -> bool {
        let now_ms = self.now_ms();
        let mut connections = self.ports[key.port.index()].borrow_mut();
        let room = request(&mut connections.table, now_ms);
        let closed = connections.remove(room.closed);
        drop(connections);
        self.report(key.port, closed);
        room.granted
    }

    fn table<T>(&self, key: ConnectionKey, act: impl FnOnce(&mut ConnectionTable, u64) -> T) -> T {
        let now_ms = self.now_ms();
        act(&mut self.ports[key.port.index()].borrow_mut().table, now_ms)
    }

    fn report(&self, port: Port, closed: Vec<Closed>) {
        for closed in closed {
            self.refuse(port, closed.reason.as_str());
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl fmt::Debug for Connections {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Connections")
            .field("open", &self.open)
            .finish_non_exhaustive()
    }
}

impl PortConnections {
    /// Ends the tasks of connections that the table has closed.
    fn remove(&mut self, closed: Vec<Closed>) -> Vec<Closed> {
        for Closed { id, .. } in &closed {
            if let Some(handle) = self.handles.remove(id) {
                handle.body.take();
                handle.closed.notify_one();
            }
        }
        closed
    }
}

/// A connection, counted until it is dropped.
#[derive(Debug)]
pub(super) struct OpenConnection {
    connections: Rc<Connections>,
    pub(super) key: ConnectionKey,
    pub(super) handle: Rc<ConnectionHandle>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let Self {
            connections, key, ..
        } = self;
        let mut port = connections.ports[key.port.index()].borrow_mut();
        port.table.close(key.id);
        port.handles.remove(&key.id);
        drop(port);
        connections.open.set(connections.open.get() - 1);
    }
}
