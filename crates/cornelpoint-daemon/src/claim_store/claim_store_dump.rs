use serde::Serialize;

/// State and counters of a claim store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClaimStoreDump {
    /// Requests whose claim is pending.
    pub undecided: usize,
    /// Rows whose write is queued or in progress.
    pub open_rows: usize,
    /// Claims granted since the start.
    pub granted: u64,
    /// Requests refused since the start.
    pub refused: u64,
    /// Repeated requests answered with a stored answer since the start.
    pub repeats_answered: u64,
    /// Transactions sent since the start.
    pub transactions: u64,
    /// Calls to the table service whose answer was lost, since the start.
    pub lost_calls: u64,
}
