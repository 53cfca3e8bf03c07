use crate::configuration::Service;
use crate::document::Node;
use crate::name::PoolName;

/// A template with parameters filled in, as far as it could be read.
#[derive(Clone, Debug)]
pub(crate) struct FilledTemplate {
    /// Services that could be read.
    pub(crate) services: Vec<FilledService>,
    /// Pools that could be read.
    pub(crate) pools: Vec<FilledPool>,
    /// Names of all pools, those that could not be read included.
    pub(crate) pool_names: Vec<String>,
    /// Pool that lends instances to the others.
    pub(crate) spare_pool: Option<PoolName>,
}

/// A service and the entry that it was read from.
#[derive(Clone, Debug)]
pub(crate) struct FilledService {
    /// The service.
    pub(crate) service: Service,
    /// Its entry.
    pub(crate) node: Node,
}

/// A pool without its endpoints.
#[derive(Clone, Debug)]
pub(crate) struct FilledPool {
    /// Name of the pool.
    pub(crate) name: PoolName,
    /// Requests that an endpoint of the pool runs at once.
    pub(crate) slots: u32,
    /// Connections that an endpoint of the pool takes.
    pub(crate) connections: u32,
}
