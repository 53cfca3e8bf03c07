use std::time::Instant;

use crate::clock::unix_ms;

/// Time since the Unix epoch that does not stand still when the system's
/// clock is set back.
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

    /// The later one of the system's clock and the time run since the start,
    /// so that a deadline is never seen too late.
    pub(super) fn now_ms(&self) -> u64 {
        let run_ms = self.start.elapsed().as_millis();
        let run_ms = u64::try_from(run_ms).unwrap_or(u64::MAX);
        unix_ms().max(self.start_unix_ms.saturating_add(run_ms))
    }

    /// A coming instant in milliseconds since the Unix epoch.
    pub(super) fn millis_of(&self, instant: Instant) -> u64 {
        let left_ms = instant
            .saturating_duration_since(Instant::now())
            .as_millis();
        let left_ms = u64::try_from(left_ms).unwrap_or(u64::MAX);
        self.now_ms().saturating_add(left_ms)
    }
}
