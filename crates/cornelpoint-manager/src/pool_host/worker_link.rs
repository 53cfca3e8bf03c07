use std::cell::Cell;

use cornelpoint_platform::call::Call;
use cornelpoint_platform::workers;

use crate::http::HttpEndpoint;

/// Maximum number of connections for orders. Workers respond within milliseconds,
/// and each new connection to a worker is expensive.
const MAX_ORDER_CONNECTIONS: usize = 3;

/// Connections to one incarnation of a worker.
#[derive(Debug)]
pub(super) struct WorkerLink {
    pub(super) id: String,
    /// Asks for a report on each new connection.
    pub(super) question: Call,
    pub(super) orders: HttpEndpoint,
    /// Separate from orders, since a lease renewal waits at the worker.
    pub(super) renewals: HttpEndpoint,
    /// Whether the last lease renewal got no response.
    pub(super) unresponsive: Cell<bool>,
}

impl WorkerLink {
    pub(super) fn new(address: &str, id: &str, fencing_token: u64) -> Self {
        Self {
            id: id.to_owned(),
            question: workers::report_call(id, fencing_token),
            orders: HttpEndpoint::new(address, MAX_ORDER_CONNECTIONS),
            renewals: HttpEndpoint::new(address, 1),
            unresponsive: Cell::new(false),
        }
    }
}
