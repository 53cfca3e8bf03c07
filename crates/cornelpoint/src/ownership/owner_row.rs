use serde::Deserialize;
use serde::Serialize;

/// The row that names a shard's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// Name of the owner's instance.
    pub node: String,
    /// Start of the owner's process, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// Where the owner takes messages.
    pub address: String,
    /// Rises with each change of owner.
    pub fencing_token: u64,
    /// When all leases of earlier owners have ended, by the store's clock.
    pub earlier_over_store_ms: u64,
    /// Whether the owner has given the shard up.
    pub released: bool,
}
