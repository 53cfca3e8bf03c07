use super::action::IncarnationIndex;
use super::crashes::CrashCount;

/// In-memory state of a task.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskEntry {
    pub(super) done: bool,
    pub(super) failed_runs: Vec<u64>,
    pub(super) crashes: CrashCount,
    pub(super) last_run: u64,
    pub(super) checkpoint: String,
    pub(super) runs: Vec<Run>,
    /// When the task was last left without a run; relevant to long-running
    /// tasks.
    pub(super) idle_since_ms: u64,
    /// Whether a run of the task was stopped for a job that goes before it.
    pub(super) preempted: bool,
}

impl TaskEntry {
    /// Returns the run with this number.
    pub(super) fn run(&self, number: u64) -> Option<&Run> {
        self.runs.iter().find(|run| run.number == number)
    }

    /// Returns the run with this number, to be changed.
    pub(super) fn run_mut(&mut self, number: u64) -> Option<&mut Run> {
        self.runs.iter_mut().find(|run| run.number == number)
    }

    /// Keeps a checkpoint that a run has reported. While a task has two runs, those of the
    /// earlier one count: the other one may have begun from an older checkpoint.
    pub(super) fn keep_checkpoint(&mut self, number: u64, checkpoint: &str) {
        let is_earliest = self.runs.iter().all(|run| number <= run.number);
        if !checkpoint.is_empty() && is_earliest {
            checkpoint.clone_into(&mut self.checkpoint);
        }
    }

    /// Removes and returns the run with this number.
    pub(super) fn remove_run(&mut self, number: u64) -> Option<Run> {
        let index = self.runs.iter().position(|run| run.number == number)?;
        Some(self.runs.swap_remove(index))
    }
}

/// A run of a task that may be active on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Run {
    pub(super) number: u64,
    pub(super) incarnation: IncarnationIndex,
    pub(super) phase: Phase,
    pub(super) started_ms: u64,
    /// Whether a report of the incarnation has listed it. The answer to the order doesn't
    /// say which incarnation of the worker gave it.
    pub(super) reported: bool,
    /// When a report first listed it, if a predecessor started it.
    pub(super) adopted_ms: Option<u64>,
    /// Whether it is known to last much longer than usual.
    pub(super) overdue: bool,
    /// Share of full speed that the worker last reported.
    pub(super) percent: u64,
    /// Share of full speed that was last ordered, in percent.
    pub(super) pace: u64,
}

impl Run {
    /// Whether the worker has confirmed or listed the run.
    pub(super) fn is_confirmed(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Start ordered; no answer yet.
    Starting,
    /// The worker confirmed or listed the run at this time.
    Running { confirmed_ms: u64 },
    /// The start order got no answer and may still be carried out.
    Unanswered,
    /// Stop ordered, last sent at this time.
    Stopping { sent_ms: u64 },
    /// The worker confirmed the stop at this time.
    Stopped { confirmed_ms: u64 },
}
