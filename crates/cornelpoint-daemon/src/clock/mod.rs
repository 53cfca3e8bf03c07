//! Time as the library's parts take it.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A clock that never goes back, counted from its start.
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

    /// An instant as milliseconds since the start; zero before it.
    #[must_use]
    pub fn millis_of(&self, instant: Instant) -> u64 {
        let elapsed = instant.saturating_duration_since(self.start);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    /// The instant of a number of milliseconds since the start.
    #[must_use]
    pub fn instant_of(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }
}

/// Milliseconds since 1970 by the system's clock, for records and first
/// incarnations only; it may step.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
