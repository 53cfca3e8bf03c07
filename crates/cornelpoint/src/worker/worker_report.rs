use crate::job::TaskId;

/// A worker's status report: its active runs and its completions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// Start of the worker's incarnation, in milliseconds since 1970; 0 if the
    /// worker does not report it.
    pub born_unix_ms: u64,
    /// Reading of the worker's clock.
    pub clock_ms: u64,
    /// Runs that are executing.
    pub running: Vec<ActiveRun>,
    /// Completions that have not been acknowledged, oldest first.
    pub completions: Vec<RunCompletion>,
    /// Whether these are all.
    pub completeness: Completeness,
}

/// Whether a report lists all runs and completions of its worker. Only a complete one
/// shows that a run is over which it doesn't list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Completeness {
    /// It lists all.
    #[default]
    Complete,
    /// It reaches the platform's limit. Further completions follow once those listed
    /// are acknowledged.
    MoreCompletions,
    /// It has rows of which the run can't be read.
    UnreadableRows,
}

/// A run that is executing.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRun {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Run number, which increases with each start of the task.
    pub run: u64,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Current speed in percent of full speed; 100 once start-up is over.
    pub speed_percent: u64,
    /// For a serving task, the tail of its response times in milliseconds;
    /// otherwise the CPU in use, in thousandths of a core.
    pub gauge: u64,
}

/// The end of a run, as a worker reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunCompletion {
    /// Sequence number, which increases through the worker's incarnation.
    pub sequence: u64,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Run number, which increases with each start of the task.
    pub run: u64,
    /// How the run ended.
    pub kind: CompletionKind,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// The task succeeded.
    Done,
    /// The task or the worker failed.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
    /// None of these, or not readable.
    Unknown,
}
