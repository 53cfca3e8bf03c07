use std::net::SocketAddr;

use crate::name::InstanceId;

/// A probe that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) sequence: u64,
    pub(super) target: InstanceId,
    pub(super) address: SocketAddr,
    pub(super) sent_ms: u64,
    pub(super) indirect_sent: bool,
}

/// A probe made for another member, whose answer is sent on to it.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    pub(super) sequence: u64,
    pub(super) asker_sequence: u64,
    pub(super) asker: SocketAddr,
    pub(super) sent_ms: u64,
}
