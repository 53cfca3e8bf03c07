use crate::ejection::Outcome;
use crate::retry::SendResult;

/// Lowest HTTP status that counts as a failure of the endpoint.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// How a send ended, and what it revealed about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendReport {
    /// Result for the request.
    pub result: SendResult,
    /// Whether the endpoint announced that it is leaving.
    pub leaving: bool,
    /// Whether the endpoint refused the connection.
    pub refused: bool,
    /// Whether the endpoint could not be reached in time.
    pub unreachable: bool,
}

impl SendReport {
    /// Classifies the send for the health record of the endpoint.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.leaving {
            return Outcome::Leaving;
        }
        match self.result {
            SendResult::Answered { status } if status >= MIN_SERVER_ERROR_STATUS => Outcome::Failed,
            SendResult::Answered { .. } => Outcome::Succeeded,
            SendResult::Broken => Outcome::Failed,
            SendResult::Late => Outcome::TimedOut,
            SendResult::NotSent if self.refused => Outcome::Refused,
            SendResult::NotSent if self.unreachable => Outcome::Failed,
            SendResult::NotSent | SendResult::NotStarted => Outcome::Withdrawn,
        }
    }
}
