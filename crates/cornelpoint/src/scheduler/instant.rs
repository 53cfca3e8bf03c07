/// The time of an event, by both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Instant {
    /// By a steady clock that counts suspended time, too.
    pub steady_ms: u64,
    /// Since 1970; may step.
    pub unix_ms: u64,
}
