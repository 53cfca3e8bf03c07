use std::fmt;

use cornelpoint::configuration::Generation;
use cornelpoint::name::InstanceId;

use super::invocation::CallId;

/// A violation of a guarantee about requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A non-idempotent request ran more than once.
    RanMoreThanOnce {
        /// Idempotency key, or the request's identity if there is no key.
        request: String,
        /// Number of runs.
        runs: usize,
    },
    /// A request ran although the gateway rejected it as not run.
    RefusedButRan {
        /// Call that is affected.
        call: CallId,
        /// Endpoint that ran the request.
        instance: InstanceId,
    },
    /// A call was answered although no endpoint ran its request.
    AnsweredWithoutRun {
        /// Call that is affected.
        call: CallId,
    },
    /// An answer is incomplete or belongs to another request.
    WrongAnswer {
        /// Call that is affected.
        call: CallId,
    },
    /// Two calls with the same idempotency key got different answers.
    AnswersDiffer {
        /// Idempotency key of the calls.
        request: String,
    },
    /// A call has no completion.
    NeverEnded {
        /// Call that is affected.
        call: CallId,
    },
    /// An endpoint ran more requests at once than it has slots.
    OverSlots {
        /// Instance of the endpoint.
        instance: InstanceId,
        /// Peak number of running requests.
        peak: usize,
    },
    /// An endpoint got more connections than its limit.
    OverConnections {
        /// Instance of the endpoint.
        instance: InstanceId,
        /// Connections over the limit.
        refused: u64,
    },
    /// An endpoint started a new run although it was leaving.
    WorkWhileLeaving {
        /// Instance of the endpoint.
        instance: InstanceId,
        /// Number of the run at the endpoint.
        run_number: u64,
        /// Time from the leaving notice to the start of the run.
        after_ms: u64,
    },
    /// A planned stop aborted a request in flight.
    CutByPlannedStop {
        /// Call that is affected.
        call: CallId,
        /// Gateway or endpoint that stopped.
        instance: InstanceId,
    },
    /// A process went back to an earlier generation.
    GenerationWentBack {
        /// Name of the process.
        process: String,
        /// Generation before the change.
        before: Generation,
        /// Generation after the change.
        after: Generation,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RanMoreThanOnce { request, runs } => {
                write!(
                    formatter,
                    "expected {request} to run at most once, found {runs} runs"
                )
            }
            Self::RefusedButRan { call, instance } => write!(
                formatter,
                "expected no run for call {call}, rejected as not run, found one at {instance}"
            ),
            Self::AnsweredWithoutRun { call } => {
                write!(formatter, "expected a run for call {call}, found none")
            }
            Self::WrongAnswer { call } => {
                write!(
                    formatter,
                    "expected the complete answer to its own request for call {call}, found another"
                )
            }
            Self::AnswersDiffer { request } => {
                write!(
                    formatter,
                    "expected one answer to {request}, found different ones"
                )
            }
            Self::NeverEnded { call } => {
                write!(
                    formatter,
                    "expected call {call} to complete, found no completion"
                )
            }
            Self::OverSlots { instance, peak } => {
                write!(
                    formatter,
                    "expected no request over the slots of {instance}, found {peak} running at once"
                )
            }
            Self::OverConnections { instance, refused } => write!(
                formatter,
                "expected no connection over the limit of {instance}, found {refused}"
            ),
            Self::WorkWhileLeaving {
                instance,
                run_number,
                after_ms,
            } => write!(
                formatter,
                "expected no new run at {instance}, found run {run_number} {after_ms} ms after the leaving notice"
            ),
            Self::CutByPlannedStop { call, instance } => write!(
                formatter,
                "expected call {call} to complete during the stop of {instance}, found it aborted"
            ),
            Self::GenerationWentBack {
                process,
                before,
                after,
            } => write!(
                formatter,
                "expected {process} to stay at generation {before} or above, found {after}"
            ),
        }
    }
}
