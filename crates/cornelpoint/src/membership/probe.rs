use std::net::SocketAddr;

use crate::name::InstanceId;

/// A probe that is waiting for its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) sequence: u64,
    pub(super) target: InstanceId,
    pub(super) address: SocketAddr,
    pub(super) sent_ms: u64,
    pub(super) indirect_sent: bool,
}

/// A probe on behalf of another member, to which the answer is forwarded.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    pub(super) sequence: u64,
    pub(super) requester_sequence: u64,
    pub(super) requester: SocketAddr,
    pub(super) sent_ms: u64,
}
