use serde::Deserialize;
use serde::Serialize;

/// One queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEntry {
    /// Number of the request, unique within its gateway.
    pub id: u64,
    /// Time by which the answer is due, in milliseconds.
    pub deadline_ms: u64,
    /// Size of the body, in bytes.
    pub body_bytes: u64,
}
