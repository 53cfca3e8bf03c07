use crate::ejection::Outcome;
use crate::retry::SendResult;

/// Lowest status that blames the endpoint.
const SERVER_ERROR: u16 = 500;

/// How a send ended, with what the endpoint said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendReport {
    /// What became of the request.
    pub result: SendResult,
    /// Whether the endpoint said that it leaves.
    pub leaving: bool,
    /// Whether the endpoint refused the connection.
    pub refused: bool,
    /// Whether the endpoint could not be reached in time.
    pub unreachable: bool,
}

impl SendReport {
    /// What the send tells of the endpoint.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.leaving {
            return Outcome::Leaving;
        }
        match self.result {
            SendResult::Answered { status } if status >= SERVER_ERROR => Outcome::Failed,
            SendResult::Answered { .. } => Outcome::Succeeded,
            SendResult::Broken => Outcome::Failed,
            SendResult::Late => Outcome::TimedOut,
            SendResult::NotSent if self.refused => Outcome::Refused,
            SendResult::NotSent if self.unreachable => Outcome::Failed,
            SendResult::NotSent | SendResult::NotStarted => Outcome::Withdrawn,
        }
    }
}
