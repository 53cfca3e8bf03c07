use cornelpoint::job::JobId;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobStatus;
use serde::Deserialize;
use serde::Serialize;

/// A question to a pool's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PoolRequest {
    /// Accept a job.
    Submit { job: JobId, record: Box<JobRecord> },
    /// Cancel a job.
    Cancel { job: JobId },
    /// How far a job is.
    Status { job: JobId },
    /// Waiting jobs of a queue.
    Waiting { queue: String },
}

/// A pool owner's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PoolResponse {
    /// The job is stored.
    Accepted,
    /// The job never runs; ask again after this time.
    Refused { retry_after_ms: u64 },
    /// The store has not answered; the job may be accepted.
    Uncertain,
    /// The job is cancelled, or was final.
    Cancelled,
    /// The job's status.
    Status(JobStatus),
    /// No such job is known to the owner.
    UnknownJob,
    /// Waiting jobs.
    Waiting(usize),
    /// Another process owns the pool.
    NotOwner,
}
