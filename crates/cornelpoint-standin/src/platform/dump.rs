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
    /// Instances listed.
    pub instances: usize,
    /// Transactions and objects written, refused ones not counted.
    pub writes: u64,
    /// Reads, scans, objects and lists read, refused ones not counted.
    pub reads: u64,
    /// Transactions that met a conflict.
    pub conflicts: u64,
    /// Transactions committed whose answer was lost.
    pub lost_answers: u64,
    /// Requests refused because the platform was down.
    pub refused_down: u64,
    /// Requests refused because a rate was over its limit.
    pub refused_rate: u64,
    /// Most writes in one second.
    pub peak_writes_per_s: u32,
    /// Most reads in one second.
    pub peak_reads_per_s: u32,
    /// Faults in force.
    pub faults: PlatformFaults,
}
