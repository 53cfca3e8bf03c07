/// Limits and intervals of a pool's scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerSettings {
    /// Lease that each order grants to a worker.
    pub lease_ms: u64,
    /// Longest lease that a worker accepts; it shortens longer ones.
    pub max_lease_ms: u64,
    /// Longest time that a worker delays its answer to a lease renewal while it
    /// waits for the next completion.
    pub renewal_wait_ms: u64,
    /// Delay of the next lease renewal after a confirmed stop, or after a
    /// report that lists completions.
    pub renewal_spacing_ms: u64,
    /// Delay before the next lease renewal of a worker that did not answer.
    pub renewal_retry_ms: u64,
    /// Longest time that a worker takes to carry out an order to stop.
    pub stop_ms: u64,
    /// Interval at which an order to stop is repeated until it takes effect.
    pub stop_repeat_ms: u64,
    /// Longest time that a batch without urgent rows waits for more rows.
    pub batch_wait_ms: u64,
    /// Time for which the status of a final job is kept.
    pub status_kept_ms: u64,
    /// Largest value of a row in the store; larger ones take several rows.
    pub row_bytes: usize,
    /// Largest number of orders to start that wait for an answer at the same time.
    /// In a surge thousands of tasks become ready at once; their orders would time
    /// out while the process is busy with the answers to the first ones.
    pub max_starts_in_flight: usize,
    /// Time for which a worker that failed a start gets no new tasks.
    pub start_penalty_ms: u64,
    /// Longest pause of the process after which tasks may be started without reading the
    /// inbox again: another process may have confirmed cancellations meanwhile. `None` where
    /// no inbox is read.
    pub max_pause_ms: Option<u64>,
    /// Whether callers compete for too little capacity, so that the loss to callers decides
    /// what is turned away, what waits and when a refused caller may retry.
    pub weighs_loss: bool,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            // Outlasts a takeover (1.5 s to detect, 1 s to rebuild the state).
            // The tasks of a lost worker are freed after the same time.
            lease_ms: 4000,
            // The longest that the platform has named.
            max_lease_ms: 10_000,
            // A quarter of the lease, so that three renewals in a row may be
            // lost.
            renewal_wait_ms: 1000,
            // Groups completions that occur close together into one report and
            // one batch.
            renewal_spacing_ms: 30,
            renewal_retry_ms: 300,
            stop_ms: 400,
            stop_repeat_ms: 400,
            batch_wait_ms: 25,
            status_kept_ms: 120_000,
            row_bytes: 65_536,
            // An eighth of a core handles as many within half the timeout of an order.
            max_starts_in_flight: 160,
            start_penalty_ms: 1000,
            max_pause_ms: None,
            weighs_loss: false,
        }
    }
}
