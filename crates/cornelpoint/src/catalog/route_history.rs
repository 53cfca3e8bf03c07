use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::queue::Catalog;
use super::queue::Queue;
use crate::job::JobId;

/// Length of a job's identifier in the path of a request.
const ID_CHARACTERS: usize = 16;

/// A queue that callers have reached, or may have reached, by a host and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Host of the requests, in lower case.
    pub host: String,
    /// Prefix of the path of the requests.
    pub path_prefix: String,
    /// Name of the queue.
    pub queue: String,
    /// Pool of the queue at that time, where its jobs live.
    pub pool: String,
}

/// All queues that the routes of configurations have led to. A job stays in the pool that
/// took it, whatever later configurations say of its route.
///
/// ```
/// use cornelpoint::catalog::RouteHistory;
/// use cornelpoint::catalog::RouteTarget;
///
/// let mut history = RouteHistory::default();
/// history.add(RouteTarget {
///     host: "plan.example".to_owned(),
///     path_prefix: "/plan/".to_owned(),
///     queue: "plan".to_owned(),
///     pool: "planners".to_owned(),
/// });
/// let found = history.job_at("Plan.example:80", "/plan/5c0e7a21d94b36f8");
/// let (job, pools) = found.unwrap();
/// assert_eq!(job.to_string(), "5c0e7a21d94b36f8");
/// assert!(pools.contains("planners"));
/// assert!(history.job_at("plan.example", "/plans/5c0e7a21d94b36f8").is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteHistory {
    /// Queues and their pools, by host and path prefix.
    targets: BTreeMap<String, BTreeMap<String, BTreeSet<(String, String)>>>,
}

impl RouteHistory {
    /// Adds a target, which may be known already.
    pub fn add(&mut self, target: RouteTarget) {
        let prefixes = self.targets.entry(target.host).or_default();
        let targets = prefixes.entry(target.path_prefix).or_default();
        targets.insert((target.queue, target.pool));
    }

    /// Whether the route of a queue is known to lead to it.
    #[must_use]
    pub fn contains(&self, queue: &Queue) -> bool {
        let mut targets = self.targets_of(&queue.host, &queue.path_prefix);
        targets.any(|(name, pool)| name == queue.name && pool == queue.pool)
    }

    /// Returns the targets of a configuration that are not known.
    #[must_use]
    pub fn missing(&self, catalog: &Catalog) -> Vec<RouteTarget> {
        let missing = catalog.queues.iter().filter(|queue| !self.contains(queue));
        missing.map(RouteTarget::of).collect()
    }

    /// Returns the queues that requests with this host and prefix have led to, with their
    /// pools. A port in `host` is ignored.
    pub fn targets_of(
        &self,
        host: &str,
        path_prefix: &str,
    ) -> impl Iterator<Item = (&str, &str)> + use<'_> {
        let prefixes = self.targets.get(&host_key(host));
        let targets = prefixes.and_then(|prefixes| prefixes.get(path_prefix));
        let targets = targets.into_iter().flatten();
        targets.map(|(queue, pool)| (queue.as_str(), pool.as_str()))
    }

    /// Returns the job that a request is about, and the pools that it may be in; `None` if
    /// no route has ever led there.
    #[must_use]
    pub fn job_at(&self, host: &str, path: &str) -> Option<(JobId, BTreeSet<&str>)> {
        let split = path.len().checked_sub(ID_CHARACTERS)?;
        let (prefix, id) = path.split_at_checked(split)?;
        let job = id.parse().ok()?;
        let pools: BTreeSet<&str> = self
            .targets_of(host, prefix)
            .map(|(_, pool)| pool)
            .collect();
        (!pools.is_empty()).then_some((job, pools))
    }
}

impl RouteTarget {
    /// Returns what the route of a queue leads to.
    #[must_use]
    pub fn of(queue: &Queue) -> Self {
        Self {
            host: host_key(&queue.host),
            path_prefix: queue.path_prefix.clone(),
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
        }
    }
}

fn host_key(host: &str) -> String {
    let host = host.split(':').next().unwrap_or(host);
    host.to_ascii_lowercase()
}
