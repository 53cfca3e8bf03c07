use cornelpoint::name::ServiceName;
use cornelpoint::request::RunState;

/// Request of the demo and its result.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) service: ServiceName,
    /// Path, unique to the request; identifies its runs at the endpoints.
    pub(super) path: String,
    pub(super) idempotent: bool,
    /// When it was due, in milliseconds since 1970.
    pub(super) due_ms: u64,
    pub(super) result: CallResult,
}

/// Result of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallResult {
    /// The complete answer to this request.
    Answered,
    /// An answer that is incomplete or belongs to another request.
    WrongAnswer,
    /// An answer of the gateway itself, with its run state and reason.
    Refused(RunState, String),
    /// No answer from the gateway, with the error.
    Lost(String),
}

impl Outcome {
    pub(super) fn is_answered(&self) -> bool {
        self.result == CallResult::Answered
    }
}
