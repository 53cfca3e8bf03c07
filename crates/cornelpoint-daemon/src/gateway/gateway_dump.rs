use cornelpoint::configuration::Generation;
use cornelpoint::dispatch::DispatcherDump;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use serde::Serialize;

use crate::claim_store::ClaimStoreDump;

/// All that a gateway knows, for `/dump`.
#[derive(Clone, Debug, Serialize)]
pub struct GatewayDump {
    /// The gateway's instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Milliseconds since the gateway started.
    pub now_ms: u64,
    /// Generation that it applies.
    pub generation: Generation,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Connections of callers.
    pub connections: usize,
    /// Reports sent to holders since the start.
    pub exchanges: u64,
    /// Claims on idempotency keys.
    pub claims: Option<ClaimStoreDump>,
    /// Decisions.
    pub dispatcher: DispatcherDump,
}
