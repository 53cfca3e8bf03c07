use cornelpoint::name::ServiceName;
use cornelpoint::request::RunState;

/// How one of the demo's requests ended.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) service: ServiceName,
    /// Path that no other request has.
    pub(super) path: String,
    pub(super) idempotent: bool,
    /// When it was due, in milliseconds since 1970.
    pub(super) due_ms: u64,
    pub(super) end: CallResult,
}

/// The end of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallResult {
    /// The whole answer to this request.
    Answered,
    /// Something else was passed off as the answer.
    WrongAnswer,
    /// A refusal with its run state and reason.
    Refused(RunState, String),
    /// No answer of the gateway.
    Lost(String),
}

impl Outcome {
    pub(super) fn is_answered(&self) -> bool {
        self.end == CallResult::Answered
    }
}
