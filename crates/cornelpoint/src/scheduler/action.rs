use std::sync::Arc;

use crate::job::StepId;
use crate::job::TaskId;

/// One life of a worker, as its pool's scheduler numbers it.
pub type IncarnationIndex = u32;

/// An order that the scheduler wants carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a task.
    Start {
        /// Where.
        incarnation: IncarnationIndex,
        /// Task.
        task: TaskId,
        /// Number of this start.
        run: u64,
        /// Text handed to the task.
        spec: Arc<str>,
        /// End of the lease, by the worker's clock.
        deadline_clock_ms: u64,
        /// Checkpoint to go on from; empty for none.
        checkpoint: String,
        /// Ticket of the advice service.
        ticket: Option<String>,
    },
    /// Stop a run, or make sure that it never starts.
    Stop {
        /// Where.
        incarnation: IncarnationIndex,
        /// Task.
        task: TaskId,
        /// Number of its start.
        run: u64,
    },
    /// Renew the lease, acknowledge ends and ask for a report.
    RenewLease {
        /// Where.
        incarnation: IncarnationIndex,
        /// Ends up to this number are stored.
        acknowledged: u64,
        /// End of the lease by the worker's clock; `None` while nothing runs.
        deadline_clock_ms: Option<u64>,
        /// How long the worker may wait for an end.
        wait_ms: u64,
    },
    /// Let a task work at a share of its speed.
    Pace {
        /// Where.
        incarnation: IncarnationIndex,
        /// Task.
        task: TaskId,
        /// Number of its start.
        run: u64,
        /// Share, 0 to 100.
        percent: u64,
    },
    /// Ask which workers may run a step.
    RequestAdvice {
        /// Step.
        step: StepId,
        /// Lives to ask about.
        incarnations: Vec<IncarnationIndex>,
    },
}

/// Why a look brought no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalFailure {
    /// The worker refused the fencing token.
    Fenced,
    /// Another life answers at the address: this one is over.
    OtherIncarnation,
    /// No answer, or none that can be read.
    NoAnswer,
}
