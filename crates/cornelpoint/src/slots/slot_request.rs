use serde::Deserialize;
use serde::Serialize;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;
use crate::name::PoolName;

/// A gateway's report to the holder of one pool and availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The gateway.
    pub gateway: InstanceId,
    /// Incarnation of the gateway process: its start time, in milliseconds
    /// since the Unix epoch. A higher value is newer.
    pub incarnation: u64,
    /// Sequence number of the request, increasing within an incarnation.
    pub sequence: u64,
    /// Term of the holder that last replied, if any.
    #[serde(default)]
    pub holder_term: Option<u64>,
    /// The pool.
    pub pool: PoolName,
    /// The availability zone.
    pub availability_zone: AvailabilityZone,
    /// Requests queued at the gateway for a slot of this pool and zone.
    pub queued: u32,
    /// Remaining time to the earliest deadline among them, in milliseconds.
    pub earliest_deadline_in_ms: Option<u64>,
    /// The slots in which the gateway runs requests, or may start them before
    /// it receives the reply. Endpoints without such slots are omitted.
    pub held: Vec<HeldSlots>,
    /// Endpoints from which the gateway wants no slots for the time being.
    pub avoided: Vec<InstanceId>,
}

/// A gateway's slots at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlots {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Slots in which requests are running or may be started.
    pub count: u32,
    /// Slots in which requests are running.
    pub in_use: u32,
}
