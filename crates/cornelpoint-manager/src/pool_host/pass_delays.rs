use cornelpoint::scheduler::Instant;

/// Delay of a pass that is logged: a worker's answer to an order may come late by
/// less than its timeout.
const LATE_MS: u64 = 100;
/// Shortest time between two log lines.
const LOG_INTERVAL_MS: u64 = 1000;

/// How late passes were, since the last log line. They are late while the process
/// has too little processor time.
#[derive(Debug, Default)]
pub(super) struct PassDelays {
    longest_ms: u64,
    logged_ms: u64,
}

impl PassDelays {
    /// Records the delay of a pass. Returns the longest delay if it is to be logged
    /// now.
    pub(super) fn record(&mut self, delay_ms: u64, now: Instant) -> Option<u64> {
        self.longest_ms = self.longest_ms.max(delay_ms);
        if self.longest_ms < LATE_MS || now.steady_ms < self.logged_ms + LOG_INTERVAL_MS {
            return None;
        }
        self.logged_ms = now.steady_ms;
        Some(std::mem::take(&mut self.longest_ms))
    }
}
