/// Timeouts and intervals of ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipSettings {
    /// Time without a heartbeat after which a peer counts as unresponsive, unless
    /// it sends them at long intervals.
    pub peer_timeout_ms: u64,
    /// Time without a heartbeat after which any peer counts as unresponsive, in
    /// percent of the interval that it has announced.
    pub peer_timeout_percent: u64,
    /// Time after which an owner that can't reach the store is replaced.
    pub store_loss_timeout_ms: u64,
    /// Delay between the claims of successive candidates for a shard.
    pub claim_stagger_ms: u64,
    /// Delay from the start of a process to its first claims, so that processes
    /// that start together receive each other's heartbeats first.
    pub startup_delay_ms: u64,
    /// Age from which a store heartbeat no longer shows that the owner is
    /// healthy.
    pub store_heartbeat_timeout_ms: u64,
    /// Interval between an owner's store heartbeats.
    pub store_heartbeat_interval_ms: u64,
    /// Additional delay of the claims of a process for which fewer than half of
    /// all processes are responsive, because it may be partitioned.
    pub partition_claim_delay_ms: u64,
    /// How long a peer is counted after its last heartbeat.
    pub peer_retention_ms: u64,
    /// How long an owner acts without confirmation by the store that it still
    /// owns the shard.
    pub max_unconfirmed_ms: u64,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            // The store heartbeat is checked as well.
            peer_timeout_ms: 1000,
            peer_timeout_percent: 250,
            store_loss_timeout_ms: 1200,
            // A claim takes about 20 ms; the rest allows for a slow candidate.
            claim_stagger_ms: 400,
            startup_delay_ms: 700,
            store_heartbeat_timeout_ms: 1500,
            // Up to two heartbeats may be lost or late.
            store_heartbeat_interval_ms: 500,
            partition_claim_delay_ms: 1500,
            peer_retention_ms: 30_000,
            // Longer than usual outages of the store, during which no process
            // can take over and tasks continue to run.
            max_unconfirmed_ms: 6500,
        }
    }
}
