use crate::job::TaskId;

/// A change of what the scheduler believes, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// A run is over without an end that its worker listed.
    RunLost {
        /// Task.
        task: TaskId,
        /// Number of its start.
        run: u64,
        /// Worker.
        worker: String,
        /// How that is known.
        loss: RunLoss,
    },
}

/// How it is known that a run is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunLoss {
    /// The worker's life is over.
    LifeEnded,
    /// The lease of a silent worker has ended for sure.
    LeaseEnded,
    /// The worker no longer lists it.
    NotListed,
}
