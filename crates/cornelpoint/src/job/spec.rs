use std::collections::BTreeSet;
use std::sync::Arc;

use super::job_error::JobError;
use super::raw_job::RawJob;
use super::raw_job::RawStep;
use super::resources::Resources;
use super::schedule::Schedule;
use super::step::Step;

/// Maximum length of the text passed to tasks; the limit agreed with callers.
const MAX_SPEC_BYTES: usize = 4000;
/// Maximum number of steps of a job, so that an index of a step fits into `u16`.
const MAX_STEPS: usize = 1000;
/// Maximum number of tasks of a step, so that one job can't exhaust a process's
/// memory.
const MAX_REPLICAS: u64 = 10_000;
/// Largest request for a resource, in its unit; larger ones count as this, which no
/// worker has either. The work of all tasks of a job stays below the limit of `u64`.
const MAX_RESOURCE: u64 = 10_000_000;
/// Longest estimated duration of a task; longer ones count as this.
const MAX_ESTIMATE_MS: u64 = 10_000_000;
/// Maximum number of occurrences of a job, for the same reason.
const MAX_OCCURRENCES: u64 = 100_000;

/// Estimated memory that a job takes besides its text and its steps.
const JOB_BYTES: usize = 800;
/// Estimated memory that a step takes, as submitted, as validated and while it waits.
const STEP_BYTES: usize = 600;
/// Estimated memory that the number of an earlier step takes.
const AFTER_BYTES: usize = 10;

/// A validated job.
///
/// ```
/// use cornelpoint::job::JobSpec;
/// use cornelpoint::job::RawJob;
/// use cornelpoint::job::RawStep;
///
/// let step = RawStep { replicas: 3, ..RawStep::default() };
/// let raw = RawJob { steps: vec![step], ..RawJob::default() };
/// assert_eq!(JobSpec::try_from(raw)?.steps[0].replicas, 3);
/// assert!(JobSpec::try_from(RawJob::default()).is_err());
/// # Ok::<(), cornelpoint::job::JobError>(())
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Text passed to every task.
    pub spec: Arc<str>,
    /// Steps in the order in which other steps refer to them.
    pub steps: Vec<Step>,
    /// When the occurrences are due; `None` for a job that runs once,
    /// immediately.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Returns what is kept of a final job.
    #[must_use]
    pub fn released() -> Self {
        Self {
            spec: Arc::from(""),
            steps: Vec::new(),
            schedule: None,
        }
    }

    /// Returns the number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Returns the number of tasks of all occurrences.
    #[must_use]
    pub fn task_count(&self) -> u64 {
        let tasks = self.steps.iter().map(|step| u64::from(step.replicas));
        tasks.sum::<u64>().saturating_mul(self.occurrences().into())
    }

    /// Whether the job has long-running steps, so that it never completes by
    /// itself.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Estimates the memory that an owner needs for the job, with one occurrence of which
    /// no task has been started.
    ///
    /// ```
    /// use cornelpoint::job::JobSpec;
    /// use cornelpoint::job::RawJob;
    /// use cornelpoint::job::RawStep;
    ///
    /// let job = |replicas| {
    ///     let steps = vec![RawStep { replicas, ..RawStep::default() }];
    ///     JobSpec::try_from(RawJob { steps, ..RawJob::default() })
    /// };
    /// // Tasks take memory only once they are started.
    /// assert_eq!(job(1)?.held_bytes(), job(10_000)?.held_bytes());
    /// # Ok::<(), cornelpoint::job::JobError>(())
    /// ```
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let steps = self.steps.iter().map(|step| {
            let texts = [&step.required_label, &step.preferred_rack, &step.image];
            let texts = texts.into_iter().flatten().map(|text| 2 * text.len());
            STEP_BYTES + AFTER_BYTES * step.after.len() + texts.sum::<usize>()
        });
        JOB_BYTES + 2 * self.spec.len() + steps.sum::<usize>()
    }

    /// Returns the estimated work of one occurrence, in core-milliseconds.
    #[must_use]
    pub fn work_core_ms(&self) -> u64 {
        self.steps.iter().map(Step::work_core_ms).sum()
    }

    /// Returns the estimated duration of the critical path, the longest chain of
    /// dependent steps.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step
                .after
                .iter()
                .map(|&after| ends[usize::from(after)])
                .max();
            ends.push(start.unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

impl TryFrom<RawJob> for JobSpec {
    type Error = JobError;

    fn try_from(raw: RawJob) -> Result<Self, JobError> {
        if raw.spec.len() > MAX_SPEC_BYTES {
            return Err(JobError::SpecTooLong {
                length_bytes: raw.spec.len(),
            });
        }
        if raw.steps.is_empty() {
            return Err(JobError::NoSteps);
        }
        if raw.steps.len() > MAX_STEPS {
            return Err(JobError::TooManySteps {
                count: raw.steps.len(),
            });
        }
        let schedule = validate_schedule(&raw)?;
        let steps = raw.steps.into_iter().enumerate();
        let steps = steps.map(|(index, step)| validate_step(index, step));
        Ok(Self {
            spec: Arc::from(raw.spec),
            steps: steps.collect::<Result<_, _>>()?,
            schedule,
        })
    }
}

fn validate_schedule(raw: &RawJob) -> Result<Option<Schedule>, JobError> {
    if raw.repeat_count == 0 {
        return Ok(None);
    }
    if raw.repeat_count > MAX_OCCURRENCES {
        return Err(JobError::Schedule);
    }
    Ok(Some(Schedule {
        count: u32::try_from(raw.repeat_count).map_err(|_| JobError::Schedule)?,
        first_unix_ms: raw.first_unix_ms,
        interval_ms: raw.interval_ms,
    }))
}

fn validate_step(index: usize, raw: RawStep) -> Result<Step, JobError> {
    let replicas_error = JobError::Replicas {
        step: index,
        count: raw.replicas,
    };
    if raw.replicas == 0 || raw.replicas > MAX_REPLICAS {
        return Err(replicas_error);
    }
    let after = raw.after.iter().map(|&after| match u16::try_from(after) {
        Ok(number) if usize::from(number) < index => Ok(number),
        _ => Err(JobError::After { step: index, after }),
    });
    // A body may name a step any number of times.
    let after = after.collect::<Result<BTreeSet<u16>, _>>()?;
    Ok(Step {
        replicas: u32::try_from(raw.replicas).map_err(|_| replicas_error)?,
        resources: Resources {
            cpu_millicores: raw.cpu_millicores.min(MAX_RESOURCE),
            memory_mb: raw.memory_mb.min(MAX_RESOURCE),
            accelerators: raw.accelerators.min(MAX_RESOURCE),
        },
        estimate_ms: raw.estimate_ms.min(MAX_ESTIMATE_MS),
        after: after.into_iter().collect(),
        saves_progress: raw.saves_progress,
        gang: raw.gang,
        same_rack: raw.same_rack,
        required_label: raw.required_label.filter(|label| !label.is_empty()),
        preferred_rack: raw.preferred_rack.filter(|rack| !rack.is_empty()),
        max_per_worker: nonzero(raw.max_per_worker),
        speculative: raw.speculative,
        long_running: raw.long_running,
        image: raw.image.filter(|image| !image.is_empty()),
        target_ms: Some(raw.target_ms).filter(|&target| target > 0),
        fills: raw.fills,
        may_miss: nonzero(raw.may_miss),
    })
}

fn nonzero(value: u64) -> Option<u32> {
    match value {
        0 => None,
        _ => Some(u32::try_from(value).unwrap_or(u32::MAX)),
    }
}
