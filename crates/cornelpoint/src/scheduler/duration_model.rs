/// Weight of what was learned before against a new task: an average over about
/// as many tasks.
const AVERAGING_WINDOW_TASKS: f64 = 64.0;
/// Tasks from which on what was learned is used at all.
const MIN_TASKS: u32 = 8;
/// Spread of estimates, as a variance of their logarithms, below which they
/// tell nothing apart.
const MIN_LOG_VARIANCE: f64 = 1e-4;

/// How long the tasks of a queue take, and how far callers' estimates can be
/// trusted.
///
/// Some callers' estimates are off by a factor of two and more, others' by a
/// tenth. A line is fitted through the logarithms of estimate and duration, so
/// that estimates count by as much as they have been worth.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DurationModel {
    tasks: u32,
    mean_estimate: f64,
    mean_duration: f64,
    variance: f64,
    covariance: f64,
}

impl DurationModel {
    /// Learns from a task that is done.
    pub(super) fn learn(&mut self, estimate_ms: u64, took_ms: u64) {
        let (estimate, duration) = (logarithm(estimate_ms), logarithm(took_ms));
        self.tasks = self.tasks.saturating_add(1);
        let weight = 1.0 / f64::from(self.tasks).min(AVERAGING_WINDOW_TASKS);
        let estimate_deviation = estimate - self.mean_estimate;
        let duration_deviation = duration - self.mean_duration;
        self.mean_estimate += weight * estimate_deviation;
        self.mean_duration += weight * duration_deviation;
        self.variance =
            (1.0 - weight) * (self.variance + weight * estimate_deviation * estimate_deviation);
        self.covariance =
            (1.0 - weight) * (self.covariance + weight * estimate_deviation * duration_deviation);
    }

    /// Expected duration of a task with a caller's estimate.
    pub(super) fn expected_ms(&self, estimate_ms: u64) -> u64 {
        if self.tasks < MIN_TASKS {
            return estimate_ms;
        }
        let slope = if self.variance < MIN_LOG_VARIANCE {
            0.0
        } else {
            (self.covariance / self.variance).clamp(0.0, 1.0)
        };
        let expected = self.mean_duration + slope * (logarithm(estimate_ms) - self.mean_estimate);
        milliseconds(expected.exp())
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "durations are far below 2^52 ms"
)]
fn logarithm(time_ms: u64) -> f64 {
    (time_ms.max(1) as f64).ln()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the exponential of a mean of logarithms of durations"
)]
fn milliseconds(time_ms: f64) -> u64 {
    time_ms.round() as u64
}
