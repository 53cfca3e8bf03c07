use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::job_error::JobError;
use super::job_id::JobId;

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u16,
}

impl StepId {
    /// Returns the step's task at `index`.
    #[must_use]
    pub fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// Index of the task in the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = JobError;

    /// Parses a task's identifier.
    ///
    /// # Errors
    ///
    /// Returns an error unless `text` is a job's identifier, an occurrence, a
    /// step and an index, joined by dots.
    ///
    /// ```
    /// use cornelpoint::job::TaskId;
    ///
    /// let task: TaskId = "5c0e7a21d94b36f8.0.1.17".parse()?;
    /// assert_eq!((task.step.step, task.index), (1, 17));
    /// assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
    /// # Ok::<(), cornelpoint::job::JobError>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, JobError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(JobError::TaskId);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| JobError::TaskId)?;
        let step = next()?.parse().map_err(|_| JobError::TaskId)?;
        let index = next()?.parse().map_err(|_| JobError::TaskId)?;
        if parts.next().is_some() {
            return Err(JobError::TaskId);
        }
        let step = StepId {
            job,
            occurrence,
            step,
        };
        Ok(step.task(index))
    }
}
