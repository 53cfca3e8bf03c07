use std::collections::BTreeMap;

/// A queue: where jobs come in and which pool runs them.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the path.
    pub path_prefix: String,
    /// Pool whose workers run the queue's tasks.
    pub pool: String,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task that end its job.
    pub max_attempts: u32,
    /// Allowed stretch over a job's longest chain, in thousandths.
    pub stretch_permille: u64,
    /// Latency objective beyond the stretched chain.
    pub objective_ms: u64,
    /// Longest that a call may take.
    pub timeout_ms: u64,
    /// Whether placement needs tickets of the advice service.
    pub advice: Option<Advice>,
}

/// How the advice service answers for a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Time of a call.
    pub decide_ms: u64,
    /// Time more for each worker named.
    pub each_ms: u64,
    /// How long a ticket holds.
    pub valid_ms: u64,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolInfo {
    /// Name.
    pub name: String,
    /// Whether workers refuse what does not fit.
    pub worker_admission_control: bool,
    /// Whether the pool's machines are off.
    pub spare: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Largest body.
    pub max_body_bytes: usize,
    /// Longest time for a request's head.
    pub header_timeout_ms: u64,
    /// Longest time without a request on a connection.
    pub idle_timeout_ms: u64,
}

/// All queues and pools of one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Version; the highest one holds.
    pub version: u64,
    /// Queues, in the order written.
    pub queues: Vec<Queue>,
    /// Pools by name.
    pub pools: BTreeMap<String, PoolInfo>,
    /// Limits on callers' requests.
    pub limits: HttpLimits,
}

impl Catalog {
    /// The queue of a request, by its host and the longest prefix.
    ///
    /// ```
    /// # use std::collections::BTreeMap;
    /// use cornelpoint::catalog::Catalog;
    /// use cornelpoint::catalog::HttpLimits;
    ///
    /// let limits = HttpLimits { max_body_bytes: 1024, header_timeout_ms: 1000, idle_timeout_ms: 1000 };
    /// let catalog = Catalog { version: 1, queues: Vec::new(), pools: BTreeMap::new(), limits };
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

    /// The queue of a name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
