use std::fmt;

use cornelpoint::request::Refusal;

use super::endpoint_answer::EndpointAnswer;

/// Result of sending a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The endpoint answered, and the answer is complete.
    Answered(EndpointAnswer),
    /// No byte of the request can have been sent.
    NotSent(NotSent),
    /// The endpoint reported that it did not start the request.
    NotStarted {
        /// Whether it also announced that it is leaving.
        leaving: bool,
    },
    /// The request may have run, but there is no usable answer:
    /// [`Refusal::AnswerLate`], [`Refusal::AnswerCut`],
    /// [`Refusal::AnswerTooLarge`], [`Refusal::AnswerMalformed`] or
    /// [`Refusal::AnswerDropped`].
    Broken(Refusal),
}

/// Why no byte of a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// The endpoint refused the connection.
    Refused,
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection could not be established for another reason.
    Unreachable,
    /// The deadline had passed before the send.
    DeadlinePassed,
    /// The target or a header is too long or not valid in a request.
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
