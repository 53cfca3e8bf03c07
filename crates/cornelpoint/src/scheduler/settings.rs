/// Limits and intervals of a pool's scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerSettings {
    /// Lease that each order to a worker carries.
    pub lease_ms: u64,
    /// Longest that a look waits at a worker for the next end.
    pub renewal_wait_ms: u64,
    /// Shortest time from a report to the next look at the same worker.
    pub renewal_spacing_ms: u64,
    /// Time after which a worker that did not answer is asked again.
    pub renewal_retry_ms: u64,
    /// Time after which an order to stop is repeated.
    pub stop_repeat_ms: u64,
    /// Longest that a batch of mere progress waits for more.
    pub batch_wait_ms: u64,
    /// How long a final job's status is kept.
    pub status_kept_ms: u64,
    /// How long a worker that failed a start gets no other.
    pub start_penalty_ms: u64,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            // Outlives a takeover (1.5 s to notice, 1 s to rebuild); frees the
            // tasks of a lost worker after as long.
            lease_ms: 4000,
            // A quarter of the lease, so that three renewals may be lost.
            renewal_wait_ms: 1000,
            // Gathers the ends of one moment into one report and one batch.
            renewal_spacing_ms: 30,
            renewal_retry_ms: 300,
            stop_repeat_ms: 400,
            batch_wait_ms: 25,
            status_kept_ms: 120_000,
            start_penalty_ms: 1000,
        }
    }
}
