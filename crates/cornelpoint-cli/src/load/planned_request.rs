use std::time::Duration;

use cornelpoint::name::ServiceName;
use cornelpoint::request::Method;

/// Request of a schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Sequence number, from 1.
    pub number: u64,
    /// Time at which it is due, from the start of the load.
    pub due: Duration,
    /// Index of its gateway in the arguments.
    pub gateway: usize,
    /// Service that it is sent to.
    pub service: ServiceName,
    /// HTTP method: GET or POST.
    pub method: Method,
    /// Idempotency key, for some of the POST requests.
    pub key: Option<String>,
}
