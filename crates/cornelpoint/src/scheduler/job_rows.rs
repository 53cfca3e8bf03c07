use crate::inbox::InboxKey;
use crate::job::JobId;
use crate::job::JobProgress;

use super::instant::Instant;
use super::job_entry::JobEntry;
use super::pool_scheduler::PoolScheduler;

/// Estimated size of a job's record besides its text and its steps.
const RECORD_BYTES: usize = 300;
/// Estimated size of a step in a record.
const STEP_BYTES: usize = 500;
/// Estimated size of a task in a job's progress.
const TASK_BYTES: usize = 150;
/// Estimated size of a step in a job's progress.
const STEP_PROGRESS_BYTES: usize = 50;
/// Largest size of the number of a failed run in a job's progress.
const RUN_BYTES: usize = 9;
/// Largest size of a range of tasks or occurrences in a job's progress.
const RANGE_BYTES: usize = 11;

/// What the rows of a job, or of a batch, take in a transaction.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RowSize {
    pub(super) rows: usize,
    pub(super) bytes: usize,
}

impl RowSize {
    /// Adds a value of an estimated size, which takes several rows if it is large.
    fn add_value(&mut self, bytes: usize, row_bytes: usize) {
        // Twice as many rows as the estimate needs, since it is a rough one.
        self.rows += 1 + 2 * bytes / row_bytes.max(1);
        self.bytes += bytes;
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            rows: self.rows + other.rows,
            bytes: self.bytes + other.bytes,
        }
    }
}

/// Rows of a job for a batch, except its record.
#[derive(Clone, Debug, Default)]
pub(super) struct JobRows {
    /// Whether the job is to be deleted.
    pub(super) expired: bool,
    pub(super) progress: Option<JobProgress>,
    /// Rows of the inbox to remove.
    pub(super) inbox: Vec<InboxKey>,
    pub(super) size: RowSize,
}

/// Estimates the size of a job's progress.
fn progress_bytes(progress: &JobProgress) -> usize {
    let steps = progress.steps.iter();
    let ranges = steps.map(|step| step.done.range_count()).sum::<usize>()
        + progress.done_occurrences.range_count();
    let tasks = progress.tasks.iter();
    let failed_runs = tasks.clone().map(|task| RUN_BYTES * task.failed_runs.len());
    let checkpoints = tasks.map(|task| task.checkpoint.len());
    RANGE_BYTES * ranges
        + STEP_PROGRESS_BYTES * progress.steps.len()
        + TASK_BYTES * progress.tasks.len()
        + failed_runs.sum::<usize>()
        + checkpoints.sum::<usize>()
}

impl PoolScheduler {
    /// Whether a final job is past its retention period.
    fn is_expired(&self, job: &JobEntry, now: Instant) -> bool {
        let kept_ms = self.settings.status_kept_ms;
        job.status.is_final() && job.final_steady_ms + kept_ms <= now.steady_ms
    }

    /// Returns the rows of a job that have to be written or removed.
    pub(super) fn job_rows(&self, id: JobId, now: Instant) -> JobRows {
        let mut rows = JobRows::default();
        let Some(job) = self.jobs.get(&id) else {
            return rows;
        };
        if self.is_expired(job, now) {
            rows.expired = true;
            rows.size.rows = 2;
            return rows;
        }
        let row_bytes = self.settings.row_bytes;
        if job.stored_status.is_none() {
            let record = &job.record.job;
            let bytes = RECORD_BYTES + record.spec.len() + STEP_BYTES * record.steps.len();
            rows.size.add_value(bytes, row_bytes);
        }
        let progress = job.progress();
        if job.stored_status.is_some() || progress != JobProgress::default() {
            rows.size.add_value(progress_bytes(&progress), row_bytes);
            rows.progress = Some(progress);
        }
        rows.inbox
            .extend(self.inbox.get(&InboxKey::Submit(id)).copied());
        if job.status.is_final() {
            rows.inbox
                .extend(self.inbox.get(&InboxKey::Cancel(id)).copied());
        }
        rows.size.rows += rows.inbox.len();
        rows
    }
}
