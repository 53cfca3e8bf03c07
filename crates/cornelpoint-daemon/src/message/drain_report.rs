use cornelpoint::name::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// Progress of an endpoint's drain, as reported by its own availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReport {
    /// The endpoint.
    pub instance: InstanceId,
    /// Whether it accepts new work.
    pub accepts_work: bool,
    /// Whether all its requests have ended and none of its slots is lent.
    pub drained: bool,
}

/// An endpoint's announcement about itself, forwarded by a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSign {
    /// The endpoint.
    pub instance: InstanceId,
    /// Whether it accepts new work.
    pub accepts_work: bool,
    /// Work epoch of the endpoint as the gateway knows it; a keeper that knows a
    /// later one ignores the announcement.
    pub work_epoch: u64,
}
