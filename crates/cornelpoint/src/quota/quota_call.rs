use super::quota_table::QuotaTable;

/// A call to the store that a pool's quota needs. One is in progress at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaCall {
    /// Read the row.
    Read,
    /// Replace the row if it still has the version.
    Write(QuotaWrite),
}

/// A conditional write of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaWrite {
    /// Version that the row must have; 0 if it must not exist.
    pub expected_version: u64,
    /// The new value.
    pub table: QuotaTable,
}

/// The row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRow {
    /// Version of the row; 0 if it doesn't exist.
    pub version: u64,
    /// The value; `None` if it can't be decoded.
    pub table: Option<QuotaTable>,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaReply {
    /// The row was read, or returned because a condition doesn't hold.
    Row(QuotaRow),
    /// The write is committed at this version.
    Committed {
        /// New version of the row.
        version: u64,
    },
    /// Nothing was written or read.
    Refused,
    /// No answer: a write may have been carried out, or may still be if its condition
    /// holds.
    Unanswered,
}
