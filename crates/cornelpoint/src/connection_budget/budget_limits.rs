/// Limits of one table of connections, and what each connection counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// What the connections, their bodies and their answers may hold together, in bytes.
    pub max_bytes: usize,
    /// The same as far as a large body may add to it, in bytes. While large ones are answered
    /// they can't be closed, and small ones need room.
    pub large_body_bytes: usize,
    /// What a connection counts for beside its body, in bytes.
    pub connection_bytes: usize,
    /// What a body counts for beside its own buffer, in bytes.
    pub body_bytes: usize,
}

/// Returns a part of a value, in thousandths.
///
/// ```
/// use cornelpoint::connection_budget::permille;
///
/// assert_eq!(permille(160_000_000, 375), 60_000_000);
/// ```
#[must_use]
pub fn permille(value: u64, part: u64) -> usize {
    usize::try_from(value.saturating_mul(part) / 1000).unwrap_or(usize::MAX)
}
