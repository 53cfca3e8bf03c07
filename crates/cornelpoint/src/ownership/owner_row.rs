use serde::Deserialize;
use serde::Serialize;

/// The row in the store that names a shard's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// Instance on which the owner runs.
    pub node: String,
    /// Start of the owner's process, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// Address at which the owner receives messages.
    pub address: String,
    /// Fencing token, which increases with each change of owner.
    pub fencing_token: u64,
    /// When all leases granted by earlier owners have expired, by the store's
    /// clock, if the claim was carried out when it was sent.
    pub earlier_over_store_ms: u64,
    /// Whether the earlier owners were known to have ended when the claim was sent.
    /// Otherwise they may act on their ownership for some time after the claim was
    /// carried out, which may have been seconds later. `false` in older rows.
    #[serde(default)]
    pub earlier_ended: bool,
    /// Whether the owner grants leases only while the store, or a quorum of the workers, has
    /// confirmed it lately. `false` in older rows.
    #[serde(default)]
    pub grants_by_quorum: bool,
    /// Whether the owner has released the shard.
    pub released: bool,
}
