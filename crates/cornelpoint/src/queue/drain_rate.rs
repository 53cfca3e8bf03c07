//! Rate at which a queue drains while it is not empty.

/// Time after which an observation has half its weight, in milliseconds.
const HALF_LIFE_MS: f64 = 250.0;
/// Weighted time with a non-empty queue that must be observed before the rate
/// is used, in milliseconds.
const MIN_NONEMPTY_MS: f64 = 50.0;

/// Exponentially decaying count of dequeued requests, and of the time during
/// which the queue was not empty.
#[derive(Clone, Debug)]
pub(super) struct DrainRate {
    dequeued: f64,
    nonempty_ms: f64,
    updated_ms: u64,
}

impl DrainRate {
    pub(super) fn new() -> Self {
        Self {
            dequeued: 0.0,
            nonempty_ms: 0.0,
            updated_ms: 0,
        }
    }

    /// Advances to `now_ms`. `waiting` states whether the queue was not empty
    /// since the last call.
    pub(super) fn advance(&mut self, now_ms: u64, waiting: bool) {
        let elapsed_ms = elapsed_ms(self.updated_ms, now_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        if !waiting || elapsed_ms <= 0.0 {
            return;
        }
        let decay = (-elapsed_ms / HALF_LIFE_MS).exp2();
        self.dequeued *= decay;
        self.nonempty_ms = self.nonempty_ms * decay + elapsed_ms;
    }

    /// Records that one request was dequeued to be run.
    pub(super) fn record_dequeued(&mut self) {
        self.dequeued += 1.0;
    }

    /// Estimates the time in which the queue drains `requests`, in milliseconds;
    /// zero while too little has been observed.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub(super) fn wait_ms(&self, requests: u64) -> f64 {
        if self.nonempty_ms < MIN_NONEMPTY_MS || requests == 0 {
            return 0.0;
        }
        requests as f64 * self.nonempty_ms / self.dequeued.max(1.0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
fn elapsed_ms(from_ms: u64, to_ms: u64) -> f64 {
    to_ms.saturating_sub(from_ms) as f64
}
