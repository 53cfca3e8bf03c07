use crate::job::JobSpec;

use super::pool_scheduler::QueueRules;

/// Optimistic duration of a step, in percent of its expected duration:
/// durations spread by 40% around the expected value.
const OPTIMISTIC_ESTIMATE_PERCENT: u64 = 70;
/// The same once the duration of a task of the step has been measured.
const OPTIMISTIC_MEASURED_PERCENT: u64 = 90;
/// Upper bound of a measured duration, as a multiple of the expected one, so
/// that a slow worker doesn't extend a job's objective.
const MAX_MEASURED_TO_EXPECTED_RATIO: u64 = 3;

/// Time by which a job has to be done to be of full value, derived from the
/// durations of its steps as far as they are known.
///
/// The objective grows with the measured work of the job, so it is recomputed
/// when the first task of a step is done, and when a later one takes notably
/// longer.
#[derive(Clone, Debug, Default)]
pub(super) struct Objective {
    /// When the caller first submitted the job, by the monotonic clock.
    first_ms: u64,
    stretch_permille: u64,
    slack_ms: u64,
    /// Expected duration of each step's tasks, and whether it has been
    /// measured.
    steps: Vec<(u64, bool)>,
    due_ms: u64,
    /// Optimistic time from the start of each step to the end of the job.
    optimistic_ms: Vec<u64>,
}

impl Objective {
    /// Returns the objective of a job that was first submitted at `first_ms`.
    pub(super) fn new(first_ms: u64, rules: &QueueRules, spec: &JobSpec, steps: Vec<u64>) -> Self {
        let mut objective = Self {
            first_ms,
            stretch_permille: rules.stretch_permille,
            slack_ms: rules.objective_ms,
            steps: steps.into_iter().map(|time_ms| (time_ms, false)).collect(),
            due_ms: 0,
            optimistic_ms: Vec::new(),
        };
        objective.recompute(spec);
        objective
    }

    /// Returns when the job has to be done, by the monotonic clock.
    pub(super) fn due_ms(&self) -> u64 {
        self.due_ms
    }

    /// Returns the latest start of a step with which the job can be done in
    /// time.
    pub(super) fn latest_start_ms(&self, step: usize) -> u64 {
        let optimistic_ms = self.optimistic_ms.get(step).copied().unwrap_or(0);
        self.due_ms.saturating_sub(optimistic_ms)
    }

    /// Returns the expected duration of a step's tasks.
    pub(super) fn step_ms(&self, step: usize) -> u64 {
        self.steps.get(step).map_or(0, |(time_ms, _)| *time_ms)
    }

    /// Whether the duration of a finished task changes the expected duration of
    /// its step: it is the step's first, or longer than expected by more than
    /// an eighth.
    pub(super) fn changes_estimate(&self, step: usize, took_ms: u64) -> bool {
        self.steps
            .get(step)
            .is_some_and(|&(time_ms, measured)| !measured || took_ms > time_ms + time_ms / 8)
    }

    /// Updates the objective with the duration of a finished task.
    pub(super) fn record_measurement(&mut self, spec: &JobSpec, step: usize, took_ms: u64) {
        if let Some((time_ms, measured)) = self.steps.get_mut(step) {
            *time_ms = took_ms
                .min(*time_ms * MAX_MEASURED_TO_EXPECTED_RATIO)
                .max(1);
            *measured = true;
        }
        self.recompute(spec);
    }

    /// Returns the expected duration of the longest chain of dependent steps.
    fn critical_path_ms(&self, spec: &JobSpec) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
        for (step_index, step) in spec.steps.iter().enumerate() {
            let earlier = step.after.iter();
            let start = earlier.map(|&after| ends[usize::from(after)]).max();
            ends.push(start.unwrap_or(0) + self.step_ms(step_index));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    fn recompute(&mut self, spec: &JobSpec) {
        let allowed_ms = self.critical_path_ms(spec) * self.stretch_permille / 1000 + self.slack_ms;
        self.due_ms = self.first_ms + allowed_ms;
        let mut optimistic_ms = vec![0; spec.steps.len()];
        for (step_index, step) in spec.steps.iter().enumerate().rev() {
            let (time_ms, measured) = self.steps.get(step_index).copied().unwrap_or_default();
            let percent = if measured {
                OPTIMISTIC_MEASURED_PERCENT
            } else {
                OPTIMISTIC_ESTIMATE_PERCENT
            };
            optimistic_ms[step_index] += time_ms * percent / 100;
            for &earlier in &step.after {
                let earlier = usize::from(earlier);
                optimistic_ms[earlier] = optimistic_ms[earlier].max(optimistic_ms[step_index]);
            }
        }
        self.optimistic_ms = optimistic_ms;
    }

    /// Returns the time that the objective allows beyond the critical path.
    pub(super) fn slack_ms(&self, spec: &JobSpec) -> u64 {
        let allowed_ms = self.due_ms - self.first_ms;
        allowed_ms.saturating_sub(self.critical_path_ms(spec))
    }
}
