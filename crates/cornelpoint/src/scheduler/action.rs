use std::sync::Arc;

use crate::job::StepId;
use crate::job::TaskId;

/// Number that the pool's scheduler gives to an incarnation of a worker.
pub type IncarnationIndex = u32;

/// An order or a request that the scheduler wants carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a run of a task.
    Start {
        /// Incarnation to send the order to.
        incarnation: IncarnationIndex,
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Text passed to the task.
        spec: Arc<str>,
        /// End of the lease, by the worker's clock.
        deadline_clock_ms: u64,
        /// Latest end of the lease, by this process's monotonic clock. Another incarnation
        /// of the worker, whose clock began anew, must not run the task for longer.
        lease_end_ms: u64,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
        /// Ticket issued by the advice service.
        ticket: Option<String>,
    },
    /// Stop a run, or prevent it from starting.
    Stop {
        /// Incarnation to send the order to.
        incarnation: IncarnationIndex,
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
    },
    /// Renew the lease, acknowledge completions and request a status report.
    RenewLease {
        /// Incarnation to send the request to.
        incarnation: IncarnationIndex,
        /// Completions up to this sequence number are stored.
        acknowledged: u64,
        /// End of the lease, by the worker's clock; `None` to leave the lease
        /// as it is, for example while nothing runs.
        deadline_clock_ms: Option<u64>,
        /// Longest time that the worker may wait for a completion before it
        /// answers.
        wait_ms: u64,
    },
    /// Limit a run to a share of its full speed.
    Pace {
        /// Incarnation to send the order to.
        incarnation: IncarnationIndex,
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Share of full speed, 0 to 100.
        percent: u64,
    },
    /// Request advice on which workers may run a step.
    RequestAdvice {
        /// Step to be placed.
        step: StepId,
        /// Incarnations to request advice on.
        incarnations: Vec<IncarnationIndex>,
    },
}

/// Why a lease renewal returned no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalFailure {
    /// The worker rejected the fencing token.
    Fenced,
    /// Another incarnation answers at the address, so this one has ended.
    OtherIncarnation,
    /// No answer, or an unreadable one.
    NoAnswer,
}
