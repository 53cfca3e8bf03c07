use cornelpoint::name::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// One run of a request at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Instance of the endpoint.
    pub instance: InstanceId,
    /// Number of the run at the endpoint, starting at 1.
    pub run_number: u64,
    /// Identity of the request, from the query parameter `request` or else from
    /// the header.
    pub request: Option<String>,
    /// Idempotency key from the header.
    pub idempotency_key: Option<String>,
    /// Method as received.
    pub method: String,
    /// Path and query as received.
    pub path: String,
    /// Hash of the request's body.
    pub body_hash: u64,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// End of the run, in milliseconds since the Unix epoch; `None` while it is
    /// running.
    pub ended_ms: Option<u64>,
    /// Whether the connection closed before the run ended.
    pub abandoned: bool,
}
