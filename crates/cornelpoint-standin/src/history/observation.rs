use cornelpoint::configuration::Generation;
use cornelpoint::name::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// A notice that an endpoint is leaving, given by the instance list, the
/// endpoint or an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Instance of the endpoint.
    pub instance: InstanceId,
    /// When the notice was given.
    pub from_ms: u64,
    /// When the endpoint returned, if it did.
    pub until_ms: Option<u64>,
}

/// A process or an endpoint is asked to stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// The gateway or endpoint that stops.
    pub instance: InstanceId,
    /// When it was asked to stop.
    pub at_ms: u64,
}

/// A process reports which generation it applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationSeen {
    /// Name of the process.
    pub process: String,
    /// Generation that the process applies.
    pub generation: Generation,
    /// When it was observed.
    pub at_ms: u64,
}
