use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cornelpoint::fleet::PoolReport;
use serde::Deserialize;
use serde::Serialize;

/// Status that each process sends to all others several times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Name of the instance.
    pub(crate) node: String,
    /// Start of the process, in milliseconds since 1970.
    pub(crate) started_unix_ms: u64,
    /// Address for heartbeats and requests of peers.
    pub(crate) address: String,
    /// Whether the process is shutting down.
    pub(crate) leaving: bool,
    /// Whether the store is available to it.
    pub(crate) has_store: bool,
    /// CPU capacity of its instance, in thousandths of a core.
    pub(crate) millicores: u64,
    /// Time until its next heartbeat at the latest; 0 from processes that do not
    /// announce it.
    #[serde(default)]
    pub(crate) interval_ms: u64,
    /// Pools that it owns, by name.
    pub(crate) pools: BTreeMap<String, OwnedPool>,
    /// Pools that it has stopped to act on for good, with the fencing tokens of its last terms.
    #[serde(default)]
    pub(crate) relinquished: BTreeMap<String, u64>,
    /// Workers to vacate; set by the fleet owner only.
    pub(crate) to_vacate: Option<BTreeSet<String>>,
    /// Workers whose machines are due for maintenance; set by the fleet owner only,
    /// in some of its heartbeats to the pools' owners.
    #[serde(default)]
    pub(crate) due: Option<BTreeSet<String>>,
}

/// Status of a pool, reported by its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OwnedPool {
    /// Fencing token of the owner; the status with the highest token is valid.
    pub(crate) fencing_token: u64,
    /// Number of waiting jobs by queue.
    pub(crate) waiting: BTreeMap<String, usize>,
    /// Time since the store last confirmed what the counts are based on.
    #[serde(default = "unknown_age_ms")]
    pub(crate) view_age_ms: u64,
    /// Load and needs of the pool, for the fleet owner.
    pub(crate) report: PoolReport,
}

/// Age of the counts of processes that do not send it yet.
fn unknown_age_ms() -> u64 {
    u64::MAX
}
