use cornelpoint::configuration::Generation;
use cornelpoint::dispatch::DispatcherDump;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use serde::Serialize;

use crate::claim_store::ClaimStoreDump;

/// State of a gateway, as shown by `/dump`.
#[derive(Clone, Debug, Serialize)]
pub struct GatewayDump {
    /// The gateway's instance.
    pub instance: InstanceId,
    /// The gateway's availability zone.
    pub availability_zone: AvailabilityZone,
    /// Milliseconds since the gateway started.
    pub now_ms: u64,
    /// Generation of the configuration in use; 0 if there is none yet.
    pub generation: Generation,
    /// Whether the gateway is stopping.
    pub stopping: bool,
    /// Open connections of callers.
    pub connections: usize,
    /// Batches of slot requests made to holders since the start.
    pub exchanges: u64,
    /// State of the claim store; `None` if it did not answer.
    pub claims: Option<ClaimStoreDump>,
    /// State of the dispatcher.
    pub dispatcher: DispatcherDump,
}
