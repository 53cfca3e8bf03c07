use serde::Deserialize;
use serde::Serialize;

/// Status of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has started.
    #[default]
    Pending,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// The caller has cancelled it.
    Cancelled,
}

impl JobStatus {
    /// Whether the status can no longer change.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
