use std::collections::VecDeque;

/// Number of recent runs by which a worker is judged. One slow task in thirty doesn't move
/// their median.
const WINDOW: usize = 8;
/// Number of runs from which on a worker is judged.
const MIN_RUNS: usize = 4;
/// Ratio to the usual duration from which on a run counts as slow.
const SLOW_RATIO: f64 = 2.0;
/// Time after which a slow worker is tried again.
const FIRST_RETRY_MS: u64 = 2000;
/// How often that time doubles at most.
const MAX_DOUBLINGS: u32 = 3;
/// Age from which on a run no longer counts.
const MEMORY_MS: u64 = 30_000;

/// How long the recent runs of a worker took in relation to what was usual.
#[derive(Clone, Debug, Default)]
pub struct WorkerPace {
    /// Time of the end, and ratio.
    recent: VecDeque<(u64, f64)>,
    is_slow: bool,
    retry_ms: u64,
    doublings: u32,
    /// Number of runs up to which a slow worker that is tried again counts like others.
    allowance: usize,
}

impl WorkerPace {
    /// Records the ratio of a run to what was usual. A slow worker that is tried again
    /// may have twice as many runs after each that is not slow, and waits for longer after
    /// one that is.
    ///
    /// ```
    /// use cornelpoint::speculation::WorkerPace;
    ///
    /// let mut pace = WorkerPace::default();
    /// for _ in 0..4 {
    ///     pace.record(3.0, 1000);
    /// }
    /// assert!(pace.is_last_choice(0, 1000));
    /// // Tried again with one task.
    /// assert!(!pace.is_last_choice(0, 3000));
    /// assert!(pace.is_last_choice(1, 3000));
    /// ```
    pub fn record(&mut self, ratio: f64, now_ms: u64) {
        self.recent.push_back((now_ms, ratio));
        let is_old = |sample: &(u64, f64)| sample.0 + MEMORY_MS <= now_ms;
        while self.recent.len() > WINDOW || self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        let was_slow = self.is_slow;
        self.is_slow = self.recent.len() >= MIN_RUNS && self.median() >= SLOW_RATIO;
        if !self.is_slow {
            self.doublings = 0;
        } else if !was_slow {
            self.try_again(now_ms);
        } else if ratio >= SLOW_RATIO {
            self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
            self.try_again(now_ms);
        } else {
            self.allowance *= 2;
        }
    }

    /// Records a run that failed, or that lasts much longer than usual without an end.
    pub fn record_slow(&mut self, now_ms: u64) {
        self.record(SLOW_RATIO, now_ms);
    }

    /// Whether a run of this ratio to the usual duration counts as slow.
    #[must_use]
    pub fn is_slow_ratio(ratio: f64) -> bool {
        ratio >= SLOW_RATIO
    }

    /// Whether a worker with this number of runs gets a task only if no other worker has
    /// room.
    #[must_use]
    pub fn is_last_choice(&self, runs: usize, now_ms: u64) -> bool {
        self.is_slow && (now_ms < self.retry_ms || runs >= self.allowance)
    }

    fn try_again(&mut self, now_ms: u64) {
        self.allowance = 1;
        self.retry_ms = now_ms + (FIRST_RETRY_MS << self.doublings);
    }

    fn median(&self) -> f64 {
        let mut ratios: Vec<f64> = self.recent.iter().map(|(_, ratio)| *ratio).collect();
        ratios.sort_by(f64::total_cmp);
        ratios.get(ratios.len() / 2).copied().unwrap_or(0.0)
    }
}
