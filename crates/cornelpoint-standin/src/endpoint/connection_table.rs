use std::collections::BTreeMap;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;

/// The open connections of an endpoint, up to a limit.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    limit: usize,
    next_id: u64,
    open: BTreeMap<u64, Arc<TcpStream>>,
    peak: usize,
    over_limit: u64,
}

impl ConnectionTable {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            next_id: 0,
            open: BTreeMap::new(),
            peak: 0,
            over_limit: 0,
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.open.len() >= self.limit
    }

    /// Adds a connection; returns `None` if the limit is reached.
    pub(super) fn add(&mut self, stream: Arc<TcpStream>) -> Option<u64> {
        if self.is_full() {
            self.over_limit += 1;
            return None;
        }
        self.next_id += 1;
        self.open.insert(self.next_id, stream);
        self.peak = self.peak.max(self.open.len());
        Some(self.next_id)
    }

    pub(super) fn remove(&mut self, id: u64) {
        self.open.remove(&id);
    }

    /// Shuts down all connections, so that their threads read the end of the
    /// stream.
    pub(super) fn shut_down(&self) {
        for stream in self.open.values() {
            // Fails if the connection is already closed.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub(super) fn open_count(&self) -> usize {
        self.open.len()
    }

    pub(super) fn peak(&self) -> usize {
        self.peak
    }

    pub(super) fn over_limit(&self) -> u64 {
        self.over_limit
    }
}
