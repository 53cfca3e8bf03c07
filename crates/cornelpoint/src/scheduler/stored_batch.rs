use serde::Deserialize;
use serde::Serialize;

use crate::inbox::InboxKey;
use crate::inbox::Withdrawal;
use crate::job::BlockKey;
use crate::job::BlockProgress;
use crate::job::JobId;
use crate::job::JobProgress;
use crate::job::JobRecord;
use crate::job::JobStatus;

/// Stored record of a worker incarnation that may run tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Identifier of the worker.
    pub id: String,
    /// Start of the incarnation, in milliseconds since 1970.
    pub born_unix_ms: u64,
    /// Machine that it runs on.
    pub machine: Option<String>,
}

/// Rows that the store writes atomically.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// New jobs.
    pub records: Vec<(JobId, JobRecord)>,
    /// Jobs whose progress has changed.
    pub progress: Vec<(JobId, JobProgress)>,
    /// Progress of tasks of jobs that are too large to be stored as a whole.
    pub blocks: Vec<(BlockKey, BlockProgress)>,
    /// Such progress that is no longer needed.
    pub obsolete_blocks: Vec<BlockKey>,
    /// Jobs past their retention period, whose rows are to be deleted.
    pub expired: Vec<JobId>,
    /// Rows of the owner's inbox that are to be deleted, because the store has
    /// what they ask for.
    pub inbox: Vec<InboxKey>,
    /// Rows of the owner's inbox without which alone the batch may be written: another
    /// process may have confirmed that a new job is unknown or cancelled.
    pub absent: Vec<InboxKey>,
    /// Workers that may run tasks from now on, if they have changed.
    pub workers: Option<Vec<WorkerRecord>>,
}

/// Outcome of writing a batch to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// The batch is stored.
    Stored,
    /// The batch may or may not get stored.
    Unknown,
    /// The store rejects the batch as invalid, and would reject it again.
    Invalid,
    /// The batch is rejected because another process owns the pool.
    Fenced,
}

/// Changes to report to callers once a batch is stored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredJobs {
    /// Jobs that are now accepted.
    pub accepted: Vec<JobId>,
    /// Jobs that are rejected, since the store refuses their rows.
    pub rejected: Vec<JobId>,
    /// Jobs that are not accepted, since they are withdrawn.
    pub withdrawn: Vec<(JobId, Withdrawal)>,
    /// Jobs whose final status is now visible.
    pub ended: Vec<EndedJob>,
}

/// A job whose final status is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// Identifier of the job.
    pub id: JobId,
    /// Final status.
    pub status: JobStatus,
    /// Time from submission to the final status.
    pub took_ms: u64,
    /// Time past the objective; 0 if the job was in time.
    pub late_ms: u64,
}
