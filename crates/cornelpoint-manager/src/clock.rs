use std::time::Duration;

use cornelpoint::scheduler::Instant;
use cornelpoint_daemon::clock::unix_ms;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the current time by a monotonic clock, which also runs while the
/// machine is suspended, and by the wall clock.
pub(crate) fn now() -> Instant {
    let boot = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(boot.tv_sec).unwrap_or(0);
    let millis = u64::try_from(boot.tv_nsec / 1_000_000).unwrap_or(0);
    Instant {
        steady_ms: seconds * 1000 + millis,
        unix_ms: unix_ms(),
    }
}

/// Returns the time left until a time of the monotonic clock; zero if it has
/// passed.
pub(crate) fn until(steady_ms: u64) -> Duration {
    Duration::from_millis(steady_ms.saturating_sub(now().steady_ms))
}
