use crate::name::InstanceId;
use crate::name::PoolName;
use crate::name::ServiceName;
use crate::queue::RequestEntry;
use crate::retry::Attempts;
use crate::slots::SlotPermit;

/// One run of a request, in a slot.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) slot: SlotPermit,
    pub(super) pool: PoolName,
    pub(super) started_ms: u64,
}

/// State of a request from its arrival to its final action.
#[derive(Clone, Debug)]
pub(super) struct RequestState {
    pub(super) service: ServiceName,
    pub(super) entry: RequestEntry,
    pub(super) idempotent: bool,
    pub(super) attempts: Attempts,
    pub(super) tried: Vec<InstanceId>,
    pub(super) running: Option<Run>,
}
