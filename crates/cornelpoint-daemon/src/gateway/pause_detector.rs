use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::clock::MonotonicClock;

/// Interval at which the detector reads the clock.
const TICK: Duration = Duration::from_millis(20);
/// Smallest time between two ticks that counts as a pause of the process, in
/// milliseconds.
const MIN_PAUSE_MS: u64 = 300;
/// Time after a pause in which a request that is read may have arrived during
/// the pause, in milliseconds.
const BACKLOG_MS: u64 = 500;

#[derive(Clone, Copy, Debug)]
struct Pause {
    start_ms: u64,
    end_ms: u64,
}

/// Detects pauses of the process.
///
/// A request that is read right after a pause may have waited in the operating
/// system for up to the length of the pause; how long is unknown. It is therefore
/// treated as sent when the pause began.
#[derive(Debug)]
pub(super) struct PauseDetector {
    clock: MonotonicClock,
    last_tick_ms: AtomicU64,
    last_pause: Mutex<Option<Pause>>,
}

impl PauseDetector {
    pub(super) fn new(clock: MonotonicClock) -> Self {
        Self {
            clock,
            last_tick_ms: AtomicU64::new(clock.now_ms()),
            last_pause: Mutex::new(None),
        }
    }

    /// Returns the earliest time at which a request that was read at `read_ms`
    /// may have been sent, in milliseconds since the start of the clock.
    pub(super) fn earliest_sent_ms(&self, read_ms: u64) -> u64 {
        self.update();
        let last_pause = *self
            .last_pause
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match last_pause {
            Some(pause) if (pause.start_ms..pause.end_ms + BACKLOG_MS).contains(&read_ms) => {
                pause.start_ms
            }
            _ => read_ms,
        }
    }

    /// Updates the detector at intervals until it is dropped.
    pub(super) fn run(detector: &std::sync::Weak<Self>) {
        while let Some(detector) = detector.upgrade() {
            detector.update();
            drop(detector);
            thread::sleep(TICK);
        }
    }

    fn update(&self) {
        let now_ms = self.clock.now_ms();
        let last_ms = self.last_tick_ms.fetch_max(now_ms, Ordering::AcqRel);
        if now_ms.saturating_sub(last_ms) < MIN_PAUSE_MS {
            return;
        }
        let mut last_pause = self
            .last_pause
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last_pause = Some(Pause {
            start_ms: last_ms,
            end_ms: now_ms,
        });
    }
}
