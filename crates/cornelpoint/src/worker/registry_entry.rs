use crate::job::Resources;

/// A worker's entry in the platform's registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryEntry {
    /// Identifier, which a restarted worker may keep.
    pub id: String,
    /// Pool that the worker serves.
    pub pool: String,
    /// Address as `IP:PORT`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the worker is about to leave.
    pub draining: bool,
    /// Remaining time for which the worker is slow after its start.
    pub cold_remaining_ms: u64,
    /// Total resources.
    pub capacity: Resources,
    /// Labels, such as the worker's kind and rack.
    pub labels: Vec<String>,
    /// Start of the worker's incarnation, in milliseconds since 1970.
    pub born_unix_ms: u64,
    /// Reading of the worker's clock when it wrote the entry.
    pub clock_ms: u64,
    /// Machine that the worker runs on, if it is known.
    pub machine: Option<String>,
}
