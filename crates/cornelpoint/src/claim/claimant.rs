use serde::Deserialize;
use serde::Serialize;

use crate::name::InstanceId;

/// Incarnation of a process that claims keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// Instance on which the process runs.
    pub instance: InstanceId,
    /// Incarnation of the process: its start time, in milliseconds since the
    /// Unix epoch. No two starts of the process share one.
    pub incarnation: u64,
}
