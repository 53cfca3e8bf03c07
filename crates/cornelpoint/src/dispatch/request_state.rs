use crate::name::InstanceId;
use crate::name::PoolName;
use crate::name::ServiceName;
use crate::queue::RequestEntry;
use crate::retry::Attempts;
use crate::slots::SlotPermit;

/// A slot in which a request runs.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) slot: SlotPermit,
    pub(super) pool: PoolName,
    pub(super) started_ms: u64,
}

/// One request from its arrival to its last verdict.
#[derive(Clone, Debug)]
pub(super) struct RequestState {
    pub(super) service: ServiceName,
    pub(super) entry: RequestEntry,
    pub(super) idempotent: bool,
    pub(super) attempts: Attempts,
    pub(super) tried: Vec<InstanceId>,
    pub(super) running: Option<Running>,
}
