use serde::Deserialize;
use serde::Serialize;

use super::faults::PlatformFaults;

/// State and counters of the platform stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformDump {
    /// Rows in all tables.
    pub rows: usize,
    /// Objects in the store.
    pub objects: usize,
    /// Instances in the instance list.
    pub instances: usize,
    /// Transactions and object writes, without rejected ones.
    pub writes: u64,
    /// Row reads, scans, object reads and list reads, without rejected ones.
    pub reads: u64,
    /// Transactions that ended in a conflict.
    pub conflicts: u64,
    /// Transactions that were processed, but whose answer was lost.
    pub lost_answers: u64,
    /// Requests rejected because the platform was down.
    pub refused_down: u64,
    /// Requests rejected because a rate limit was reached.
    pub refused_rate: u64,
    /// Peak number of writes in one second.
    pub peak_writes_per_s: u32,
    /// Peak number of reads in one second.
    pub peak_reads_per_s: u32,
    /// Faults in force.
    pub faults: PlatformFaults,
}
