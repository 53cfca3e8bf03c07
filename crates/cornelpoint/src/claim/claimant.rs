use serde::Deserialize;
use serde::Serialize;

use crate::name::InstanceId;

/// One run of a process that claims keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// Instance that the process runs on.
    pub instance: InstanceId,
    /// Number of the process's start; no two starts share one.
    pub incarnation: u64,
}
