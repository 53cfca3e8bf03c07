use super::resources::Resources;

/// A checked step.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a property of its own that callers set"
)]
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub replicas: u32,
    /// Needs of one task.
    pub resources: Resources,
    /// Rough duration of a task.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
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
    /// Most tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Program that the tasks run.
    pub image: Option<String>,
    /// Bound on the tail of response times.
    pub target_ms: Option<u64>,
    /// Whether the tasks use only processor time that others leave.
    pub fills: bool,
    /// Tasks that planned actions may keep away at the same time.
    pub may_miss: Option<u32>,
}

impl Step {
    /// What a task takes from a worker's capacity: tasks that fill take no
    /// processor.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        if self.fills {
            Resources {
                cpu_millicores: 0,
                ..self.resources
            }
        } else {
            self.resources
        }
    }

    /// Estimated work of all tasks, in core-milliseconds.
    #[must_use]
    pub fn work_core_ms(&self) -> u64 {
        if self.fills || self.long_running {
            return 0;
        }
        u64::from(self.replicas) * self.resources.cpu_millicores * self.estimate_ms / 1000
    }
}
