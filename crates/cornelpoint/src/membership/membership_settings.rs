/// Times and counts of the probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time from one probe to the next, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time for a direct answer before others are asked, in milliseconds.
    pub direct_timeout_ms: u64,
    /// Time for any answer before suspicion, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Members that are asked to probe when a direct answer is late.
    pub indirect_probes: usize,
    /// Time that a suspect has to refute, in milliseconds.
    pub suspicion_ms: u64,
    /// Most words of news in one datagram.
    pub updates_per_message: usize,
    /// Times that a word of news is sent on.
    pub update_transmissions: u32,
    /// Every how many probes a failed member or a seed is tried.
    pub rejoin_every_probes: u64,
    /// Time that a failed member is remembered, in milliseconds.
    pub failed_retention_ms: u64,
    /// Time without a tick after which the process was paused, in milliseconds.
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
            pause_ms: 1_000,
        }
    }
}
