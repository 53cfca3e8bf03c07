use crate::name::ServiceName;

/// A request that a caller handed in whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewRequest {
    /// Number of the request, unique at its gateway.
    pub id: u64,
    /// Service that it is for.
    pub service: ServiceName,
    /// Time by which the caller wants the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Size of the body, in bytes.
    pub body_bytes: u64,
    /// Whether it may be sent again after it may have run.
    pub idempotent: bool,
}
