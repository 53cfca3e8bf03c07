use std::fmt;

use cornelpoint::configuration::Generation;
use cornelpoint::name::InstanceId;

use super::invocation::CallId;

/// A breach of what is promised about requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A non-idempotent request ran more than once.
    RanMoreThanOnce {
        /// The idempotency key, or the request's identity without one.
        request: String,
        /// How often it ran.
        runs: usize,
    },
    /// A refusal said that the request was not run, but it was.
    RefusedButRan {
        /// The call.
        call: CallId,
        /// The endpoint that ran it.
        instance: InstanceId,
    },
    /// A call was answered that no endpoint ran.
    AnsweredWithoutRun {
        /// The call.
        call: CallId,
    },
    /// An answer is not the whole answer to its own request.
    WrongAnswer {
        /// The call.
        call: CallId,
    },
    /// Two calls of one keyed request got different answers.
    AnswersDiffer {
        /// The idempotency key.
        request: String,
    },
    /// A call never ended.
    NeverEnded {
        /// The call.
        call: CallId,
    },
    /// An endpoint ran more requests at once than it has slots.
    OverSlots {
        /// The endpoint.
        instance: InstanceId,
        /// Most requests at once.
        peak: usize,
    },
    /// An endpoint was offered more connections than it takes.
    OverConnections {
        /// The endpoint.
        instance: InstanceId,
        /// Connections refused.
        refused: u64,
    },
    /// An endpoint began new work although it was leaving.
    WorkWhileLeaving {
        /// The endpoint.
        instance: InstanceId,
        /// Number of the run.
        run_number: u64,
        /// Time from the sign to the start of the run.
        after_ms: u64,
    },
    /// A planned stop cut a request in flight.
    CutByPlannedStop {
        /// The call.
        call: CallId,
        /// What stopped.
        instance: InstanceId,
    },
    /// A process went back to an earlier generation.
    GenerationWentBack {
        /// The process.
        process: String,
        /// The generation before.
        before: Generation,
        /// The generation after.
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
                "expected call {call}, refused as not run, not to run, found a run at {instance}"
            ),
            Self::AnsweredWithoutRun { call } => {
                write!(formatter, "expected a run for call {call}, found none")
            }
            Self::WrongAnswer { call } => {
                write!(
                    formatter,
                    "expected the whole own answer for call {call}, found another"
                )
            }
            Self::AnswersDiffer { request } => {
                write!(
                    formatter,
                    "expected one answer to {request}, found different ones"
                )
            }
            Self::NeverEnded { call } => {
                write!(formatter, "expected call {call} to end, found no end")
            }
            Self::OverSlots { instance, peak } => {
                write!(
                    formatter,
                    "expected no request over the slots of {instance}, found {peak} at once"
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
                "expected no new work at {instance}, found run {run_number} {after_ms} ms after the sign"
            ),
            Self::CutByPlannedStop { call, instance } => write!(
                formatter,
                "expected the stop of {instance} to finish call {call}, found it cut"
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
