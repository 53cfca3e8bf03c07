use serde::Deserialize;
use serde::Serialize;

/// Most endpoints of a pool fail alike, so none is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceFault {
    /// Endpoints that fail.
    pub failing: usize,
    /// Endpoints that take requests, the failing ones included.
    pub endpoints: usize,
}
