use serde::Deserialize;
use serde::Serialize;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;
use crate::name::PoolName;

/// What a gateway tells the holder of one pool and availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The gateway.
    pub gateway: InstanceId,
    /// Count of the gateway's starts; a higher one is newer.
    pub incarnation: u64,
    /// Number of the message; grows with each one of the incarnation.
    pub sequence: u64,
    /// Term of the holder that answered last, if one did.
    #[serde(default)]
    pub holder_term: Option<u64>,
    /// The pool.
    pub pool: PoolName,
    /// The availability zone.
    pub availability_zone: AvailabilityZone,
    /// Requests that wait at the gateway for a slot here.
    pub queued: u32,
    /// Time left to the earliest deadline of those, in milliseconds.
    pub earliest_deadline_in_ms: Option<u64>,
    /// The slots in which the gateway runs or may start requests until it
    /// has an answer to this message; endpoints without any are left out.
    pub held: Vec<HeldSlots>,
    /// Endpoints of which the gateway wants no slots for now.
    pub avoided: Vec<InstanceId>,
}

/// A gateway's slots at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlots {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Slots in which requests run or may be started.
    pub count: u32,
    /// Slots in which requests run.
    pub in_use: u32,
}
