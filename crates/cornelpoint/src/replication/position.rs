use serde::Deserialize;
use serde::Serialize;

/// How far another process has read this one's facts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Start of the process whose facts they are.
    pub incarnation: u64,
    /// Number of its last change that was read.
    pub change: u64,
}
