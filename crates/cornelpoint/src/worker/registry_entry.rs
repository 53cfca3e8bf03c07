use crate::job::Resources;

/// A worker's entry in the platform's registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryEntry {
    /// Identity; a restarted worker may keep it.
    pub id: String,
    /// Pool that it serves.
    pub pool: String,
    /// Address, `IP:PORT`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it stays slow after its start.
    pub cold_remaining_ms: u64,
    /// What it can hold.
    pub capacity: Resources,
    /// Its kind, its rack and others.
    pub labels: Vec<String>,
    /// Start of this life, in milliseconds since 1970.
    pub born_unix_ms: u64,
    /// Its own clock when it wrote the entry.
    pub clock_ms: u64,
    /// Machine that it runs on.
    pub machine: Option<String>,
}
