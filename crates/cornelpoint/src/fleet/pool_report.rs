use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

/// What a pool's owner tells the owner of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolReport {
    /// Processor of usable workers, in thousandths of a core.
    pub capacity_millicores: u64,
    /// Processor that long-running tasks ask for.
    pub lasting_millicores: u64,
    /// Accepted work that is not done, in core-milliseconds, of jobs that can
    /// still be of full use.
    pub backlog_core_ms: u64,
    /// The same of jobs that can't.
    #[serde(default)]
    pub late_core_ms: u64,
    /// Processor that the work asks for that callers hand in now.
    #[serde(default)]
    pub offered_millicores: u64,
    /// Work that was turned away lately, in core-milliseconds.
    pub refused_core_ms: u64,
    /// Fewest workers on which each step finds its places.
    pub least_workers: u32,
    /// Usable workers.
    pub workers: u32,
    /// Workers that were to be emptied and run nothing.
    pub vacated: BTreeSet<String>,
    /// Workers that are cheapest to give up, the cheapest first.
    pub cheapest: Vec<String>,
}
