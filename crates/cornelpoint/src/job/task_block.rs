use std::fmt;
use std::ops::Range;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::index_set::IndexSet;
use super::job_error::JobError;
use super::job_id::JobId;
use super::job_record::TaskProgress;
use super::task_id::TaskId;

/// Tasks of a block.
const TASKS: u32 = 64;

/// Some consecutive tasks of a step, whose progress is stored together where that of the
/// whole job could outgrow a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskBlock {
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u16,
    /// Number of the block in the step, from 0.
    pub number: u32,
}

impl TaskBlock {
    /// Returns the block of a task.
    ///
    /// ```
    /// use cornelpoint::job::TaskBlock;
    /// use cornelpoint::job::TaskId;
    ///
    /// let task: TaskId = "5c0e7a21d94b36f8.0.1.170".parse()?;
    /// assert_eq!(TaskBlock::of(task).indexes(), 128..192);
    /// # Ok::<(), cornelpoint::job::JobError>(())
    /// ```
    #[must_use]
    pub fn of(task: TaskId) -> Self {
        Self {
            occurrence: task.step.occurrence,
            step: task.step.step,
            number: task.index / TASKS,
        }
    }

    /// Returns the indexes of the block's tasks.
    #[must_use]
    pub fn indexes(self) -> Range<u32> {
        let first = self.number.saturating_mul(TASKS);
        first..first.saturating_add(TASKS)
    }
}

/// Key of the stored progress of a block.
///
/// ```
/// use cornelpoint::job::BlockKey;
///
/// let key: BlockKey = "5c0e7a21d94b36f8.00000000.0001.00000002".parse()?;
/// assert_eq!(key.block.indexes(), 128..192);
/// assert_eq!(key.to_string(), "5c0e7a21d94b36f8.00000000.0001.00000002");
/// # Ok::<(), cornelpoint::job::JobError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockKey {
    /// The job.
    pub job: JobId,
    /// The block.
    pub block: TaskBlock,
}

impl fmt::Display for BlockKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskBlock {
            occurrence,
            step,
            number,
        } = self.block;
        write!(
            formatter,
            "{}.{occurrence:08x}.{step:04x}.{number:08x}",
            self.job
        )
    }
}

impl FromStr for BlockKey {
    type Err = JobError;

    fn from_str(text: &str) -> Result<Self, JobError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(JobError::TaskId);
        let job = next()?.parse()?;
        let number = |part: &str| u32::from_str_radix(part, 16).map_err(|_| JobError::TaskId);
        let block = TaskBlock {
            occurrence: number(next()?)?,
            step: u16::from_str_radix(next()?, 16).map_err(|_| JobError::TaskId)?,
            number: number(next()?)?,
        };
        Ok(Self { job, block })
    }
}

/// The stored progress of a block.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BlockProgress {
    /// Indexes of the tasks that are done.
    #[serde(default, skip_serializing_if = "IndexSet::is_empty")]
    pub done: IndexSet,
    /// Other tasks that have failed runs, have a checkpoint or have crashed workers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskProgress>,
}

impl BlockProgress {
    /// Whether there is nothing to store.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.done.is_empty() && self.tasks.is_empty()
    }
}
