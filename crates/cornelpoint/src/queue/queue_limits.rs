use serde::Deserialize;
use serde::Serialize;

/// Limits of one request queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLimits {
    /// Maximum number of queued requests.
    pub max_requests: usize,
    /// Maximum total size of queued bodies, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time from arrival to deadline, in milliseconds.
    pub max_deadline_ms: u64,
}
