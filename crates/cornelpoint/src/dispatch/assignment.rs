use std::net::SocketAddr;

use crate::name::InstanceId;
use crate::request::Refusal;

/// The right to send one request to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// Time after which the request must not be started, in milliseconds.
    pub start_by_ms: u64,
}

/// What a gateway does with a request next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchAction {
    /// Send it.
    Send(Assignment),
    /// Pass on the latest whole answer.
    Answer,
    /// Refuse it; the reason tells whether it may have run.
    Refuse(Refusal),
}

/// A verdict and the request that it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestAction {
    /// Number of the request.
    pub id: u64,
    /// What to do with it.
    pub action: DispatchAction,
}
