use serde::Deserialize;
use serde::Serialize;

use super::job_status::JobStatus;
use super::raw_job::RawJob;

/// What the store keeps of an accepted job; never changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Queue that the job came by.
    pub queue: String,
    /// Pool whose workers run it.
    pub pool: String,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// Priority at that time; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task that end the job.
    pub max_attempts: u32,
    /// The job as the caller wrote it.
    pub job: RawJob,
}

/// What the store keeps of a job's progress; replaced with each change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobProgress {
    /// The job's status.
    pub status: JobStatus,
    /// When it became final, in milliseconds since 1970; 0 before.
    pub final_unix_ms: u64,
    /// Tasks that are done, have failed runs or a checkpoint.
    pub tasks: Vec<TaskProgress>,
}

/// What the store keeps of one task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u16,
    /// Index in the step.
    pub index: u32,
    /// Whether it has ended well.
    pub done: bool,
    /// Runs that have ended as failed.
    pub failed_runs: Vec<u64>,
    /// Highest run that was seen.
    pub last_run: u64,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}
