use serde::Deserialize;
use serde::Serialize;

/// Bounds of one request queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLimits {
    /// Most requests that may wait.
    pub max_requests: usize,
    /// Most bytes of bodies that may wait.
    pub max_body_bytes: u64,
    /// Longest time from arrival to deadline, in milliseconds.
    pub max_deadline_ms: u64,
}
