use std::error::Error;
use std::fmt;

/// Why another process gave no usable answer, or could not be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlError {
    /// The address could not be listened on.
    Listen {
        /// What was found.
        found: String,
    },
    /// The other process did not answer in time, or not at all.
    Unreachable {
        /// What was found.
        found: String,
    },
    /// The other process refused.
    Refused {
        /// HTTP status found.
        status: u16,
        /// What the other process said.
        found: String,
    },
    /// A message could not be read.
    Malformed {
        /// What was found.
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
