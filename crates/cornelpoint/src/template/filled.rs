use crate::configuration::Service;
use crate::document::Node;
use crate::name::PoolName;

/// A template with its parameters filled in, as far as it could be read.
#[derive(Clone, Debug)]
pub(crate) struct FilledTemplate {
    /// Services that could be read.
    pub(crate) services: Vec<FilledService>,
    /// Pools that could be read.
    pub(crate) pools: Vec<FilledPool>,
    /// Names of all pools, including those that could not be read.
    pub(crate) pool_names: Vec<String>,
    /// Pool that lends instances to the other pools.
    pub(crate) spare_pool: Option<PoolName>,
}

/// A service with the entry that it was read from.
#[derive(Clone, Debug)]
pub(crate) struct FilledService {
    /// The service.
    pub(crate) service: Service,
    /// Entry of the service, for findings.
    pub(crate) node: Node,
}

/// A pool as the template defines it, without endpoints.
#[derive(Clone, Debug)]
pub(crate) struct FilledPool {
    /// Name of the pool.
    pub(crate) name: PoolName,
    /// Maximum number of requests that an endpoint of the pool runs concurrently.
    pub(crate) slots: u32,
    /// Maximum number of connections that an endpoint of the pool accepts.
    pub(crate) connections: u32,
}
