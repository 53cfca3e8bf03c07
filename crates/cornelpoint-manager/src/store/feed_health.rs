/// How the reads that follow a table have gone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FeedHealth {
    /// When the last successful read was sent, by the monotonic clock; at first
    /// when the reads began.
    confirmed_ms: u64,
    failing: bool,
}

impl FeedHealth {
    /// Starts without failures.
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            confirmed_ms: now_ms,
            failing: false,
        }
    }

    /// Returns the time since a read that succeeded was sent: the age of what is
    /// known of the table.
    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// Records a successful read. Returns whether the one before had failed.
    pub(crate) fn succeeded(&mut self, sent_ms: u64) -> bool {
        self.confirmed_ms = self.confirmed_ms.max(sent_ms);
        std::mem::replace(&mut self.failing, false)
    }

    /// Records a failed read. Returns whether it is the first of a series.
    pub(crate) fn failed(&mut self) -> bool {
        !std::mem::replace(&mut self.failing, true)
    }
}
