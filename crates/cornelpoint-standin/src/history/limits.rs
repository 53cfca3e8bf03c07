/// Limits that the checker judges by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most requests running at once at an endpoint.
    pub running: usize,
    /// Longest time from a sign of leaving to the start of new work.
    pub leaving_ms: u64,
    /// Most by which two clocks differ.
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
