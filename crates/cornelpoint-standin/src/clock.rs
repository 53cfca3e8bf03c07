//! Clock of the stand-ins and of the history recorder.

use std::sync::LazyLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Readings of the monotonic and of the system clock at the first use.
struct Origin {
    instant: Instant,
    unix: Duration,
}

static ORIGIN: LazyLock<Origin> = LazyLock::new(|| Origin {
    instant: Instant::now(),
    unix: SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default(),
});

/// Returns the milliseconds since the Unix epoch; never decreases within a
/// process.
///
/// ```
/// use cornelpoint_standin::clock::now_ms;
///
/// assert!(now_ms() <= now_ms());
/// ```
#[must_use]
pub fn now_ms() -> u64 {
    let now = ORIGIN.unix + ORIGIN.instant.elapsed();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
