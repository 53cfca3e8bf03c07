/// Bounds of a [`ClaimBatcher`](super::ClaimBatcher).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Most rows that one transaction writes.
    pub batch_rows: usize,
    /// Most bytes of rows in one transaction, unless one row is larger.
    pub batch_bytes: usize,
    /// Transactions a second, in the long run.
    pub writes_per_s: u64,
    /// Transactions that may follow each other at once.
    pub write_burst: u64,
    /// Calls of the store that run at once.
    pub max_concurrent_calls: usize,
    /// Claims that wait.
    pub queued_claims: usize,
    /// Settlements and releases that wait.
    pub queued_settlements: usize,
    /// Bytes of answers that wait.
    pub queued_answer_bytes: usize,
    /// Time for which a settlement or a release is tried, in milliseconds.
    pub settlement_patience_ms: u64,
    /// First pause after a lost call, in milliseconds.
    pub first_backoff_ms: u64,
    /// Longest pause after a lost call, in milliseconds.
    pub longest_backoff_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            batch_rows: 128,
            batch_bytes: 512 * 1024,
            writes_per_s: 20,
            write_burst: 4,
            max_concurrent_calls: 2,
            queued_claims: 4096,
            queued_settlements: 4096,
            queued_answer_bytes: 4 * 1024 * 1024,
            settlement_patience_ms: 5 * 60 * 1000,
            first_backoff_ms: 50,
            longest_backoff_ms: 2000,
        }
    }
}
