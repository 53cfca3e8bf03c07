use std::time::Instant;

use crate::clock::unix_ms;

/// Time since the Unix epoch that keeps advancing when the system clock is set
/// back.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimClock {
    start: Instant,
    start_unix_ms: u64,
}

impl ClaimClock {
    pub(super) fn start() -> Self {
        Self {
            start: Instant::now(),
            start_unix_ms: unix_ms(),
        }
    }

    /// Returns the later of the system clock and the start time plus the time
    /// elapsed since, so that a deadline is never noticed too late.
    pub(super) fn now_ms(&self) -> u64 {
        let elapsed_ms = self.start.elapsed().as_millis();
        let elapsed_ms = u64::try_from(elapsed_ms).unwrap_or(u64::MAX);
        unix_ms().max(self.start_unix_ms.saturating_add(elapsed_ms))
    }

    /// Converts a future instant to milliseconds since the Unix epoch.
    pub(super) fn millis_of(&self, instant: Instant) -> u64 {
        let left_ms = instant
            .saturating_duration_since(Instant::now())
            .as_millis();
        let left_ms = u64::try_from(left_ms).unwrap_or(u64::MAX);
        self.now_ms().saturating_add(left_ms)
    }
}
