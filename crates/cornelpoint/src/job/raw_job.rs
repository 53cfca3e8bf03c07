use serde::Deserialize;
use serde::Serialize;

/// A job as submitted, before validation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RawJob {
    /// Text passed to every task.
    pub spec: String,
    /// Steps in the order in which other steps refer to them.
    pub steps: Vec<RawStep>,
    /// Number of occurrences; 0 for a job that runs once, immediately.
    pub repeat_count: u64,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Interval between occurrences.
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
    pub replicas: u64,
    /// CPU of a task, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory of a task, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators of a task.
    pub accelerators: u64,
    /// Estimated duration of a task.
    pub estimate_ms: u64,
    /// Indexes, from 0, of earlier steps that must be done before this one.
    pub after: Vec<u64>,
    /// Whether tasks save checkpoints.
    pub saves_progress: bool,
    /// Whether the tasks form a gang, which can only run as a whole.
    pub gang: bool,
    /// Whether the tasks run faster when all of them are on one rack.
    pub same_rack: bool,
    /// Label that a worker must have to run the tasks.
    pub required_label: Option<String>,
    /// Rack that holds the tasks' data.
    pub preferred_rack: Option<String>,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    pub max_per_worker: u64,
    /// Whether several copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Program image that the tasks run.
    pub image: Option<String>,
    /// Upper bound on the tail of response times; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks are fillers, which use only CPU time that other tasks
    /// leave.
    pub fills: bool,
    /// Maximum number of tasks that planned actions may keep from running at
    /// the same time; 0 for no limit.
    pub may_miss: u64,
}
