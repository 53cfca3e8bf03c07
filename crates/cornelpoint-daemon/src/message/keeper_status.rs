use cornelpoint::configuration::Generation;
use cornelpoint::membership::Member;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::replication::EndpointMark;
use serde::Deserialize;
use serde::Serialize;

/// A gateway as its keeper last heard of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// The gateway's instance.
    pub instance: InstanceId,
    /// Generation that it applies.
    pub applied: Generation,
    /// Time since it asked, in milliseconds.
    pub seen_ms_ago: u64,
}

/// A keeper as it sees itself and its surroundings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperStatus {
    /// The keeper's instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Newest generation that it knows.
    pub generation: Generation,
    /// Whether its last call to the platform was answered.
    pub platform_reachable: bool,
    /// Gateways that ask it.
    pub gateways: Vec<GatewayStatus>,
    /// Members as it sees them.
    pub members: Vec<Member>,
    /// Marks of endpoints.
    pub marks: Vec<EndpointMark>,
}
