/// Length of the window over which a rate is counted.
const WINDOW_MS: u64 = 1000;

/// Counts events in windows of one second and rejects those over a limit.
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

    /// Counts one event; returns false, without counting it, if it is over the
    /// limit.
    pub(super) fn try_count(&mut self, now_ms: u64) -> bool {
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
