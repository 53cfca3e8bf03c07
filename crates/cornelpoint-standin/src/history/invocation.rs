use std::fmt;

use cornelpoint::name::InstanceId;
use cornelpoint::request::Method;
use serde::Deserialize;
use serde::Serialize;

/// One call; a caller that repeats its request makes a new call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// A caller sends a request to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invocation {
    /// The gateway.
    pub gateway: InstanceId,
    /// Identity of the request, the same in each call that repeats it.
    pub request: String,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Method.
    pub method: Method,
    /// Hash of the request's body.
    pub body_hash: u64,
    /// Size of the pattern asked for; an echo when absent.
    pub size_bytes: Option<usize>,
    /// Start of the call.
    pub started_ms: u64,
}
