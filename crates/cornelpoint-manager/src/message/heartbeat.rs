use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cornelpoint::fleet::PoolReport;
use serde::Deserialize;
use serde::Serialize;

/// What each process tells all others several times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Name of the instance.
    pub(crate) node: String,
    /// Start of the process, in milliseconds since 1970.
    pub(crate) started_unix_ms: u64,
    /// Where it takes messages.
    pub(crate) address: String,
    /// Whether it is about to stop.
    pub(crate) leaving: bool,
    /// Whether the store answers it.
    pub(crate) has_store: bool,
    /// Processor of its instance, in thousandths of a core.
    pub(crate) millicores: u64,
    /// Pools that it owns.
    pub(crate) pools: BTreeMap<String, OwnedPool>,
    /// Machines that the owner of the fleet wants emptied.
    pub(crate) to_vacate: Option<BTreeSet<String>>,
}

/// What an owner tells of its pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OwnedPool {
    /// Token of its term; the highest one holds.
    pub(crate) fencing_token: u64,
    /// Waiting jobs by queue.
    pub(crate) waiting: BTreeMap<String, usize>,
    /// What the owner of the fleet needs to know.
    pub(crate) report: PoolReport,
}
