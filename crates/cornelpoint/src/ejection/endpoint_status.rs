use serde::Deserialize;
use serde::Serialize;

use super::standing::Condition;
use super::verdict::Verdict;
use crate::name::InstanceId;

/// What is known of one endpoint, for dumps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub instance: InstanceId,
    /// Newest epoch seen of it, 0 when none was.
    pub epoch: u64,
    /// Its condition.
    pub condition: Condition,
    /// Whether its latest outcomes are bad.
    pub suspect: bool,
    /// Whether it may have a request.
    pub verdict: Verdict,
    /// Its typical latency, in microseconds.
    pub typical_us: Option<u64>,
}
