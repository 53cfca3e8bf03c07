use serde::Deserialize;
use serde::Serialize;

/// More than half of the endpoints of a pool fail, so none is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceFault {
    /// Number of endpoints that fail.
    pub failing: usize,
    /// Number of endpoints that are neither leaving nor down, the failing ones
    /// included.
    pub endpoints: usize,
}
