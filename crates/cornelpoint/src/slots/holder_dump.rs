use serde::Deserialize;
use serde::Serialize;

use crate::name::InstanceId;

use super::slot_request::HeldSlots;

/// State of a [`Holder`](super::Holder), for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderDump {
    /// Whether the holder is new and lends only adopted slots that gateways have
    /// returned.
    pub adopting: bool,
    /// The endpoints, ordered by name.
    pub endpoints: Vec<EndpointDump>,
    /// The gateways that the holder has accounts of, ordered by name.
    pub gateways: Vec<GatewayDump>,
}

/// One endpoint of a [`HolderDump`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDump {
    /// The endpoint.
    pub instance: InstanceId,
    /// Its epoch.
    pub epoch: u64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Slots lent, including those in expired leases that cannot be reclaimed
    /// yet.
    pub lent: u32,
    /// Whether it accepts new work.
    pub accepts_work: bool,
    /// Whether all slots have been returned and all requests have ended.
    pub drained: bool,
}

/// One gateway of a [`HolderDump`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayDump {
    /// The gateway.
    pub gateway: InstanceId,
    /// Its incarnation, as in [`SlotRequest`](super::SlotRequest).
    pub incarnation: u64,
    /// Requests queued at its last report.
    pub queued: u32,
    /// Remaining time of its lease, in milliseconds; zero if it has expired.
    pub lease_left_ms: u64,
    /// The slots lent to it.
    pub held: Vec<HeldSlots>,
}
