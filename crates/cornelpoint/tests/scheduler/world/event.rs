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
    /// An order that gets no answer, and the start of the incarnation it was sent to.
    LateOrder(usize, Action, u64),
    Commit(usize, Batch),
    Committed(usize, BatchOutcome),
    /// A transaction whose answer was lost, and the heartbeat version that it
    /// is conditional on.
    LateCommit(usize, u64, Batch),
}

#[derive(Debug)]
pub(super) enum Reply {
    Start(IncarnationIndex, TaskId, u64, OrderOutcome),
    Stop(IncarnationIndex, TaskId, u64, OrderOutcome),
    Renewal(IncarnationIndex, Result<WorkerReport, RenewalFailure>),
}

/// Returns the reply to an action that got no answer.
pub(super) fn no_answer(action: &Action) -> Reply {
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
            Reply::Renewal(*incarnation, Err(RenewalFailure::NoAnswer))
        }
        Action::RequestAdvice { .. } => unreachable!("no queue in this test uses advice"),
    }
}
