use cornelpoint::request::RunState;
use serde::Deserialize;
use serde::Serialize;

use super::answer_body::AnswerBody;

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The answer of an endpoint.
    Answered {
        /// HTTP status.
        status: u16,
        /// What the body is.
        body: AnswerBody,
    },
    /// A refusal by the gateway.
    Refused {
        /// HTTP status.
        status: u16,
        /// Whether the request ran, as the gateway says; no or unknown.
        run: RunState,
        /// Why, as the gateway says.
        reason: String,
    },
    /// No whole answer came.
    Lost {
        /// What the caller saw.
        found: String,
    },
}

/// The end of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub ended_ms: u64,
}
