use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Largest exponent of the doubling, so that a shift can't overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Pause between calls that fail, drawn at random from a range that doubles
/// with each consecutive failure.
///
/// ```
/// use cornelpoint::retry::Backoff;
/// use rand_chacha::ChaCha8Rng;
/// use rand_chacha::rand_core::SeedableRng;
///
/// let mut backoff = Backoff::new(100, 1000, ChaCha8Rng::seed_from_u64(1));
/// backoff.record_failure(5000);
/// assert!((5050..=5100).contains(&backoff.resume_ms()));
/// backoff.record_answer();
/// assert!(backoff.has_ended(5000));
/// ```
#[derive(Clone, Debug)]
pub struct Backoff {
    initial_ms: u64,
    max_ms: u64,
    failures: u32,
    resume_ms: u64,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff whose first range ends at `initial_ms`; no range ends
    /// after `max_ms`.
    #[must_use]
    pub fn new(initial_ms: u64, max_ms: u64, random: ChaCha8Rng) -> Self {
        Self {
            initial_ms,
            max_ms,
            failures: 0,
            resume_ms: 0,
            random,
        }
    }

    /// Returns whether no pause is in progress.
    #[must_use]
    pub fn has_ended(&self, now_ms: u64) -> bool {
        now_ms >= self.resume_ms
    }

    /// Returns the end of the last pause.
    #[must_use]
    pub fn resume_ms(&self) -> u64 {
        self.resume_ms
    }

    /// Records that a call was answered, which ends the pause.
    pub fn record_answer(&mut self) {
        self.failures = 0;
        self.resume_ms = 0;
    }

    /// Records that a call failed. The pause lasts between half and all of the
    /// current range.
    pub fn record_failure(&mut self, now_ms: u64) {
        let doubled_ms = self.initial_ms << self.failures.min(MAX_DOUBLINGS);
        let range_ms = doubled_ms.min(self.max_ms).max(1);
        let drawn_ms = range_ms / 2 + self.random.next_u64() % (range_ms / 2 + 1);
        self.failures += 1;
        self.resume_ms = self.resume_ms.max(now_ms + drawn_ms);
    }
}
