use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::budget_limits::BudgetLimits;
use super::closed::CloseReason;
use super::closed::Closed;
use super::progress::Progress;
use super::progress::STALL_MS;

/// Size above which a body is large. Most jobs have a few kilobytes.
const LARGE_BODY_BYTES: usize = 65_536;
/// A body displaces one that arrives just as fast if that is so many times as large.
const DISPLACED_SIZE_RATIO: usize = 2;

/// Identifies a connection of one table.
pub type ConnectionId = u64;

/// The connections of one listener or kind of client, what each holds, and which are closed
/// to make room.
///
/// Room is made in this order: bodies and answers that make no progress, the longest first;
/// connections without a request, the longest first; bodies that arrive more slowly than
/// the one that needs room, the slowest first; bodies that are much larger than that one,
/// the largest first, so that many large bodies at once don't lock small ones out. Where
/// descriptors are short, connections without a request are first. A request that is being
/// answered is never closed; once its answer is being sent, it is closed only if the client
/// doesn't read.
///
/// ```
/// use cornelpoint::connection_budget::BudgetLimits;
/// use cornelpoint::connection_budget::CloseReason;
/// use cornelpoint::connection_budget::ConnectionTable;
///
/// let mut table = ConnectionTable::new(BudgetLimits {
///     max_connections: 1,
///     max_bytes: 1_000_000,
///     large_body_bytes: 750_000,
///     connection_bytes: 40_960,
///     body_bytes: 0,
/// });
/// let (idle, _) = table.open(0);
/// let (newcomer, closed) = table.open(10);
/// assert!(newcomer.is_some());
/// assert_eq!(Some(closed[0].id), idle);
/// assert_eq!(closed[0].reason, CloseReason::Idle);
/// ```
#[derive(Debug)]
pub struct ConnectionTable {
    limits: BudgetLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Connections without a request, by the time since when.
    waiting: BTreeSet<(u64, ConnectionId)>,
    /// Connections with a body under way.
    receiving: BTreeSet<ConnectionId>,
    /// Connections with an answer under way.
    sending: BTreeSet<ConnectionId>,
    held_bytes: usize,
    next_id: ConnectionId,
}

/// What the connections of a table hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Number of connections.
    pub connections: usize,
    /// What they, their bodies and their answers hold, in bytes.
    pub bytes: usize,
}

/// Outcome of a request for room.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Whether there is room.
    pub granted: bool,
    /// Connections that have to be closed; they no longer count.
    pub closed: Vec<Closed>,
}

/// Room that a connection or its body needs.
#[derive(Clone, Copy, Debug)]
struct Need {
    id: Option<ConnectionId>,
    additional_bytes: usize,
    /// Size of the body with this room.
    body_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    stage: Stage,
    /// Size of the body's buffer, and of what is on its way there.
    body_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    /// Without a request, or with a part of its head.
    Waiting { since_ms: u64 },
    /// A body is under way.
    Receiving(Progress),
    /// A request is being answered.
    Answering,
    /// An answer is under way.
    Sending(Progress),
}

