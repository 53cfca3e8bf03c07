use std::fmt;

use cornelpoint::request::Refusal;

use super::endpoint_answer::EndpointAnswer;

/// What became of a request that was to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The endpoint answered, and all of the answer came.
    Answered(EndpointAnswer),
    /// No byte of the request can have left.
    NotSent(NotSent),
    /// The endpoint said that it did not start the request.
    NotStarted {
        /// Whether it also said that it leaves.
        leaving: bool,
    },
    /// The request may have run: [`Refusal::AnswerLate`],
    /// [`Refusal::AnswerCut`], [`Refusal::AnswerTooLarge`] or
    /// [`Refusal::AnswerMalformed`].
    Broken(Refusal),
}

/// Why no byte of a request left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// The endpoint refused the connection.
    Refused,
    /// The connection was not made in time.
    ConnectTimeout,
    /// The connection could not be made for another reason.
    Unreachable,
    /// The deadline had passed before.
    DeadlinePassed,
    /// The target or a header can't be put into a request.
    Unsendable,
}

impl fmt::Display for NotSent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Refused => "connection refused",
            Self::ConnectTimeout => "connection not made in time",
            Self::Unreachable => "endpoint unreachable",
            Self::DeadlinePassed => "deadline passed",
            Self::Unsendable => "request not in a form that can be sent",
        })
    }
}
