//! A request that is running in a slot.

use crate::name::InstanceId;

/// Endpoint and start time of a running request.
#[derive(Clone, Debug)]
pub(super) struct RunningRequest {
    pub(super) endpoint: InstanceId,
    pub(super) started_ms: u64,
}
