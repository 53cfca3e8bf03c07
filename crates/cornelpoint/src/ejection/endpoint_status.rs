use serde::Deserialize;
use serde::Serialize;

use super::admission_state::Condition;
use super::verdict::Verdict;
use crate::name::InstanceId;

/// Health of one endpoint, for dumps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Instance of the endpoint.
    pub instance: InstanceId,
    /// Highest epoch observed of the endpoint; 0 if none was observed.
    pub epoch: u64,
    /// Condition of the endpoint.
    pub condition: Condition,
    /// Whether the latest requests failed, hung or were slow.
    pub suspect: bool,
    /// Whether the endpoint may be sent a request.
    pub verdict: Verdict,
    /// Typical latency, in microseconds; `None` while there are too few samples.
    pub typical_us: Option<u64>,
}
