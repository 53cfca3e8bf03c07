use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde::de::value::Error;
use serde::de::value::StrDeserializer;

use super::run_state::RunState;

/// Why the caller does not receive an endpoint's answer.
///
/// The HTTP status and the run state are derived from the reason, so that they
/// cannot contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The request is not well-formed HTTP or uses a form that is not supported.
    BadRequest,
    /// The deadline header is not a number of milliseconds in range.
    BadDeadline,
    /// The idempotency key has an invalid length or character.
    BadKey,
    /// The key was used before with another method, path or body.
    KeyReused,
    /// The configuration has no such service.
    UnknownService,
    /// The method is not accepted.
    BadMethod,
    /// The caller took too long to send its request.
    SlowCaller,
    /// The body exceeds the service's size limit.
    BodyTooLarge,
    /// The headers exceed the size limit.
    HeadersTooLarge,
    /// The gateway has reached its limit of connections or requests.
    Overloaded,
    /// The service's queue is full.
    QueueFull,
    /// The request could not be completed by its deadline.
    DeadlineTooNear,
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// The gateway has no configuration yet.
    NotReady,
    /// The gateway is stopping.
    Stopping,
    /// The claim for the key could not be recorded.
    ClaimUnavailable,
    /// Another request with the same key has no answer in time, or never will
    /// have one.
    ClaimUnresolved,
    /// The endpoint did not answer in time.
    AnswerLate,
    /// The connection to the endpoint broke, or its answer was truncated.
    AnswerCut,
    /// The answer exceeds the size limit.
    AnswerTooLarge,
    /// The answer is not well-formed HTTP.
    AnswerMalformed,
    /// No room was left for the answer.
    AnswerDropped,
}

impl Refusal {
    /// Name of the response header that carries the reason.
    pub const HEADER: &'static str = "cornelpoint-reason";

    /// Returns whether the request ran.
    ///
    /// ```
    /// use cornelpoint::request::Refusal;
    /// use cornelpoint::request::RunState;
    ///
    /// assert_eq!(Refusal::QueueFull.run_state(), RunState::No);
    /// assert_eq!(Refusal::AnswerLate.run_state(), RunState::Unknown);
    /// ```
    #[must_use]
    pub fn run_state(self) -> RunState {
        match self {
            Self::BadRequest
            | Self::BadDeadline
            | Self::BadKey
            | Self::KeyReused
            | Self::UnknownService
            | Self::BadMethod
            | Self::SlowCaller
            | Self::BodyTooLarge
            | Self::HeadersTooLarge
            | Self::Overloaded
            | Self::QueueFull
            | Self::DeadlineTooNear
            | Self::NoEndpoint
            | Self::NotReady
            | Self::Stopping
            | Self::ClaimUnavailable => RunState::No,
            Self::ClaimUnresolved
            | Self::AnswerLate
            | Self::AnswerCut
            | Self::AnswerTooLarge
            | Self::AnswerMalformed
            | Self::AnswerDropped => RunState::Unknown,
        }
    }

    /// Returns the HTTP status for the reason.
    ///
    /// ```
    /// use cornelpoint::request::Refusal;
    ///
    /// assert_eq!(Refusal::UnknownService.status(), 404);
    /// ```
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::BadDeadline | Self::BadKey => 400,
            Self::UnknownService => 404,
            Self::BadMethod => 405,
            Self::SlowCaller => 408,
            Self::BodyTooLarge => 413,
            Self::KeyReused => 422,
            Self::HeadersTooLarge => 431,
            Self::Overloaded
            | Self::QueueFull
            | Self::DeadlineTooNear
            | Self::NoEndpoint
            | Self::NotReady
            | Self::Stopping
            | Self::ClaimUnavailable => 503,
            Self::AnswerCut
            | Self::AnswerTooLarge
            | Self::AnswerMalformed
            | Self::AnswerDropped => 502,
            Self::AnswerLate | Self::ClaimUnresolved => 504,
        }
    }

    /// Parses the value of the reason header; `None` if it is not a known reason.
    ///
    /// ```
    /// use cornelpoint::request::Refusal;
    ///
    /// assert_eq!(Refusal::from_header("queue-full"), Some(Refusal::QueueFull));
    /// assert_eq!(Refusal::from_header("queue-empty"), None);
    /// ```
    #[must_use]
    pub fn from_header(value: &str) -> Option<Self> {
        Self::deserialize(StrDeserializer::<Error>::new(value)).ok()
    }

    /// Returns the reason as written in the header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::BadDeadline => "bad-deadline",
            Self::BadKey => "bad-key",
            Self::KeyReused => "key-reused",
            Self::UnknownService => "unknown-service",
            Self::BadMethod => "bad-method",
            Self::SlowCaller => "slow-caller",
            Self::BodyTooLarge => "body-too-large",
            Self::HeadersTooLarge => "headers-too-large",
            Self::Overloaded => "overloaded",
            Self::QueueFull => "queue-full",
            Self::DeadlineTooNear => "deadline-too-near",
            Self::NoEndpoint => "no-endpoint",
            Self::NotReady => "not-ready",
            Self::Stopping => "stopping",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::ClaimUnresolved => "claim-unresolved",
            Self::AnswerLate => "answer-late",
            Self::AnswerCut => "answer-cut",
            Self::AnswerTooLarge => "answer-too-large",
            Self::AnswerMalformed => "answer-malformed",
            Self::AnswerDropped => "answer-dropped",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
