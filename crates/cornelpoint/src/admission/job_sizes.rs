use std::collections::VecDeque;

/// Number of recent jobs from which the sizes of a queue are known.
const SAMPLE_JOBS: usize = 128;
/// Number of jobs from which on sizes are told apart.
const MIN_SAMPLE_JOBS: usize = 16;
/// Weight that earlier jobs keep with each new one, for the rate of admission by size.
const RETENTION: f64 = 0.99;
/// Rate of admission of the large jobs, relative to that of all jobs of the queue, below
/// which they go first. They must be served at least half as often, and once admitted they
/// are late more often: at 1.0 the fifth below the largest tenth was served less than half as
/// often in one of sixteen replays, at 1.4 the least relative rate is 0.73.
const MIN_RELATIVE_RATE: f64 = 1.4;

/// Sizes of the recent jobs of a queue, and how many were admitted, by size.
#[derive(Clone, Debug, Default)]
pub struct JobSizes {
    recent_core_ms: VecDeque<u64>,
    sum_core_ms: u64,
    /// Submitted and admitted jobs: all, the fifth below the largest tenth, the largest
    /// tenth.
    rates: [Rate; 3],
}

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    submitted: f64,
    admitted: f64,
}

impl Rate {
    fn get(self) -> f64 {
        if self.submitted < 1.0 {
            return 1.0;
        }
        self.admitted / self.submitted
    }
}

impl JobSizes {
    /// Records the work of a job that is submitted for the first time.
    pub fn record(&mut self, work_core_ms: u64) {
        self.recent_core_ms.push_back(work_core_ms);
        self.sum_core_ms += work_core_ms;
        if self.recent_core_ms.len() > SAMPLE_JOBS
            && let Some(oldest) = self.recent_core_ms.pop_front()
        {
            self.sum_core_ms -= oldest;
        }
    }

    /// Records whether a job was admitted at its first attempt or a later one. Refused jobs
    /// count once for each attempt.
    pub fn record_decision(&mut self, work_core_ms: u64, admitted: bool) {
        let group = self.group(work_core_ms);
        for index in [0, group] {
            let rate = &mut self.rates[index];
            rate.submitted = rate.submitted * RETENTION + 1.0;
            rate.admitted = rate.admitted * RETENTION + f64::from(u8::from(admitted));
            if group == 0 {
                break;
            }
        }
    }

    /// Whether jobs of this size are among the large ones of which too few are admitted.
    #[must_use]
    pub fn is_starving(&self, work_core_ms: u64) -> bool {
        let group = self.group(work_core_ms);
        group > 0 && self.rates[group].get() < MIN_RELATIVE_RATE * self.rates[0].get()
    }

    /// Value of a job relative to a mean job of the queue, in thousandths, if it is in time.
    ///
    /// ```
    /// use cornelpoint::admission::JobSizes;
    ///
    /// let mut sizes = JobSizes::default();
    /// sizes.record(1000);
    /// sizes.record(3000);
    /// assert_eq!(sizes.value_milli(2000), 1000);
    /// assert_eq!(sizes.value_milli(1000), 650);
    /// assert_eq!(sizes.value_milli(1_000_000), 4000);
    /// ```
    #[must_use]
    pub fn value_milli(&self, work_core_ms: u64) -> u64 {
        let count = self.recent_core_ms.len() as u64;
        let relative_milli = work_core_ms.saturating_mul(700 * count);
        let relative_milli = relative_milli.checked_div(self.sum_core_ms).unwrap_or(700);
        (300 + relative_milli).min(4000)
    }

    /// Returns the group of a size: 2 for the largest tenth of the queue's jobs, 1 for the
    /// fifth below it, 0 for others.
    fn group(&self, work_core_ms: u64) -> usize {
        let count = self.recent_core_ms.len();
        if count < MIN_SAMPLE_JOBS {
            return 0;
        }
        let sizes = self.recent_core_ms.iter();
        let larger = sizes.filter(|&&size| size > work_core_ms).count();
        match larger * 10 {
            tenths if tenths < count => 2,
            tenths if tenths < count * 3 => 1,
            _ => 0,
        }
    }
}
