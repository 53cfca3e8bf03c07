/// Times after which ownership changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipSettings {
    /// Silence after which a peer counts as lost.
    pub silent_after_ms: u64,
    /// Time after which an owner without the store is replaced.
    pub without_store_ms: u64,
    /// From one candidate's turn to the next one's.
    pub turn_ms: u64,
    /// From the start of a process to its first claims, so that all processes
    /// that start together are heard.
    pub settle_ms: u64,
    /// Age from which an owner's sign of life in the store is too old.
    pub store_heartbeat_timeout_ms: u64,
    /// Time between an owner's signs of life in the store.
    pub store_heartbeat_interval_ms: u64,
    /// Time that a process waits longer with claims while it hears less than
    /// half of its peers: it may be cut off.
    pub partition_claim_delay_ms: u64,
    /// How long a peer that was heard counts as one.
    pub peer_kept_ms: u64,
    /// How long an owner acts without a sign from the store that it still is.
    pub max_unconfirmed_ms: u64,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            // Two heartbeats and a half; the store is asked as well.
            silent_after_ms: 1000,
            without_store_ms: 1200,
            // A claim takes some 20 ms; the rest is for a slow candidate.
            turn_ms: 400,
            settle_ms: 700,
            store_heartbeat_timeout_ms: 1500,
            // Two may be lost or late.
            store_heartbeat_interval_ms: 500,
            partition_claim_delay_ms: 1500,
            peer_kept_ms: 30_000,
            // Longer than the store's usual outages: nobody can take over
            // during one, and tasks go on.
            max_unconfirmed_ms: 6500,
        }
    }
}
