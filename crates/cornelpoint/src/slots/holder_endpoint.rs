use serde::Deserialize;
use serde::Serialize;

use crate::name::InstanceId;

/// State of one endpoint as passed to a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderEndpoint {
    /// The endpoint.
    pub instance: InstanceId,
    /// Sum of the epochs of the endpoint's marks over all sources, as returned
    /// by [`work_epoch`](crate::replication::ReplicatedState::work_epoch).
    /// Information with a lower epoch is outdated. An endpoint that leaves
    /// accepts work again only at a higher epoch.
    pub epoch: u64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// False once the endpoint leaves.
    pub accepts_work: bool,
}
