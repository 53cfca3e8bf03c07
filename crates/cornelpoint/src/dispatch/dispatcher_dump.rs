use std::net::SocketAddr;

use serde::Serialize;

use crate::ejection::EndpointStatus;
use crate::ejection::ServiceFault;
use crate::name::PoolName;
use crate::name::ServiceName;
use crate::slots::BorrowerDump;

/// State of a gateway's decisions, for `/dump`.
#[derive(Clone, Debug, Serialize)]
pub struct DispatcherDump {
    /// Requests in all, waiting and running.
    pub requests: usize,
    /// Services.
    pub lanes: Vec<LaneDump>,
    /// Pools.
    pub routes: Vec<RouteDump>,
}

/// State of one service.
#[derive(Clone, Debug, Serialize)]
pub struct LaneDump {
    /// The service.
    pub service: ServiceName,
    /// Requests that wait.
    pub waiting: usize,
    /// Bytes of their bodies.
    pub waiting_bytes: u64,
    /// Earliest deadline of those, in milliseconds of the gateway's clock.
    pub earliest_deadline_ms: Option<u64>,
    /// Requests that run.
    pub running: u32,
    /// Retries that the budget still allows.
    pub retries_left: u64,
}

/// State of one pool.
#[derive(Clone, Debug, Serialize)]
pub struct RouteDump {
    /// The pool.
    pub pool: PoolName,
    /// Health of each endpoint.
    pub endpoints: Vec<EndpointStatus>,
    /// The finding that most endpoints fail alike, if they do.
    pub service_fault: Option<ServiceFault>,
    /// Slots by availability zone.
    pub zones: Vec<ZoneDump>,
}

/// State of one pool's slots in one availability zone.
#[derive(Clone, Debug, Serialize)]
pub struct ZoneDump {
    /// Address of the holder's keeper.
    pub holder: Option<SocketAddr>,
    /// Lent slots.
    pub borrower: BorrowerDump,
}
