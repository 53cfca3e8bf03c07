use cornelpoint::configuration::Generation;
use cornelpoint::membership::Member;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::replication::EndpointMark;
use serde::Deserialize;
use serde::Serialize;

/// A gateway's state at its last poll of the keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// The gateway's instance.
    pub instance: InstanceId,
    /// Configuration generation that it applies.
    pub applied: Generation,
    /// Time since its last poll, in milliseconds.
    pub seen_ms_ago: u64,
}

/// Status of a keeper and of the members and gateways that it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperStatus {
    /// The keeper's instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Newest configuration generation that it knows.
    pub generation: Generation,
    /// Whether its last poll of the platform succeeded.
    pub platform_reachable: bool,
    /// Gateways that poll it.
    pub gateways: Vec<GatewayStatus>,
    /// Members in its own view of the membership.
    pub members: Vec<Member>,
    /// Endpoint marks that it knows.
    pub marks: Vec<EndpointMark>,
}
