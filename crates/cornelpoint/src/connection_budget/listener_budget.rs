use std::collections::BTreeMap;

use super::client_class::ClientClass;
use super::closed::Closed;
use super::connection_table::ConnectionId;
use super::connection_table::ConnectionTable;
use super::connection_table::Held;
use super::connection_table::Room;
use super::listener_limits::ListenerLimits;

/// The connections of a listener that several kinds of clients share.
///
/// Until the head of a request has been read, a connection belongs to no kind of client and can
/// be closed. From then on the request counts among those of its kind, and makes and finds room
/// there only. Fewer requests than connections are allowed, so that newcomers find a connection
/// that can be closed.
///
/// ```
/// use cornelpoint::connection_budget::ClientClass;
/// use cornelpoint::connection_budget::ListenerBudget;
/// use cornelpoint::connection_budget::ProcessLimits;
///
/// let limits = ProcessLimits { memory_bytes: 80_000_000, max_descriptors: 4100 };
/// let mut budget = ListenerBudget::new(&limits.keeper(256));
/// let (id, _) = budget.open(0);
/// let id = id.unwrap();
/// assert!(budget.begin_request(id, ClientClass::Peers, 0).granted);
/// assert!(budget.hold(id, 100_000, 1).granted);
/// assert!(budget.held(ClientClass::Peers).bytes > 100_000);
/// budget.end_request(id, 2);
/// assert_eq!(budget.held(ClientClass::Peers).bytes, 0);
/// ```
#[derive(Debug)]
pub struct ListenerBudget {
    connections: ConnectionTable,
    classes: [Requests; ClientClass::ALL.len()],
    /// The request of each connection that has one.
    requests: BTreeMap<ConnectionId, RequestKey>,
}

#[derive(Clone, Copy, Debug)]
struct RequestKey {
    class: ClientClass,
    /// Identifier in the table of the class.
    id: ConnectionId,
}

/// The requests of one kind of client.
#[derive(Debug)]
struct Requests {
    table: ConnectionTable,
    /// The connection of each request.
    connections: BTreeMap<ConnectionId, ConnectionId>,
}

impl ListenerBudget {
    /// Creates the budget of a listener without connections.
    #[must_use]
    pub fn new(limits: &ListenerLimits) -> Self {
        Self {
            connections: ConnectionTable::new(limits.connections),
            classes: ClientClass::ALL.map(|class| Requests {
                table: ConnectionTable::new(limits.class(class).budget),
                connections: BTreeMap::new(),
            }),
            requests: BTreeMap::new(),
        }
    }

    /// Returns what the requests of a kind of client hold.
    #[must_use]
    pub fn held(&self, class: ClientClass) -> Held {
        self.classes[class.index()].table.held()
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.held().connections
    }

    /// Adds a connection; returns its identifier if there was or could be made room, and the
    /// connections to close.
    pub fn open(&mut self, now_ms: u64) -> (Option<ConnectionId>, Vec<Closed>) {
        self.connections.open(now_ms)
    }

    /// Removes a connection that has been closed.
    pub fn close(&mut self, id: ConnectionId) {
        self.connections.close(id);
        self.remove_request(id);
    }

    /// Makes room for a part of a head of so many bytes beyond the read buffer.
    pub fn hold_head(&mut self, id: ConnectionId, bytes: usize, now_ms: u64) -> Room {
        self.connections.grow(id, bytes, now_ms)
    }

    /// Counts a request whose head has been read among those of its kind of client, if there
    /// was or could be made room, and its connection has not been closed meanwhile.
    pub fn begin_request(&mut self, id: ConnectionId, class: ClientClass, now_ms: u64) -> Room {
        if !self.connections.contains(id) {
            return Room::default();
        }
        let requests = &mut self.classes[class.index()];
        let (request, closed) = requests.table.open(now_ms);
        if let Some(request) = request {
            requests.table.begin_request(request);
            requests.connections.insert(request, id);
            self.connections.begin_request(id);
            self.requests.insert(id, RequestKey { class, id: request });
        }
        Room {
            granted: request.is_some(),
            closed: self.close_requests(class, closed),
        }
    }

    /// Makes room for a body before any of it is read.
    pub fn begin_body(&mut self, id: ConnectionId, now_ms: u64) -> Room {
        self.make_room(id, |table, request| table.begin_body(request, now_ms))
    }

    /// Records that a part of a body has arrived, or a part of an answer has been taken.
    pub fn record_progress(&mut self, id: ConnectionId, bytes: usize, now_ms: u64) {
        if let Some((table, request)) = self.request(id) {
            table.record_progress(request, bytes, now_ms);
        }
    }

    /// Makes room for all that a request holds, its body and its answer together.
    pub fn hold(&mut self, id: ConnectionId, bytes: usize, now_ms: u64) -> Room {
        self.make_room(id, |table, request| table.grow(request, bytes, now_ms))
    }

    /// Makes room for all that a request with a complete body holds. With room, its connection
    /// isn't closed any more to make room for others: the request may be carried out.
    pub fn complete_body(&mut self, id: ConnectionId, bytes: usize, now_ms: u64) -> Room {
        self.make_room(id, |table, request| {
            let room = table.grow(request, bytes, now_ms);
            if room.granted {
                table.end_body(request);
            }
            room
        })
    }

    /// Records that an answer is being sent.
    pub fn begin_answer(&mut self, id: ConnectionId, now_ms: u64) {
        if let Some((table, request)) = self.request(id) {
            table.begin_answer(request, now_ms);
        }
    }

    /// Records that a request has been answered and what it held is free.
    pub fn end_request(&mut self, id: ConnectionId, now_ms: u64) {
        self.remove_request(id);
        self.connections.end_request(id, now_ms);
    }

    fn request(&mut self, id: ConnectionId) -> Option<(&mut ConnectionTable, ConnectionId)> {
        let key = self.requests.get(&id)?;
        Some((&mut self.classes[key.class.index()].table, key.id))
    }

    fn make_room(
        &mut self,
        id: ConnectionId,
        ask: impl FnOnce(&mut ConnectionTable, ConnectionId) -> Room,
    ) -> Room {
        let Some(RequestKey { class, id: request }) = self.requests.get(&id).copied() else {
            return Room::default();
        };
        let room = ask(&mut self.classes[class.index()].table, request);
        Room {
            granted: room.granted,
            closed: self.close_requests(class, room.closed),
        }
    }

    /// Removes the connections of requests that their table has closed.
    fn close_requests(&mut self, class: ClientClass, closed: Vec<Closed>) -> Vec<Closed> {
        let requests = &mut self.classes[class.index()];
        let mut connections = Vec::with_capacity(closed.len());
        for Closed { id, reason } in closed {
            if let Some(connection) = requests.connections.remove(&id) {
                self.requests.remove(&connection);
                self.connections.close(connection);
                connections.push(Closed {
                    id: connection,
                    reason,
                });
            }
        }
        connections
    }

    fn remove_request(&mut self, id: ConnectionId) {
        if let Some(key) = self.requests.remove(&id) {
            let requests = &mut self.classes[key.class.index()];
            requests.table.close(key.id);
            requests.connections.remove(&key.id);
        }
    }
}
