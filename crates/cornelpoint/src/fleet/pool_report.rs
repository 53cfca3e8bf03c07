use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

/// A pool's load and capacity, as its owner reports them to the fleet's owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolReport {
    /// CPU of usable workers, in thousandths of a core.
    pub capacity_millicores: u64,
    /// CPU requested by long-running tasks, in thousandths of a core.
    pub lasting_millicores: u64,
    /// Accepted and unfinished work of jobs that can still meet their
    /// objective, in core-milliseconds.
    pub backlog_core_ms: u64,
    /// Accepted and unfinished work of jobs that can no longer meet their
    /// objective, in core-milliseconds.
    #[serde(default)]
    pub late_core_ms: u64,
    /// CPU needed to keep up with the work that callers currently submit, in
    /// thousandths of a core.
    #[serde(default)]
    pub offered_millicores: u64,
    /// Recently rejected work, in core-milliseconds.
    pub refused_core_ms: u64,
    /// Minimum number of workers with which every step can place its tasks.
    pub least_workers: u32,
    /// Number of usable workers.
    pub workers: u32,
    /// Workers that were to be vacated and run nothing.
    pub vacated: BTreeSet<String>,
    /// Workers that are cheapest to vacate, the cheapest first.
    pub cheapest: Vec<String>,
}
