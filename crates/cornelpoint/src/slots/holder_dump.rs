use serde::Deserialize;
use serde::Serialize;

use crate::name::InstanceId;

use super::slot_request::HeldSlots;

/// State of a [`Holder`](super::Holder), for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderDump {
    /// Whether the holder is new and lends only what it saw given back.
    pub adopting: bool,
    /// The endpoints, in the order of their names.
    pub endpoints: Vec<EndpointDump>,
    /// The gateways with slots or demand, in the order of their names.
    pub gateways: Vec<GatewayDump>,
}

/// One endpoint of a [`HolderDump`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDump {
    /// The endpoint.
    pub instance: InstanceId,
    /// Its epoch.
    pub epoch: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Slots lent, those in lapsed leases with them.
    pub lent: u32,
    /// Whether it takes new work.
    pub accepts_work: bool,
    /// Whether every slot is back and every request over.
    pub drained: bool,
}

/// One gateway of a [`HolderDump`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayDump {
    /// The gateway.
    pub gateway: InstanceId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Requests that waited at its last report.
    pub queued: u32,
    /// Time left to its lease, in milliseconds; zero when it has lapsed.
    pub lease_left_ms: u64,
    /// The slots lent to it.
    pub held: Vec<HeldSlots>,
}
