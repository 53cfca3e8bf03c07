use serde::Deserialize;
use serde::Serialize;

use super::index_set::IndexSet;
use super::job_status::JobStatus;
use super::raw_job::RawJob;
use super::raw_job::is_default;
use crate::catalog::Advice;

/// The stored form of an accepted job, which never changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Queue to which the job was submitted.
    pub queue: String,
    /// Pool whose workers run the job.
    pub pool: String,
    /// When the job was accepted, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// Priority at that time; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// Tenant whose key the caller presented; `None` where callers need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Parameters of the queue's advice service at that time: the job's tasks need tickets
    /// also when the configuration no longer has the queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<Advice>,
    /// The job as the caller submitted it.
    pub job: RawJob,
}

/// The stored progress of a job, which is replaced with each change. It has to fit a row
/// however often the job runs, so that what is done is stored as ranges.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobProgress {
    /// The job's status.
    pub status: JobStatus,
    /// When the status became final, in milliseconds since 1970; 0 before that.
    pub final_unix_ms: u64,
    /// Occurrences that are done.
    #[serde(default, skip_serializing_if = "IndexSet::is_empty")]
    pub done_occurrences: IndexSet,
    /// Steps of other occurrences of which some tasks are done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepProgress>,
    /// Other tasks that have failed runs, have a checkpoint or have crashed workers.
    pub tasks: Vec<TaskProgress>,
}

/// The stored progress of one step of an occurrence.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepProgress {
    /// Number of the occurrence, from 0.
    #[serde(skip_serializing_if = "is_default")]
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    #[serde(skip_serializing_if = "is_default")]
    pub step: u16,
    /// Indexes of the tasks that are done.
    pub done: IndexSet,
}

/// The stored progress of one task. Each completion in a surge stores its job's
/// progress again, so that fields without a value are left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskProgress {
    /// Number of the occurrence, from 0.
    #[serde(skip_serializing_if = "is_default")]
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    #[serde(skip_serializing_if = "is_default")]
    pub step: u16,
    /// Index of the task in the step, from 0.
    #[serde(skip_serializing_if = "is_default")]
    pub index: u32,
    /// Whether the task has succeeded. Not written any more; older rows list each task
    /// that is done.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Numbers of the runs that have failed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<u64>,
    /// Highest known run number.
    pub last_run: u64,
    /// Latest checkpoint; empty if there is none.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Number of workers that have crashed while they ran the task.
    #[serde(skip_serializing_if = "is_default")]
    pub crashes: u32,
    /// Number of those that crashed right after they had started it.
    #[serde(skip_serializing_if = "is_default")]
    pub crashes_on_start: u32,
}
