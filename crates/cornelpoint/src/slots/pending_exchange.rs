//! A request to the holder that has no reply yet.

/// State kept until the reply: what was sent, and when.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingExchange {
    pub(super) sequence: u64,
    pub(super) sent_ms: u64,
    pub(super) demand: u32,
}
