//! A message to the holder that has no answer yet.

/// What is to be remembered until the answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingExchange {
    pub(super) sequence: u64,
    pub(super) since_ms: u64,
    pub(super) demand: u32,
}
