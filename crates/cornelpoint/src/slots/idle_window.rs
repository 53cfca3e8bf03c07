//! Finds slots that were not used during a time window.

/// Peak number of slots in use since the window started.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleWindow {
    start_ms: u64,
    peak: u32,
}

impl IdleWindow {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            start_ms: now_ms,
            peak: 0,
        }
    }

    /// Records the number of slots in use.
    pub(super) fn record(&mut self, used: u32) {
        self.peak = self.peak.max(used);
    }

    /// Returns the peak once the window has lasted for `length_ms`.
    pub(super) fn peak(&self, length_ms: u64, now_ms: u64) -> Option<u32> {
        (now_ms >= self.start_ms + length_ms).then_some(self.peak)
    }

    /// Starts the next window, with `used` slots in use.
    pub(super) fn restart(&mut self, used: u32, now_ms: u64) {
        self.start_ms = now_ms;
        self.peak = used;
    }
}
