use crate::name::ServiceName;

/// A request that the gateway has received completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewRequest {
    /// Number of the request, unique at its gateway.
    pub id: u64,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Time by which the caller needs the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Size of the body, in bytes.
    pub body_bytes: u64,
    /// Whether the request may be sent again after it may have run.
    pub idempotent: bool,
}
