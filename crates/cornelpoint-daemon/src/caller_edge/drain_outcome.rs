/// What a wait for the last connections came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// No connection is left.
    Idle,
    /// The deadline passed first.
    Busy {
        /// Connections that are left.
        connections: usize,
    },
}
