use std::net::SocketAddr;

use crate::name::InstanceId;
use crate::request::Refusal;

/// Permission to send one request to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Instance of the endpoint.
    pub endpoint: InstanceId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Latest time at which the send may start, in milliseconds.
    pub start_by_ms: u64,
}

/// Next step for a request at its gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchAction {
    /// Send the request to the assigned endpoint.
    Send(Assignment),
    /// Return the latest complete answer to the caller.
    Answer,
    /// Reject the request; the reason shows whether it may have run.
    Refuse(Refusal),
}

/// An action and the request that it applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestAction {
    /// Number of the request, unique at its gateway.
    pub id: u64,
    /// What to do with the request.
    pub action: DispatchAction,
}
