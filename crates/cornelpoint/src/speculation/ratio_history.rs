use std::collections::VecDeque;

/// Number of recent samples that are kept. Three tasks in a hundred are slow, so that
/// some six of these are.
const WINDOW: usize = 200;
/// Number of samples from which on quantiles are used: below, the highest tenth is fewer
/// than three samples.
const MIN_SAMPLES: usize = 24;

/// The most recent ratios of measured to expected durations.
#[derive(Clone, Debug, Default)]
pub(super) struct RatioHistory {
    recent: VecDeque<f64>,
    sorted: Vec<f64>,
}

impl RatioHistory {
    pub(super) fn record(&mut self, ratio: f64) {
        if self.recent.len() == WINDOW
            && let Some(oldest) = self.recent.pop_front()
        {
            let index = self.sorted.partition_point(|known| *known < oldest);
            self.sorted.remove(index);
        }
        self.recent.push_back(ratio);
        let index = self.sorted.partition_point(|known| *known < ratio);
        self.sorted.insert(index, ratio);
    }

    /// Whether there are enough samples for a decision.
    pub(super) fn is_known(&self) -> bool {
        self.sorted.len() >= MIN_SAMPLES
    }

    /// Returns a quantile, in percent, or `None` if too few samples are known.
    pub(super) fn quantile(&self, percent: usize) -> Option<f64> {
        let rank = (self.sorted.len() * percent).div_ceil(100).max(1);
        self.is_known().then(|| self.sorted[rank - 1])
    }

    /// Returns how far the end of a run that has lasted for `age` is expected to exceed
    /// `age + floor`.
    ///
    /// Samples above the age show how long such runs last. One more stands for the heavy
    /// tail of which nothing may have been seen yet: a run is expected to last for as long
    /// again.
    pub(super) fn expected_excess(&self, age: f64, floor: f64) -> f64 {
        let first = self.sorted.partition_point(|known| *known <= age);
        let longer = self.sorted[first..].iter().copied();
        let ends = longer.chain(std::iter::once(2.0 * age));
        let (count, sum) = ends.fold((0.0, 0.0), |(count, sum), end| {
            (count + 1.0, sum + (end - age - floor).max(0.0))
        });
        sum / count
    }
}
