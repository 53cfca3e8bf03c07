use serde::Deserialize;
use serde::Serialize;

use crate::name::InstanceId;

/// One endpoint as a holder is told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderEndpoint {
    /// The endpoint.
    pub instance: InstanceId,
    /// Count of the endpoint's starts or moves. News of a lower one is out
    /// of date, and at the same one an endpoint that leaves never comes back.
    pub epoch: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// False from when the endpoint leaves.
    pub accepts_work: bool,
}
