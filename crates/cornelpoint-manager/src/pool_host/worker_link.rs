use std::cell::Cell;

use crate::http::HttpEndpoint;

/// Connections for orders: they are answered within milliseconds, and each new
/// connection to a worker costs.
const MAX_ORDER_CONNECTIONS: usize = 3;

/// Connections to one life of a worker.
#[derive(Debug)]
pub(super) struct WorkerLink {
    pub(super) id: String,
    pub(super) orders: HttpEndpoint,
    /// Apart, since a look waits at the worker.
    pub(super) renewals: HttpEndpoint,
    /// Whether the last look brought no answer.
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
