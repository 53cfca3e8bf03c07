use serde::Deserialize;
use serde::Serialize;

/// A job as submitted, before validation. Most fields of a step have no value, so that
/// these are left out where it is stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RawJob {
    /// Text passed to every task.
    #[serde(skip_serializing_if = "is_default")]
    pub spec: String,
    /// Steps in the order in which other steps refer to them.
    #[serde(skip_serializing_if = "is_default")]
    pub steps: Vec<RawStep>,
    /// Number of occurrences; 0 for a job that runs once, immediately.
    #[serde(skip_serializing_if = "is_default")]
    pub repeat_count: u64,
    /// When the first occurrence is due, in milliseconds since 1970.
    #[serde(skip_serializing_if = "is_default")]
    pub first_unix_ms: u64,
    /// Interval between occurrences.
    #[serde(skip_serializing_if = "is_default")]
    pub interval_ms: u64,
}

/// A step as submitted, before validation.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties are independent and set by callers"
)]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RawStep {
    /// Number of tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub replicas: u64,
    /// CPU of a task, in thousandths of a core.
    #[serde(skip_serializing_if = "is_default")]
    pub cpu_millicores: u64,
    /// Memory of a task, in megabytes.
    #[serde(skip_serializing_if = "is_default")]
    pub memory_mb: u64,
    /// Number of accelerators of a task.
    #[serde(skip_serializing_if = "is_default")]
    pub accelerators: u64,
    /// Estimated duration of a task.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Indexes, from 0, of earlier steps that must be done before this one.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u64>,
    /// Whether tasks save checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub saves_progress: bool,
    /// Whether the tasks form a gang, which can only run as a whole.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks run faster when all of them are on one rack.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that a worker must have to run the tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub required_label: Option<String>,
    /// Rack that holds the tasks' data.
    #[serde(skip_serializing_if = "is_default")]
    pub preferred_rack: Option<String>,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub max_per_worker: u64,
    /// Whether several copies of a task may run in parallel.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Program image that the tasks run.
    #[serde(skip_serializing_if = "is_default")]
    pub image: Option<String>,
    /// Upper bound on the tail of response times; 0 for none.
    #[serde(skip_serializing_if = "is_default")]
    pub target_ms: u64,
    /// Whether the tasks are fillers, which use only CPU time that other tasks
    /// leave.
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
    /// Maximum number of tasks that planned actions may keep from running at
    /// the same time; 0 for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub may_miss: u64,
}

pub(super) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
