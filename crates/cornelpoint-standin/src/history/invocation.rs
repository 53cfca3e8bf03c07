use std::fmt;

use cornelpoint::name::InstanceId;
use cornelpoint::request::Method;
use serde::Deserialize;
use serde::Serialize;

/// Identifies one call; repeating a request makes a new call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Start of a call: a caller sends a request to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invocation {
    /// Gateway that the request is sent to.
    pub gateway: InstanceId,
    /// Identity of the request; a repeated call has the same one.
    pub request: String,
    /// Idempotency key, if the request has one.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: Method,
    /// Hash of the request's body.
    pub body_hash: u64,
    /// Requested size of the answer's pattern; the endpoint echoes when absent.
    pub size_bytes: Option<usize>,
    /// Start of the call, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}