impl ConnectionTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            waiting: BTreeSet::new(),
            receiving: BTreeSet::new(),
            sending: BTreeSet::new(),
            held_bytes: 0,
            next_id: 0,
        }
    }

    /// Returns what the connections hold.
    #[must_use]
    pub fn held(&self) -> Held {
        Held {
            connections: self.connections.len(),
            bytes: self.held_bytes,
        }
    }

    /// Returns whether a connection is open.
    #[must_use]
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// Adds a connection; returns its identifier if there was or could be made room, and
    /// the connections to close.
    pub fn open(&mut self, now_ms: u64) -> (Option<ConnectionId>, Vec<Closed>) {
        let mut closed = Vec::new();
        while self.connections.len() >= self.limits.max_connections {
            let longest = self.longest_waiting(u64::MAX, None);
            let victim =
                longest.or_else(|| self.least_useful(self.limits.body_bytes, None, now_ms));
            let Some(victim) = victim else {
                return (None, closed);
            };
            closed.push(self.take(victim));
        }
        let need = Need {
            id: None,
            additional_bytes: self.limits.connection_bytes,
            body_bytes: self.limits.body_bytes,
        };
        let mut room = self.make_room(need, now_ms);
        closed.append(&mut room.closed);
        if !room.granted {
            return (None, closed);
        }
        let id = self.next_id;
        self.next_id += 1;
        let stage = Stage::Waiting { since_ms: now_ms };
        let connection = Connection {
            stage,
            body_bytes: 0,
        };
        self.connections.insert(id, connection);
        self.waiting.insert((now_ms, id));
        self.held_bytes += self.limits.connection_bytes;
        (Some(id), closed)
    }

    /// Removes a connection that has been closed.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.held_bytes -= self.limits.connection_bytes + connection.body_bytes;
        self.leave(id, connection.stage);
    }

    /// Records that a request's head has been read.
    pub fn begin_request(&mut self, id: ConnectionId) {
        self.enter(id, Stage::Answering);
    }

    /// Records that a request has been answered and what it held is free.
    pub fn end_request(&mut self, id: ConnectionId, now_ms: u64) {
        self.resize(id, 0);
        self.enter(id, Stage::Waiting { since_ms: now_ms });
    }

    /// Makes room for a body before any of it is read.
    pub fn begin_body(&mut self, id: ConnectionId, now_ms: u64) -> Room {
        self.enter(id, Stage::Receiving(Progress::new(now_ms)));
        self.grow(id, 0, now_ms)
    }

    /// Records that an answer is being sent.
    pub fn begin_answer(&mut self, id: ConnectionId, now_ms: u64) {
        self.enter(id, Stage::Sending(Progress::new(now_ms)));
    }

    /// Records that a part of a body has arrived, or a part of an answer has been taken.
    pub fn record_progress(&mut self, id: ConnectionId, bytes: usize, now_ms: u64) {
        let connection = self.connections.get_mut(&id);
        let stage = connection.map(|entry| &mut entry.stage);
        if let Some(Stage::Receiving(progress) | Stage::Sending(progress)) = stage {
            progress.record(bytes, now_ms);
        }
    }

    /// Makes room for a body's buffer of this size, or for a body and its answer.
    pub fn grow(&mut self, id: ConnectionId, buffer_bytes: usize, now_ms: u64) -> Room {
        let Some(connection) = self.connections.get(&id) else {
            return Room::default();
        };
        let body_bytes = self.limits.body_bytes + buffer_bytes;
        let additional_bytes = body_bytes.saturating_sub(connection.body_bytes);
        let need = Need {
            id: Some(id),
            additional_bytes,
            body_bytes,
        };
        let room = self.make_room(need, now_ms);
        if room.granted {
            self.resize(id, body_bytes);
        }
        room
    }

    /// Records that a body is complete, or won't be read. Its buffer stays counted until
    /// the request has been answered.
    pub fn end_body(&mut self, id: ConnectionId) {
        self.enter(id, Stage::Answering);
    }

    fn make_room(&mut self, need: Need, now_ms: u64) -> Room {
        let mut room = Room::default();
        let is_large = need.body_bytes > self.limits.body_bytes + LARGE_BODY_BYTES;
        let max_bytes = if is_large {
            self.limits.large_body_bytes
        } else {
            self.limits.max_bytes
        };
        while self.held_bytes + need.additional_bytes > max_bytes {
            let idle_before_ms = now_ms.saturating_sub(STALL_MS);
            let victim = self
                .most_stalled(now_ms, need.id)
                .or_else(|| self.longest_waiting(idle_before_ms, need.id))
                .or_else(|| self.least_useful(need.body_bytes, need.id, now_ms));
            let Some(victim) = victim else {
                return room;
            };
            room.closed.push(self.take(victim));
        }
        room.granted = true;
        room
    }

    /// Returns the body to close so that a connection or a body of this size gets room.
    fn least_useful(
        &self,
        body_bytes: usize,
        for_id: Option<ConnectionId>,
        now_ms: u64,
    ) -> Option<Closed> {
        self.most_stalled(now_ms, for_id)
            .or_else(|| self.slowest(now_ms, for_id))
            .or_else(|| self.largest(body_bytes, for_id))
    }

    /// Returns the connection that has been without a request for the longest time, if it
    /// has been since a time before `before_ms`.
    fn longest_waiting(&self, before_ms: u64, except: Option<ConnectionId>) -> Option<Closed> {
        let mut waiting = self.waiting.iter();
        let (since_ms, id) = waiting.find(|(_, id)| Some(*id) != except)?;
        (*since_ms < before_ms).then_some(Closed {
            id: *id,
            reason: CloseReason::Idle,
        })
    }

    fn most_stalled(&self, now_ms: u64, except: Option<ConnectionId>) -> Option<Closed> {
        let sending = self.progresses_of(&self.sending, except);
        let stalled = self
            .progresses(except)
            .chain(sending)
            .filter(|(_, progress)| progress.is_stalled(now_ms));
        let (id, _) = stalled.min_by_key(|(_, progress)| progress.latest_ms)?;
        let reason = CloseReason::Stalled;
        Some(Closed { id, reason })
    }

    /// Returns the slowest body that is slower than the one for which room is made. A body
    /// that has just begun counts as faster than all others.
    fn slowest(&self, now_ms: u64, for_id: Option<ConnectionId>) -> Option<Closed> {
        let own = for_id.and_then(|id| self.progress(id));
        let own = own.filter(|own| !own.is_young(now_ms));
        let limit = own.map_or(u64::MAX, |own| own.bytes_per_s(now_ms));
        let others = self
            .progresses(for_id)
            .filter(|(_, progress)| !progress.is_young(now_ms));
        let rates = others.map(|(id, progress)| (progress.bytes_per_s(now_ms), id));
        let (rate, id) = rates.min()?;
        let reason = CloseReason::Slow;
        (rate < limit).then_some(Closed { id, reason })
    }

    fn largest(&self, body_bytes: usize, except: Option<ConnectionId>) -> Option<Closed> {
        let others = self.progresses(except);
        let sizes = others.filter_map(|(id, _)| Some((self.connections.get(&id)?.body_bytes, id)));
        let (size, id) = sizes.max()?;
        let reason = CloseReason::Large;
        (size >= DISPLACED_SIZE_RATIO * body_bytes).then_some(Closed { id, reason })
    }

    fn progresses(
        &self,
        except: Option<ConnectionId>,
    ) -> impl Iterator<Item = (ConnectionId, Progress)> {
        self.progresses_of(&self.receiving, except)
    }

    fn progresses_of<'a>(
        &'a self,
        ids: &'a BTreeSet<ConnectionId>,
        except: Option<ConnectionId>,
    ) -> impl Iterator<Item = (ConnectionId, Progress)> + 'a {
        let ids = ids.iter().copied();
        let others = ids.filter(move |id| Some(*id) != except);
        others.filter_map(|id| Some((id, self.progress(id)?)))
    }

    fn progress(&self, id: ConnectionId) -> Option<Progress> {
        match self.connections.get(&id)?.stage {
            Stage::Receiving(progress) | Stage::Sending(progress) => Some(progress),
            Stage::Waiting { .. } | Stage::Answering => None,
        }
    }

    fn take(&mut self, closed: Closed) -> Closed {
        self.close(closed.id);
        closed
    }

    fn resize(&mut self, id: ConnectionId, body_bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.held_bytes = self.held_bytes - connection.body_bytes + body_bytes;
            connection.body_bytes = body_bytes;
        }
    }

    fn enter(&mut self, id: ConnectionId, stage: Stage) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let left = std::mem::replace(&mut connection.stage, stage);
        self.leave(id, left);
        match stage {
            Stage::Waiting { since_ms } => _ = self.waiting.insert((since_ms, id)),
            Stage::Receiving(_) => _ = self.receiving.insert(id),
            Stage::Sending(_) => _ = self.sending.insert(id),
            Stage::Answering => {}
        }
    }

    fn leave(&mut self, id: ConnectionId, stage: Stage) {
        match stage {
            Stage::Waiting { since_ms } => _ = self.waiting.remove(&(since_ms, id)),
            Stage::Receiving(_) => _ = self.receiving.remove(&id),
            Stage::Sending(_) => _ = self.sending.remove(&id),
            Stage::Answering => {}
        }
    }
}
