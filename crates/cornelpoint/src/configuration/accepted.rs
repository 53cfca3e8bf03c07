use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::generation::Generation;
use crate::name::AvailabilityZone;
use crate::name::InstanceId;
use crate::name::PoolName;
use crate::name::Rack;
use crate::name::ServiceName;
use crate::name::TemplateName;
use crate::name::WorkspaceName;
use crate::request::Method;

/// A template with the parameters and endpoints of a workspace filled in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of this configuration in its workspace.
    pub generation: Generation,
    /// Workspace that the configuration belongs to.
    pub workspace: WorkspaceName,
    /// Template that it was made from.
    pub template: TemplateName,
    /// Services that callers address, by their name in the path.
    pub services: Vec<Service>,
    /// Pools of endpoints.
    pub pools: Vec<Pool>,
    /// Pool that lends instances to the other pools.
    pub spare_pool: Option<PoolName>,
}

/// A service that callers address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name, the first segment of a caller's path.
    pub name: ServiceName,
    /// Pool whose endpoints serve it.
    pub pool: PoolName,
    /// Deadline of a request that specifies none, in milliseconds.
    pub deadline_ms: u64,
    /// Longest deadline that a caller may specify, in milliseconds.
    pub max_deadline_ms: u64,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Largest body of an answer, in bytes.
    pub max_answer_bytes: u64,
    /// Maximum number of requests waiting at one gateway.
    pub queue_limit: u32,
    /// Maximum size of all bodies waiting at one gateway, in bytes.
    pub queue_limit_bytes: u64,
    /// Maximum number of retries, in percent of first attempts.
    pub retry_percent: u32,
    /// Methods whose requests are retried after a failure.
    pub idempotent_methods: Vec<Method>,
    /// Share of the service's endpoints that may be unavailable at once, in percent.
    pub availability_budget_percent: u32,
    /// Peak demand that the operator expects, in requests per second.
    pub declared_peak_per_s: u32,
}

/// A pool of endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolName,
    /// Endpoints that the configuration places in the pool.
    pub endpoints: Vec<Endpoint>,
}

/// An endpoint: an instance that runs requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Rack of the instance.
    pub rack: Rack,
    /// Address for requests.
    pub address: SocketAddr,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
}
