/// Limits and intervals of the fleet's manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// Shortest time between a predecessor's orders and the first one here.
    pub takeover_delay_ms: u64,
    /// Time of a maintenance.
    pub maintenance_ms: u64,
    /// Age up to which a pool's report is believed.
    pub report_age_ms: u64,
    /// Time in which a pool's backlog is to be worked off.
    pub drain_target_ms: u64,
    /// How long a pool is calm before machines of it rest. One that goes and
    /// comes back costs as much as three seconds of keeping it, and it is
    /// missed for as long when the next surge comes.
    pub calm_ms: u64,
    /// Machines that a pool empties at the same time.
    pub giving_at_once: usize,
    /// Time after which an order without an answer is repeated.
    pub repeat_ms: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            takeover_delay_ms: 3000,
            maintenance_ms: 2000,
            report_age_ms: 1500,
            drain_target_ms: 1000,
            calm_ms: 6000,
            giving_at_once: 3,
            repeat_ms: 1500,
        }
    }
}
