use cornelpoint::configuration::Configuration;
use cornelpoint::membership::Member;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::PoolName;
use cornelpoint::replication::EndpointMark;
use cornelpoint::slots::HolderDump;
use serde::Serialize;

use crate::message::GatewayStatus;

/// One slot holder of a keeper.
#[derive(Clone, Debug, Serialize)]
pub struct HolderEntry {
    /// Pool whose slots it lends.
    pub pool: PoolName,
    /// Availability zone of the endpoints.
    pub availability_zone: AvailabilityZone,
    /// State of the holder.
    pub holder: HolderDump,
}

/// Whole state of a keeper, served at `/dump`.
#[derive(Clone, Debug, Serialize)]
pub struct KeeperDump {
    /// The keeper's instance.
    pub instance: InstanceId,
    /// Milliseconds since the keeper started.
    pub now_ms: u64,
    /// Whether the last poll of the platform succeeded.
    pub platform_reachable: bool,
    /// Number of pauses of the process that were detected.
    pub pauses: u64,
    /// Configuration in force.
    pub configuration: Option<Configuration>,
    /// All members, whatever their status.
    pub members: Vec<Member>,
    /// Endpoint marks.
    pub marks: Vec<EndpointMark>,
    /// Gateways that poll this keeper.
    pub gateways: Vec<GatewayStatus>,
    /// Slot holders that run on this keeper.
    pub holders: Vec<HolderEntry>,
}
