use super::action::IncarnationIndex;

/// A task of a job in memory.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskEntry {
    pub(super) done: bool,
    pub(super) failed_runs: Vec<u64>,
    pub(super) last_run: u64,
    pub(super) checkpoint: String,
    pub(super) runs: Vec<Run>,
    /// When it last lost its run, for tasks that are to be always at work.
    pub(super) idle_since_ms: u64,
}

impl TaskEntry {
    /// The run of a number.
    pub(super) fn run_mut(&mut self, number: u64) -> Option<&mut Run> {
        self.runs.iter_mut().find(|run| run.number == number)
    }

    /// Takes a run out.
    pub(super) fn remove_run(&mut self, number: u64) -> Option<Run> {
        let index = self.runs.iter().position(|run| run.number == number)?;
        Some(self.runs.swap_remove(index))
    }
}

/// A start of a task that may be at work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Run {
    pub(super) number: u64,
    pub(super) incarnation: IncarnationIndex,
    pub(super) phase: Phase,
    pub(super) started_ms: u64,
    /// Share of its full speed, as last reported.
    pub(super) percent: u64,
    /// Share that was last ordered.
    pub(super) pace: u64,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Ordered; no answer yet.
    Starting,
    /// The worker has confirmed it at this time, or has listed it.
    Running { confirmed_ms: u64 },
    /// The order got no answer: it may still be carried out.
    Unanswered,
    /// A stop is on its way, last sent at this time.
    Stopping { sent_ms: u64 },
    /// The worker confirmed a stop at this time.
    Stopped { confirmed_ms: u64 },
}
