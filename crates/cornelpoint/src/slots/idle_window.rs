//! Finds slots that stayed unused over a window of time.

/// The most slots used at once since a window began.
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

    /// Notes that so many slots are used.
    pub(super) fn note(&mut self, used: u32) {
        self.peak = self.peak.max(used);
    }

    /// The most slots used at once, when the window is at least so long.
    pub(super) fn peak(&self, length_ms: u64, now_ms: u64) -> Option<u32> {
        (now_ms >= self.start_ms + length_ms).then_some(self.peak)
    }

    /// Begins the next window, with so many slots in use.
    pub(super) fn restart(&mut self, used: u32, now_ms: u64) {
        self.start_ms = now_ms;
        self.peak = used;
    }
}
