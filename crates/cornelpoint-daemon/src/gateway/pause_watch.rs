use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::clock::MonotonicClock;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// Time without a tick after which the process was paused, in milliseconds.
const PAUSE_MS: u64 = 300;
/// Time after a pause in which what is read may have come during it, in
/// milliseconds.
const BACKLOG_MS: u64 = 500;

#[derive(Clone, Copy, Debug)]
struct Pause {
    start_ms: u64,
    end_ms: u64,
}

/// Notices pauses of the process.
///
/// What a gateway reads right after a pause may have waited in the operating
/// system for as long as the pause lasted, and nothing tells how long. Such a
/// request is taken to be as old as the pause.
#[derive(Debug)]
pub(super) struct PauseWatch {
    clock: MonotonicClock,
    last_tick_ms: AtomicU64,
    last: Mutex<Option<Pause>>,
}

impl PauseWatch {
    pub(super) fn new(clock: MonotonicClock) -> Self {
        Self {
            clock,
            last_tick_ms: AtomicU64::new(clock.now_ms()),
            last: Mutex::new(None),
        }
    }

    /// Earliest time at which a request that was read at `read_ms` may have
    /// been sent, in milliseconds.
    pub(super) fn sent_ms(&self, read_ms: u64) -> u64 {
        self.note();
        let last = *self.last.lock().unwrap_or_else(PoisonError::into_inner);
        match last {
            Some(pause) if (pause.start_ms..pause.end_ms + BACKLOG_MS).contains(&read_ms) => {
                pause.start_ms
            }
            _ => read_ms,
        }
    }

    /// Ticks until the gateway is gone.
    pub(super) fn run(watch: &std::sync::Weak<Self>) {
        while let Some(watch) = watch.upgrade() {
            watch.note();
            drop(watch);
            thread::sleep(TICK);
        }
    }

    fn note(&self) {
        let now_ms = self.clock.now_ms();
        let last_ms = self.last_tick_ms.fetch_max(now_ms, Ordering::AcqRel);
        if now_ms.saturating_sub(last_ms) < PAUSE_MS {
            return;
        }
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        *last = Some(Pause {
            start_ms: last_ms,
            end_ms: now_ms,
        });
    }
}
