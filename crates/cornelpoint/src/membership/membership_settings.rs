/// Timing and limits of probes and gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Interval between two probes, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time to wait for a direct answer before indirect probes are sent, in
    /// milliseconds.
    pub direct_timeout_ms: u64,
    /// Time to wait for any answer before the member is suspected, in
    /// milliseconds.
    pub probe_timeout_ms: u64,
    /// Number of members through which an indirect probe is sent.
    pub indirect_probes: usize,
    /// Time that a suspect has to refute the suspicion, in milliseconds.
    pub suspicion_ms: u64,
    /// Most updates in one datagram, not counting the one about the receiver's
    /// own status.
    pub updates_per_message: usize,
    /// Number of times that one update is sent.
    pub update_transmissions: u32,
    /// Number of probes after which a failed member or a seed is pinged.
    pub rejoin_every_probes: u64,
    /// Time for which a member that failed or left is kept, in milliseconds.
    pub failed_retention_ms: u64,
    /// Most members that are known besides the own one. An update about a further one is
    /// ignored, unless one that failed or left can be forgotten.
    pub max_members: usize,
    /// Time without a tick from which on the process counts as paused, in
    /// milliseconds.
    pub pause_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval_ms: 200,
            direct_timeout_ms: 60,
            probe_timeout_ms: 180,
            indirect_probes: 2,
            suspicion_ms: 800,
            updates_per_message: 8,
            update_transmissions: 8,
            rejoin_every_probes: 5,
            failed_retention_ms: 600_000,
            max_members: 2_000,
            pause_ms: 1_000,
        }
    }
}
