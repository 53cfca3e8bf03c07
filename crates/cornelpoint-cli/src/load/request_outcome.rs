use std::fmt;

use cornelpoint::request::RunState;
use serde::Serialize;

/// How a request of the load ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// An endpoint's answer came whole.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The gateway refused it: it did not run.
    Refused {
        /// The reason that the gateway gave.
        reason: String,
    },
    /// The gateway gave no answer of an endpoint: it may have run.
    Unknown {
        /// The reason that the gateway gave.
        reason: String,
    },
    /// The connection to the gateway was not made, broke, or was silent.
    Lost,
}

impl RequestOutcome {
    /// The ending that an answer's status and headers tell.
    ///
    /// ```
    /// use cornelpoint_cli::load::RequestOutcome;
    ///
    /// let ending = RequestOutcome::from_response(503, "no", "queue-full");
    /// assert_eq!(ending.to_string(), "refused queue-full");
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
