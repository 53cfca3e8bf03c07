use std::sync::Arc;

use cornelpoint::connection_budget::ConnectionId;

use super::open_connections::OpenConnections;

/// The room of one request in the budget of its listener.
#[derive(Clone, Debug)]
pub struct RequestRoom {
    connections: Arc<OpenConnections>,
    id: ConnectionId,
    /// What the request's body holds, with its decoded form.
    body_bytes: usize,
}

impl RequestRoom {
    pub(super) fn new(
        connections: Arc<OpenConnections>,
        id: ConnectionId,
        body_bytes: usize,
    ) -> Self {
        Self {
            connections,
            id,
            body_bytes,
        }
    }

    /// Makes room for an answer of so many bytes beside the request; returns whether there is.
    #[must_use]
    pub fn hold_answer(&self, bytes: usize) -> bool {
        self.connections.hold(self.id, self.body_bytes + bytes)
    }
}
