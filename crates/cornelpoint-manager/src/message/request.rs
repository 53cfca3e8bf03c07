use cornelpoint::job::JobId;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobStatus;
use cornelpoint::tenant::Caller;
use serde::Deserialize;
use serde::Serialize;

/// Age up to which a count of waiting jobs is returned; callers are promised a
/// count at most two seconds old.
pub(crate) const MAX_COUNT_AGE_MS: u64 = 2000;

/// A request to a pool's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PoolRequest {
    /// Submit a job.
    Submit { job: JobId, record: Box<JobRecord> },
    /// Cancel a job. Processes of earlier versions name no caller, and ignore it.
    Cancel {
        job: JobId,
        #[serde(default, skip_serializing_if = "Caller::is_unchecked")]
        caller: Caller,
    },
    /// Return a job's status.
    Status {
        job: JobId,
        #[serde(default, skip_serializing_if = "Caller::is_unchecked")]
        caller: Caller,
    },
    /// Return the number of waiting jobs of a queue.
    Waiting { queue: String },
}

/// The response of a pool's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PoolResponse {
    /// The job is stored.
    Accepted,
    /// The job was rejected and will not run; retry after this time.
    Refused { retry_after_ms: u64 },
    /// The store did not respond in time; the request may still take effect.
    Uncertain,
    /// The job is cancelled, or was final already.
    Cancelled,
    /// The job's status.
    Status(JobStatus),
    /// The owner knows no such job, or the job is another tenant's.
    UnknownJob,
    /// Number of waiting jobs.
    Waiting(usize),
    /// The owner can't tell whether it knows all accepted jobs: its view of the
    /// pool has not been confirmed for this time.
    Outdated { age_ms: u64 },
    /// Another process owns the pool.
    NotOwner,
}
