/// Limits and time-outs of a [`ClaimBatcher`](super::ClaimBatcher).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Most updates in one transaction.
    pub max_batch_rows: usize,
    /// Approximate size limit of one transaction, in bytes; a single larger row
    /// is still written.
    pub max_batch_bytes: usize,
    /// Sustained rate of transactions, per second.
    pub writes_per_s: u64,
    /// Most transactions in a burst.
    pub write_burst: u64,
    /// Most store calls that run at a time.
    pub max_concurrent_calls: usize,
    /// Most claims that wait to be written.
    pub max_queued_claims: usize,
    /// Most settlements and releases that wait to be written.
    pub max_queued_settlements: usize,
    /// Approximate size limit of the settlements and releases that wait, in
    /// bytes.
    pub max_queued_answer_bytes: usize,
    /// Time for which the write of a settlement or a release is retried, in
    /// milliseconds.
    pub settlement_timeout_ms: u64,
    /// Upper bound of the backoff after the first failed call, in milliseconds.
    pub initial_backoff_ms: u64,
    /// Upper bound of the backoff after any failed call, in milliseconds.
    pub max_backoff_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            max_batch_rows: 128,
            max_batch_bytes: 512 * 1024,
            writes_per_s: 20,
            write_burst: 4,
            max_concurrent_calls: 2,
            max_queued_claims: 4096,
            max_queued_settlements: 4096,
            max_queued_answer_bytes: 4 * 1024 * 1024,
            settlement_timeout_ms: 5 * 60 * 1000,
            initial_backoff_ms: 50,
            max_backoff_ms: 2000,
        }
    }
}
