use serde::Serialize;

/// What a claim store holds and has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClaimStoreDump {
    /// Requests whose claim is not decided.
    pub undecided: usize,
    /// Rows that wait to be written or whose write runs.
    pub open_rows: usize,
    /// Claims granted since the start.
    pub granted: u64,
    /// Requests refused since the start.
    pub refused: u64,
    /// Repeats answered with a stored answer since the start.
    pub repeats_answered: u64,
    /// Transactions sent since the start.
    pub transactions: u64,
    /// Calls of the table whose answer was lost, since the start.
    pub lost_calls: u64,
}
