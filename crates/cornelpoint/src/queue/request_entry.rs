use serde::Deserialize;
use serde::Serialize;

/// One waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEntry {
    /// Number of the request, unique at its gateway.
    pub id: u64,
    /// Time by which the answer must be there, in milliseconds.
    pub deadline_ms: u64,
    /// Size of the body, in bytes.
    pub body_bytes: u64,
}
