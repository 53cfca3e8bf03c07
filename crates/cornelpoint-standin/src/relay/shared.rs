use std::collections::BTreeMap;
use std::sync::Arc;

use super::link::Link;
use super::relay_faults::RelayFaults;

/// All state of a relay.
#[derive(Debug, Default)]
pub(super) struct Shared {
    pub(super) faults: RelayFaults,
    pub(super) stopping: bool,
    next_id: u64,
    links: BTreeMap<u64, Arc<Link>>,
}

impl Shared {
    pub(super) fn add(&mut self, link: Arc<Link>) -> u64 {
        self.next_id += 1;
        self.links.insert(self.next_id, link);
        self.next_id
    }

    pub(super) fn remove(&mut self, id: u64) {
        self.links.remove(&id);
    }

    pub(super) fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Closes all connections.
    pub(super) fn close_all(&self) {
        for link in self.links.values() {
            link.close();
        }
    }

    /// Closes the connections that lost bytes.
    pub(super) fn close_broken(&self) {
        for link in self.links.values().filter(|link| link.is_broken()) {
            link.close();
        }
    }
}
