use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::tenant::Tenants;

/// A queue, to which callers submit jobs and whose jobs run in one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host to which callers send their requests.
    pub host: String,
    /// Prefix of the path of requests.
    pub path_prefix: String,
    /// Pool whose workers run the queue's tasks.
    pub pool: String,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Allowed duration of a job relative to its critical path, in thousandths.
    pub stretch_permille: u64,
    /// Time added to the stretched critical path to give a job's latency
    /// objective.
    pub objective_ms: u64,
    /// Maximum time to answer a caller's request.
    pub timeout_ms: u64,
    /// Parameters of the advice service, if placement needs its tickets.
    pub advice: Option<Advice>,
    /// Whether callers need no key.
    pub public: bool,
}

/// The advice service's response times and ticket validity for a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Base response time of a call.
    pub decide_ms: u64,
    /// Additional response time for each worker in the request.
    pub each_ms: u64,
    /// How long a ticket is valid.
    pub valid_ms: u64,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolInfo {
    /// Name of the pool.
    pub name: String,
    /// Whether the pool's workers reject tasks that exceed their capacity.
    pub worker_admission_control: bool,
    /// Whether this is the spare pool, whose machines are switched off.
    pub spare: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a body.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request's headers.
    pub header_timeout_ms: u64,
    /// Timeout of a connection without a request.
    pub idle_timeout_ms: u64,
}

/// All queues and pools of one configuration version.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Version of the configuration; the highest one is in force.
    pub version: u64,
    /// Queues in the order of the configuration.
    pub queues: Vec<Queue>,
    /// Pools by name.
    pub pools: BTreeMap<String, PoolInfo>,
    /// Limits on callers' requests.
    pub limits: HttpLimits,
    /// Tenants; `None` if the configuration has none, so that callers need no keys.
    pub tenants: Option<Tenants>,
}

impl Catalog {
    /// Returns the queue for a request: the one with the request's host and the
    /// longest matching path prefix. A port in `host` is ignored.
    ///
    /// ```
    /// # use std::collections::BTreeMap;
    /// use cornelpoint::catalog::Catalog;
    /// use cornelpoint::catalog::HttpLimits;
    ///
    /// let limits = HttpLimits { max_body_bytes: 1024, header_timeout_ms: 1000, idle_timeout_ms: 1000 };
    /// let catalog = Catalog {
    ///     version: 1,
    ///     queues: Vec::new(),
    ///     pools: BTreeMap::new(),
    ///     limits,
    ///     tenants: None,
    /// };
    /// assert!(catalog.queue_of("example", "/a/").is_none());
    /// ```
    #[must_use]
    pub fn queue_of(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        let matching = self.queues.iter().filter(|queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.path_prefix)
        });
        matching.max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns the queue of this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
