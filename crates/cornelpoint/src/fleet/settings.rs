/// Limits and intervals of the fleet manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// Minimum time between a predecessor's orders and this owner's first one.
    pub takeover_delay_ms: u64,
    /// Duration of one machine's maintenance.
    pub maintenance_ms: u64,
    /// Age up to which a pool's report is used.
    pub max_report_age_ms: u64,
    /// Target time for completing a pool's backlog.
    pub backlog_target_ms: u64,
    /// How long a pool must have had a surplus before its machines return to
    /// the spare pool. Moving a machine to the spare pool and back costs as
    /// much as keeping it for three seconds, and the pool lacks it for as long
    /// at the next surge.
    pub surplus_hold_ms: u64,
    /// Maximum number of machines that a pool vacates at the same time when it
    /// returns machines to the spare pool.
    pub max_vacating_per_pool: usize,
    /// Time after which an unanswered order is retried.
    pub order_retry_ms: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            takeover_delay_ms: 3000,
            maintenance_ms: 2000,
            max_report_age_ms: 1500,
            backlog_target_ms: 1000,
            surplus_hold_ms: 6000,
            max_vacating_per_pool: 3,
            order_retry_ms: 1500,
        }
    }
}
