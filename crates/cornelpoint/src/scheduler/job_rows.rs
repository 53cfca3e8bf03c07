use crate::inbox::InboxKey;
use crate::job::BlockProgress;
use crate::job::JobId;
use crate::job::JobProgress;
use crate::job::RawJob;
use crate::job::TaskBlock;
use crate::job::TaskProgress;

use super::batch::MAX_BATCH_ROWS;
use super::instant::Instant;
use super::job_entry::JobEntry;
use super::pool_scheduler::PoolScheduler;

/// Most rows that a block takes.
const MAX_BLOCK_ROWS: usize = 3;
/// Estimated size of a job's record besides its text and its steps.
const RECORD_BYTES: usize = 300;
/// Estimated size of a step in a record.
const STEP_BYTES: usize = 500;
/// Largest size of the number of an earlier step in a record.
const AFTER_BYTES: usize = 3;
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
    pub(super) fn add_value(&mut self, bytes: usize, row_bytes: usize) {
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

/// Whether a job is to be deleted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Expiry {
    #[default]
    Kept,
    /// Once its blocks have been removed.
    OnceWithoutBlocks,
    Now,
}

/// Rows of a job for a batch, except its record.
#[derive(Clone, Debug, Default)]
pub(super) struct JobRows {
    pub(super) expiry: Expiry,
    pub(super) progress: Option<JobProgress>,
    /// Blocks to write, with the first change that each of them stores.
    pub(super) blocks: Vec<(TaskBlock, u64, BlockProgress)>,
    /// Blocks to remove.
    pub(super) obsolete_blocks: Vec<TaskBlock>,
    /// Whether blocks are left for the next batch.
    pub(super) is_partial: bool,
    /// Rows of the inbox to remove.
    pub(super) inbox: Vec<InboxKey>,
    pub(super) size: RowSize,
}

/// Estimates the size of a job's progress.
fn progress_bytes(progress: &JobProgress) -> usize {
    let steps = progress.steps.iter();
    let ranges = steps.map(|step| step.done.range_count()).sum::<usize>()
        + progress.done_occurrences.range_count();
    RANGE_BYTES * ranges + STEP_PROGRESS_BYTES * progress.steps.len() + tasks_bytes(&progress.tasks)
}

/// Estimates the size of a block's progress.
fn block_bytes(progress: &BlockProgress) -> usize {
    STEP_PROGRESS_BYTES + RANGE_BYTES * progress.done.range_count() + tasks_bytes(&progress.tasks)
}

fn tasks_bytes(tasks: &[TaskProgress]) -> usize {
    let count = tasks.len();
    let tasks = tasks.iter();
    let failed_runs = tasks.clone().map(|task| RUN_BYTES * task.failed_runs.len());
    let checkpoints = tasks.map(|task| task.checkpoint.len());
    TASK_BYTES * count + failed_runs.sum::<usize>() + checkpoints.sum::<usize>()
}

/// Estimates the size of a job's record.
fn record_bytes(record: &RawJob) -> usize {
    let steps = record.steps.iter().map(|step| {
        let texts = [&step.required_label, &step.preferred_rack, &step.image];
        let texts = texts.into_iter().flatten().map(String::len);
        STEP_BYTES + AFTER_BYTES * step.after.len() + texts.sum::<usize>()
    });
    RECORD_BYTES + record.spec.len() + steps.sum::<usize>()
}

impl PoolScheduler {
    /// Whether a final job is past its retention period.
    fn is_expired(&self, job: &JobEntry, now: Instant) -> bool {
        let kept_ms = self.settings.status_kept_ms;
        job.status.is_final() && job.final_steady_ms + kept_ms <= now.steady_ms
    }

    /// Returns the rows of a job that have to be written or removed, as far as they fit a
    /// batch of this size.
    pub(super) fn job_rows(&self, id: JobId, batch: RowSize, now: Instant) -> JobRows {
        let mut rows = JobRows::default();
        let Some(job) = self.jobs.get(&id) else {
            return rows;
        };
        if self.is_expired(job, now) {
            rows.expiry = Expiry::OnceWithoutBlocks;
            if job.blocks.is_empty() {
                rows.expiry = Expiry::Now;
                rows.size.rows = 2;
                return rows;
            }
        }
        let row_bytes = self.settings.row_bytes;
        if job.stored_status.is_none() {
            rows.size
                .add_value(record_bytes(&job.record.job), row_bytes);
        }
        if job.stored_status.is_none() && !job.status.is_final() {
            // The condition that the job is not withdrawn.
            rows.size.rows += 1;
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
        if job.blocks.are_used() {
            self.add_blocks(job, batch, &mut rows);
            if job.blocks.replaces_whole() && rows.is_partial && !job.status.is_final() {
                // It would replace what the blocks don't have yet.
                rows.progress = None;
            }
        }
        rows
    }

    /// Adds the blocks of a job that fit a batch. Those that are no longer needed are
    /// removed only with, or after, the progress that says so.
    fn add_blocks(&self, job: &JobEntry, batch: RowSize, rows: &mut JobRows) {
        let is_full = |size: RowSize| {
            let size = batch.plus(size);
            size.rows >= MAX_BATCH_ROWS || size.bytes >= self.full_batch_bytes
        };
        for (block, change) in job.blocks.changed() {
            if job.is_obsolete(block) {
                continue;
            }
            if is_full(rows.size) {
                rows.is_partial = true;
                return;
            }
            let progress = job.block_progress(block);
            let row_bytes = self.settings.row_bytes;
            rows.size.add_value(block_bytes(&progress), row_bytes);
            rows.blocks.push((block, change, progress));
        }
        let mut obsolete = job.blocks.written().filter(|block| job.is_obsolete(*block));
        for block in obsolete.by_ref() {
            if is_full(rows.size) {
                rows.is_partial = true;
                return;
            }
            rows.size.rows += MAX_BLOCK_ROWS;
            rows.obsolete_blocks.push(block);
        }
    }
}
