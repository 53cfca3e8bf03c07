//! The rate at which a queue is drained while requests wait in it.

/// Time after which an observation counts half, in milliseconds.
const HALF_LIFE_MS: f64 = 250.0;
/// Observed waiting time from which the rate is given, in milliseconds.
const MIN_BUSY_MS: f64 = 50.0;

/// Fading count of requests taken out, over the time that some waited.
#[derive(Clone, Debug)]
pub(super) struct DrainRate {
    taken: f64,
    busy_ms: f64,
    updated_ms: u64,
}

impl DrainRate {
    pub(super) fn new() -> Self {
        Self {
            taken: 0.0,
            busy_ms: 0.0,
            updated_ms: 0,
        }
    }

    /// Notes the time; `waiting` says whether requests waited since the last
    /// note.
    pub(super) fn advance(&mut self, now_ms: u64, waiting: bool) {
        let elapsed_ms = elapsed_ms(self.updated_ms, now_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        if !waiting || elapsed_ms <= 0.0 {
            return;
        }
        let fading = (-elapsed_ms / HALF_LIFE_MS).exp2();
        self.taken *= fading;
        self.busy_ms = self.busy_ms * fading + elapsed_ms;
    }

    /// Notes that one request was taken out to be run.
    pub(super) fn record_taken(&mut self) {
        self.taken += 1.0;
    }

    /// Time that the queue needs for `requests`, in milliseconds; zero while
    /// nothing is known.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub(super) fn wait_ms(&self, requests: u64) -> f64 {
        if self.busy_ms < MIN_BUSY_MS || requests == 0 {
            return 0.0;
        }
        requests as f64 * self.busy_ms / self.taken.max(1.0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
fn elapsed_ms(from_ms: u64, to_ms: u64) -> f64 {
    to_ms.saturating_sub(from_ms) as f64
}
