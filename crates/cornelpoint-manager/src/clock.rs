use std::time::Duration;

use cornelpoint::scheduler::Instant;
use cornelpoint_daemon::clock::unix_ms;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// The time by a steady clock that also counts while the machine is
/// suspended, and by the time of day.
pub(crate) fn now() -> Instant {
    let boot = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(boot.tv_sec).unwrap_or(0);
    let millis = u64::try_from(boot.tv_nsec / 1_000_000).unwrap_or(0);
    Instant {
        steady_ms: seconds * 1000 + millis,
        unix_ms: unix_ms(),
    }
}

/// The time from now to a moment of the steady clock.
pub(crate) fn until(steady_ms: u64) -> Duration {
    Duration::from_millis(steady_ms.saturating_sub(now().steady_ms))
}
