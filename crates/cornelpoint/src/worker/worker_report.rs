use crate::job::TaskId;

/// What a worker runs and what has ended there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// Start of this life, in milliseconds since 1970; 0 when not said.
    pub born_unix_ms: u64,
    /// The worker's clock.
    pub clock_ms: u64,
    /// Runs at work.
    pub running: Vec<ActiveRun>,
    /// Runs that have ended and were not acknowledged, oldest first.
    pub completions: Vec<RunCompletion>,
}

/// A run at work.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRun {
    /// Task.
    pub task: TaskId,
    /// Number of its start.
    pub run: u64,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Share of its full speed: 100 once its start-up is over.
    pub speed_percent: u64,
    /// Tail of response times of a serving task in milliseconds, else the
    /// processor in use in thousandths of a core.
    pub gauge: u64,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RunCompletion {
    /// Place in the worker's list; rises through its life.
    pub sequence: u64,
    /// Task.
    pub task: TaskId,
    /// Number of its start.
    pub run: u64,
    /// How it ended.
    pub kind: CompletionKind,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// How a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// Well.
    Done,
    /// By its own or the worker's fault.
    Failed,
    /// By an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}
