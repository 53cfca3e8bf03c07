use serde::Deserialize;
use serde::Serialize;

/// A job as written, not checked yet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RawJob {
    /// Text handed to every task.
    pub spec: String,
    /// Steps, in order.
    pub steps: Vec<RawStep>,
    /// Occurrences; 0 for a job that runs once, now.
    pub repeat_count: u64,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// From one occurrence to the next.
    pub interval_ms: u64,
}

/// A step as written, not checked yet.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a property of its own that callers set"
)]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RawStep {
    /// Number of tasks.
    pub replicas: u64,
    /// Processor of a task, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory of a task.
    pub memory_mb: u64,
    /// Accelerators of a task.
    pub accelerators: u64,
    /// Rough duration of a task.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first, from 0.
    pub after: Vec<u64>,
    /// Whether tasks save checkpoints.
    pub saves_progress: bool,
    /// Whether tasks work only all together.
    pub gang: bool,
    /// Whether tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<String>,
    /// Rack where the data is.
    pub preferred_rack: Option<String>,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub max_per_worker: u64,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Program that the tasks run.
    pub image: Option<String>,
    /// Bound on the tail of response times; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks use only processor time that others leave.
    pub fills: bool,
    /// Tasks that planned actions may keep away at the same time.
    pub may_miss: u64,
}
