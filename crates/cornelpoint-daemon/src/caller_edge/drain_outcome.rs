/// Outcome of waiting for the last connections to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// All connections are closed.
    Idle,
    /// The deadline passed while connections were open.
    Busy {
        /// Number of connections still open.
        connections: usize,
    },
}
