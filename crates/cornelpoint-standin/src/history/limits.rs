/// Limits that the checker enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of requests running at once on an endpoint.
    pub running: usize,
    /// Maximum time from a leaving notice to the start of a new run.
    pub leaving_ms: u64,
    /// Maximum difference between two clocks.
    pub clock_error_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            running: 8,
            leaving_ms: 2000,
            clock_error_ms: 5,
        }
    }
}
