use std::cell::Cell;

use crate::http::HttpEndpoint;

/// Maximum number of connections for orders. Workers respond within milliseconds,
/// and each new connection to a worker is expensive.
const MAX_ORDER_CONNECTIONS: usize = 3;

/// Connections to one incarnation of a worker.
#[derive(Debug)]
pub(super) struct WorkerLink {
    pub(super) id: String,
    pub(super) orders: HttpEndpoint,
    /// Separate from orders, since a lease renewal waits at the worker.
    pub(super) renewals: HttpEndpoint,
    /// Whether the last lease renewal got no response.
    pub(super) unresponsive: Cell<bool>,
}

impl WorkerLink {
    pub(super) fn new(address: &str, id: &str) -> Self {
        Self {
            id: id.to_owned(),
            orders: HttpEndpoint::new(address, MAX_ORDER_CONNECTIONS),
            renewals: HttpEndpoint::new(address, 1),
            unresponsive: Cell::new(false),
        }
    }
}
