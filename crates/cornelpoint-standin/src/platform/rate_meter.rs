/// Length of the window that a rate is counted over.
const WINDOW_MS: u64 = 1000;

/// Counts events in windows of one second and refuses those over a limit.
#[derive(Debug, Default)]
pub(super) struct RateMeter {
    limit_per_s: Option<u32>,
    window: u64,
    count: u32,
    peak_per_s: u32,
    total: u64,
}

impl RateMeter {
    pub(super) fn new(limit_per_s: Option<u32>) -> Self {
        Self {
            limit_per_s,
            ..Self::default()
        }
    }

    /// Counts one event; false when it is over the limit and not counted.
    pub(super) fn take(&mut self, now_ms: u64) -> bool {
        let window = now_ms / WINDOW_MS;
        if window != self.window {
            self.window = window;
            self.count = 0;
        }
        if self.limit_per_s.is_some_and(|limit| self.count >= limit) {
            return false;
        }
        self.count += 1;
        self.total += 1;
        self.peak_per_s = self.peak_per_s.max(self.count);
        true
    }

    pub(super) fn total(&self) -> u64 {
        self.total
    }

    pub(super) fn peak_per_s(&self) -> u32 {
        self.peak_per_s
    }
}
