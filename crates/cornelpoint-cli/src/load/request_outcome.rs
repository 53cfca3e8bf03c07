use std::fmt;

use cornelpoint::request::RunState;
use serde::Serialize;

/// Outcome of a request of the load.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The complete answer of an endpoint.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The gateway refused the request: it did not run.
    Refused {
        /// Reason that the gateway gave.
        reason: String,
    },
    /// The gateway has no answer from an endpoint: the request may have run.
    Unknown {
        /// Reason that the gateway gave.
        reason: String,
    },
    /// The connection to the gateway failed, broke or timed out.
    Lost,
}

impl RequestOutcome {
    /// Derives the outcome from the status of an answer and the values of its
    /// headers for the run state and the reason.
    ///
    /// ```
    /// use cornelpoint_cli::load::RequestOutcome;
    ///
    /// let outcome = RequestOutcome::from_response(503, "no", "queue-full");
    /// assert_eq!(outcome.to_string(), "refused queue-full");
    /// ```
    #[must_use]
    pub fn from_response(status: u16, run: &str, reason: &str) -> Self {
        let reason = reason.to_owned();
        if run == RunState::Yes.as_str() {
            Self::Answered { status }
        } else if run == RunState::No.as_str() {
            Self::Refused { reason }
        } else {
            Self::Unknown { reason }
        }
    }
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { status } => write!(formatter, "answered {status}"),
            Self::Refused { reason } => write!(formatter, "refused {reason}"),
            Self::Unknown { reason } => write!(formatter, "unknown {reason}"),
            Self::Lost => formatter.write_str("connection lost"),
        }
    }
}
