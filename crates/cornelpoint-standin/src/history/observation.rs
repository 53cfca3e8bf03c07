use cornelpoint::configuration::Generation;
use cornelpoint::name::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// A sign that an endpoint leaves: by the list, by itself or by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingSign {
    /// The endpoint.
    pub instance: InstanceId,
    /// When the sign was given.
    pub from_ms: u64,
    /// When the endpoint was back, if it came back.
    pub until_ms: Option<u64>,
}

/// A process or an endpoint is told to stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// What stops: a gateway or an endpoint.
    pub instance: InstanceId,
    /// When it was told to.
    pub at_ms: u64,
}

/// A process says which generation it applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationSeen {
    /// The process.
    pub process: String,
    /// The generation.
    pub generation: Generation,
    /// When it was seen.
    pub at_ms: u64,
}
