use cornelpoint::name::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// One run of a request at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The endpoint.
    pub instance: InstanceId,
    /// Number of the run at the endpoint, from 1.
    pub run_number: u64,
    /// Identity of the request: its query `request`, or else its header.
    pub request: Option<String>,
    /// Idempotency key, from its header.
    pub idempotency_key: Option<String>,
    /// Method as it came.
    pub method: String,
    /// Path and query as they came.
    pub path: String,
    /// Hash of the request's body.
    pub body_hash: u64,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// End of the run; none while it goes on.
    pub ended_ms: Option<u64>,
    /// Whether the connection closed before the run was over.
    pub abandoned: bool,
}
