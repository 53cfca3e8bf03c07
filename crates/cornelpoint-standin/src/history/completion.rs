use cornelpoint::request::RunState;
use serde::Deserialize;
use serde::Serialize;

use super::answer_body::AnswerBody;

/// Outcome of a call, as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The answer of an endpoint.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: AnswerBody,
    },
    /// A refusal by the gateway.
    Refused {
        /// HTTP status.
        status: u16,
        /// Whether the request ran, as stated by the gateway.
        run: RunState,
        /// Reason given by the gateway.
        reason: String,
    },
    /// No complete, valid answer was received.
    Lost {
        /// Error that the caller saw.
        found: String,
    },
}

/// Completion of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// When the call completed.
    pub ended_ms: u64,
}
