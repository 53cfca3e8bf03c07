use std::collections::BTreeMap;
use std::sync::Arc;

use super::relay_faults::RelayFaults;
use super::relayed_connection::RelayedConnection;

/// State of a relay.
#[derive(Debug, Default)]
pub(super) struct Shared {
    pub(super) faults: RelayFaults,
    pub(super) stopping: bool,
    next_id: u64,
    connections: BTreeMap<u64, Arc<RelayedConnection>>,
}

impl Shared {
    pub(super) fn add(&mut self, connection: Arc<RelayedConnection>) -> u64 {
        self.next_id += 1;
        self.connections.insert(self.next_id, connection);
        self.next_id
    }

    pub(super) fn remove(&mut self, id: u64) {
        self.connections.remove(&id);
    }

    pub(super) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Closes all connections.
    pub(super) fn close_all(&self) {
        for connection in self.connections.values() {
            connection.close();
        }
    }

    /// Closes the connections that lost bytes.
    pub(super) fn close_broken(&self) {
        for connection in self
            .connections
            .values()
            .filter(|connection| connection.is_broken())
        {
            connection.close();
        }
    }
}
