use std::net::SocketAddr;

use serde::Serialize;

use crate::ejection::EndpointStatus;
use crate::ejection::ServiceFault;
use crate::name::PoolName;
use crate::name::ServiceName;
use crate::slots::BorrowerDump;

/// State of a gateway's dispatcher, for `/dump`.
#[derive(Clone, Debug, Serialize)]
pub struct DispatcherDump {
    /// Number of requests that are waiting or running.
    pub requests: usize,
    /// State of each service.
    pub lanes: Vec<LaneDump>,
    /// State of each pool.
    pub routes: Vec<RouteDump>,
}

/// State of one service.
#[derive(Clone, Debug, Serialize)]
pub struct LaneDump {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of queued requests.
    pub waiting: usize,
    /// Total size of their bodies, in bytes.
    pub waiting_bytes: u64,
    /// Earliest of their deadlines, in milliseconds of the gateway's clock.
    pub earliest_deadline_ms: Option<u64>,
    /// Number of requests that hold a slot.
    pub running: u32,
    /// Number of retries that the budget still allows.
    pub retries_left: u64,
}

/// State of one pool.
#[derive(Clone, Debug, Serialize)]
pub struct RouteDump {
    /// Name of the pool.
    pub pool: PoolName,
    /// Health of each endpoint.
    pub endpoints: Vec<EndpointStatus>,
    /// Set while most endpoints of the pool fail.
    pub service_fault: Option<ServiceFault>,
    /// Slots lent to the gateway, by availability zone.
    pub zones: Vec<ZoneDump>,
}

/// State of one pool's slots in one availability zone.
#[derive(Clone, Debug, Serialize)]
pub struct ZoneDump {
    /// Address of the keeper that holds the slots; `None` when there is none.
    pub holder: Option<SocketAddr>,
    /// Slots lent to the gateway.
    pub borrower: BorrowerDump,
}
