use std::time::Duration;

use cornelpoint::name::ServiceName;
use cornelpoint::request::Method;

/// One request of a schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Number of the request, from 1 on.
    pub number: u64,
    /// When it is due, from the start on.
    pub due: Duration,
    /// Position of its gateway.
    pub gateway: usize,
    /// Its service.
    pub service: ServiceName,
    /// GET or POST.
    pub method: Method,
    /// Idempotency key, for some of the POST requests.
    pub key: Option<String>,
}
