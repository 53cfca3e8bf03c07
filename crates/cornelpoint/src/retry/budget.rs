/// Length of the window in which attempts are counted, in buckets.
const WINDOW_BUCKETS: usize = 10;
/// Length of one bucket, in milliseconds.
const BUCKET_MS: u64 = 200;
/// Length of the window, in milliseconds.
const WINDOW_MS: u64 = BUCKET_MS * WINDOW_BUCKETS as u64;
const MS_PER_S: u64 = 1000;
const HUNDRED_PERCENT: u64 = 100;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    first_attempts: u64,
    retries: u64,
}

/// Limit on retries as a share of first attempts, so that retries cannot
/// multiply the load during an outage.
///
/// Over any two seconds at most `percent` retries are allowed per hundred first
/// attempts, or `min_per_s` retries per second if that is more.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    min_per_s: u32,
    buckets: [Bucket; WINDOW_BUCKETS],
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred first attempts, and of
    /// at least `min_per_s` retries per second.
    ///
    /// ```
    /// use cornelpoint::retry::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(20, 0);
    /// for _ in 0..5 {
    ///     budget.record_first_attempt(1000);
    /// }
    /// assert!(budget.take_retry(1000));
    /// assert!(!budget.take_retry(1000));
    /// ```
    #[must_use]
    pub fn new(percent: u32, min_per_s: u32) -> Self {
        Self {
            percent,
            min_per_s,
            buckets: [Bucket::default(); WINDOW_BUCKETS],
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_first_attempt(&mut self, now_ms: u64) {
        self.bucket(now_ms).first_attempts += 1;
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn take_retry(&mut self, now_ms: u64) -> bool {
        let left = self.retries_left(now_ms) > 0;
        if left {
            self.bucket(now_ms).retries += 1;
        }
        left
    }

    /// Returns the number of retries that the budget still allows.
    #[must_use]
    pub fn retries_left(&self, now_ms: u64) -> u64 {
        let oldest = (now_ms / BUCKET_MS).saturating_sub(WINDOW_BUCKETS as u64 - 1);
        let mut first_attempts = 0;
        let mut retries = 0;
        for bucket in self.buckets.iter().filter(|b| b.number >= oldest) {
            first_attempts += bucket.first_attempts;
            retries += bucket.retries;
        }
        let share = first_attempts * u64::from(self.percent) / HUNDRED_PERCENT;
        let floor = u64::from(self.min_per_s) * WINDOW_MS / MS_PER_S;
        share.max(floor).saturating_sub(retries)
    }

    fn bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let number = now_ms / BUCKET_MS;
        let index = (number % WINDOW_BUCKETS as u64) as usize;
        let bucket = &mut self.buckets[index];
        if bucket.number < number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}
