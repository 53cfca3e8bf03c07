//! Clocks in the units that the library uses.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Monotonic clock that counts from its start.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts the clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    ///
    /// ```
    /// use cornelpoint_daemon::clock::MonotonicClock;
    ///
    /// let clock = MonotonicClock::start();
    /// assert!(clock.now_ms() <= clock.now_ms());
    /// ```
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.millis_of(Instant::now())
    }

    /// Converts an instant to milliseconds since the start; zero if earlier.
    #[must_use]
    pub fn millis_of(&self, instant: Instant) -> u64 {
        let elapsed = instant.saturating_duration_since(self.start);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    /// Converts milliseconds since the start to an instant.
    #[must_use]
    pub fn instant_of(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }
}

/// Milliseconds since the Unix epoch by the system clock. The clock may step, so
/// it is only for stored times and for the incarnation that a process starts with.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
