use cornelpoint::job::TaskId;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::Batch;
use cornelpoint::scheduler::BatchOutcome;
use cornelpoint::scheduler::IncarnationIndex;
use cornelpoint::scheduler::RenewalFailure;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::WorkerReport;

#[derive(Debug)]
pub(super) enum Event {
    Reply(usize, Reply),
    Late(usize, Action),
    Commit(usize, Batch),
    Committed(usize, BatchOutcome),
    /// A transaction without an answer, and the sign of life that it found.
    LateCommit(usize, u64, Batch),
}

#[derive(Debug)]
pub(super) enum Reply {
    Start(IncarnationIndex, TaskId, u64, OrderOutcome),
    Stop(IncarnationIndex, TaskId, u64, OrderOutcome),
    Look(IncarnationIndex, Result<WorkerReport, RenewalFailure>),
}

/// The answer to an order that brought none.
pub(super) fn silence(action: &Action) -> Reply {
    match action {
        Action::Start {
            incarnation,
            task,
            run,
            ..
        } => Reply::Start(*incarnation, *task, *run, OrderOutcome::NoAnswer),
        Action::Stop {
            incarnation,
            task,
            run,
        }
        | Action::Pace {
            incarnation,
            task,
            run,
            ..
        } => Reply::Stop(*incarnation, *task, *run, OrderOutcome::NoAnswer),
        Action::RenewLease { incarnation, .. } => {
            Reply::Look(*incarnation, Err(RenewalFailure::NoAnswer))
        }
        Action::RequestAdvice { .. } => unreachable!("no queue here has advice"),
    }
}
