/// Number of recent tasks that the averages cover, approximately: a new task
/// weighs at least one part in as many.
const AVERAGING_WINDOW_TASKS: f64 = 64.0;
/// Number of finished tasks from which on the model is used.
const MIN_TASKS: u32 = 8;
/// Variance of the logarithms of estimates below which the estimates are too
/// alike to predict durations.
const MIN_LOG_VARIANCE: f64 = 1e-4;

/// Model of the task durations of a queue that corrects callers' estimates.
///
/// Some callers' estimates are off by a factor of two and more, others' by a
/// tenth. A linear regression of the logarithm of the duration on that of the
/// estimate weights estimates by how well they have predicted durations so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DurationModel {
    tasks: u32,
    mean_estimate: f64,
    mean_duration: f64,
    variance: f64,
    covariance: f64,
}

impl DurationModel {
    /// Updates the model with a finished task.
    pub(crate) fn learn(&mut self, estimate_ms: u64, took_ms: u64) {
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

    /// Returns the expected duration of a task, given the caller's estimate.
    pub(crate) fn expected_ms(&self, estimate_ms: u64) -> u64 {
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
