use std::error::Error;
use std::fmt;

/// Error of the control interface, as client or as server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlError {
    /// Listening on the address failed.
    Listen {
        /// Cause.
        found: String,
    },
    /// The other process could not be reached or did not answer in time.
    Unreachable {
        /// Cause.
        found: String,
    },
    /// The other process answered with another status than success.
    Refused {
        /// HTTP status found.
        status: u16,
        /// Body of the answer.
        found: String,
    },
    /// A message could not be encoded or decoded.
    Malformed {
        /// Cause.
        found: String,
    },
}

impl fmt::Display for ControlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { found } => {
                write!(
                    formatter,
                    "expected a free address to listen on, found: {found}"
                )
            }
            Self::Unreachable { found } => {
                write!(
                    formatter,
                    "expected an answer of another process, found: {found}"
                )
            }
            Self::Refused { status, found } => {
                write!(formatter, "expected status 200, found {status}: {found}")
            }
            Self::Malformed { found } => {
                write!(formatter, "expected a readable message, found: {found}")
            }
        }
    }
}

impl Error for ControlError {}
