use cornelpoint::configuration::Configuration;
use cornelpoint::membership::Member;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::PoolName;
use cornelpoint::replication::EndpointMark;
use cornelpoint::slots::HolderDump;
use serde::Serialize;

use crate::message::GatewayStatus;

/// One holder of a keeper.
#[derive(Clone, Debug, Serialize)]
pub struct HolderEntry {
    /// Pool of the endpoints.
    pub pool: PoolName,
    /// Zone of the endpoints.
    pub availability_zone: AvailabilityZone,
    /// State of the holder.
    pub holder: HolderDump,
}

/// All that a keeper knows, for `/dump`.
#[derive(Clone, Debug, Serialize)]
pub struct KeeperDump {
    /// The keeper's instance.
    pub instance: InstanceId,
    /// Milliseconds since the keeper started.
    pub now_ms: u64,
    /// Whether the last call to the platform was answered.
    pub platform_reachable: bool,
    /// Pauses of the process that were noticed.
    pub pauses: u64,
    /// Configuration in force.
    pub configuration: Option<Configuration>,
    /// Members, whatever their status.
    pub members: Vec<Member>,
    /// Marks of endpoints.
    pub marks: Vec<EndpointMark>,
    /// Gateways that ask this keeper.
    pub gateways: Vec<GatewayStatus>,
    /// Slots that this keeper lends.
    pub holders: Vec<HolderEntry>,
}
