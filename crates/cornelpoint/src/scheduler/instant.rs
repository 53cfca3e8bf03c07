/// Time of an event by both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Instant {
    /// Monotonic clock that also counts the time that the system is suspended.
    pub steady_ms: u64,
    /// Wall clock since 1970; may step.
    pub unix_ms: u64,
}
