use cornelpoint::name::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// How far the drain of an endpoint is, by the word of its own zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReport {
    /// The endpoint.
    pub instance: InstanceId,
    /// Whether it takes new work.
    pub accepts_work: bool,
    /// Whether every request on it is over and no slot of it is lent.
    pub drained: bool,
}

/// A gateway passes on what an endpoint said of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// The endpoint.
    pub instance: InstanceId,
    /// Whether it takes new work.
    pub accepts_work: bool,
    /// Order of the endpoint's states that the gateway knew; a keeper that
    /// knows a later one passes the sign over.
    pub work_epoch: u64,
}
