use super::resources::Resources;

/// A validated step.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties are independent and set by callers"
)]
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub replicas: u32,
    /// Resources that one task needs.
    pub resources: Resources,
    /// Estimated duration of a task.
    pub estimate_ms: u64,
    /// Indexes, from 0, of earlier steps that must be done before this one.
    pub after: Vec<u16>,
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
    /// Maximum number of the step's tasks on one worker; `None` for no limit.
    pub max_per_worker: Option<u32>,
    /// Whether several copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Program image that the tasks run.
    pub image: Option<String>,
    /// Upper bound on the tail of response times; `None` for none.
    pub target_ms: Option<u64>,
    /// Whether the tasks are fillers, which use only CPU time that other tasks
    /// leave.
    pub fills: bool,
    /// Maximum number of tasks that planned actions may keep from running at
    /// the same time; `None` for no limit.
    pub may_miss: Option<u32>,
}

impl Step {
    /// A step without tasks.
    pub(crate) const NONE: Self = Self {
        replicas: 0,
        resources: Resources {
            cpu_millicores: 0,
            memory_mb: 0,
            accelerators: 0,
        },
        estimate_ms: 0,
        after: Vec::new(),
        saves_progress: false,
        gang: false,
        same_rack: false,
        required_label: None,
        preferred_rack: None,
        max_per_worker: None,
        speculative: false,
        long_running: false,
        image: None,
        target_ms: None,
        fills: false,
        may_miss: None,
    };

    /// Returns the capacity that a task reserves on a worker; fillers reserve no
    /// CPU.
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

    /// Whether workers with enough room may still not run a task: they lack a label, or
    /// run as many tasks of the step as they may.
    ///
    /// ```
    /// use cornelpoint::job::JobSpec;
    /// use cornelpoint::job::RawJob;
    /// use cornelpoint::job::RawStep;
    ///
    /// let steps = vec![RawStep { replicas: 1, max_per_worker: 1, ..RawStep::default() }];
    /// let job = JobSpec::try_from(RawJob { steps, ..RawJob::default() }).unwrap();
    /// assert!(job.steps[0].is_restricted());
    /// ```
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.required_label.is_some() || self.max_per_worker.is_some()
    }

    /// Whether a task may have two runs at the same time: copies are allowed and the task
    /// ends by itself, alone, and uses capacity of its own.
    ///
    /// ```
    /// use cornelpoint::job::JobSpec;
    /// use cornelpoint::job::RawJob;
    /// use cornelpoint::job::RawStep;
    ///
    /// let copied = RawStep { replicas: 1, speculative: true, ..RawStep::default() };
    /// let gang = RawStep { gang: true, ..copied.clone() };
    /// let steps = vec![copied, gang];
    /// let job = JobSpec::try_from(RawJob { steps, ..RawJob::default() }).unwrap();
    /// assert!(job.steps[0].allows_copies());
    /// assert!(!job.steps[1].allows_copies());
    /// ```
    #[must_use]
    pub fn allows_copies(&self) -> bool {
        self.speculative && !self.long_running && !self.gang && !self.fills
    }

    /// Returns the estimated work of all tasks, in core-milliseconds; 0 for
    /// fillers and long-running tasks.
    #[must_use]
    pub fn work_core_ms(&self) -> u64 {
        if self.fills || self.long_running {
            return 0;
        }
        u64::from(self.replicas) * self.resources.cpu_millicores * self.estimate_ms / 1000
    }
}
