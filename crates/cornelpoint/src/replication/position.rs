use serde::Deserialize;
use serde::Serialize;

/// Position up to which one process has read the changes of another's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Incarnation of the process whose changes were read.
    pub incarnation: u64,
    /// Sequence number of the last change that was read.
    pub change: u64,
}
