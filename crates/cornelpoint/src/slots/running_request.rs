//! One request that runs in a slot.

use crate::name::InstanceId;

/// Where and since when a request runs.
#[derive(Clone, Debug)]
pub(super) struct RunningRequest {
    pub(super) endpoint: InstanceId,
    pub(super) started_ms: u64,
}
