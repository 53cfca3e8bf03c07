use std::error::Error;
use std::fmt;

/// Why the platform gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// No connection could be established: the request had no effect.
    Unreachable {
        /// Description of the failure.
        found: String,
    },
    /// No answer arrived, or a server error: the request may have taken effect.
    AnswerLost {
        /// Description of the failure.
        found: String,
    },
    /// The platform rejected the request, which had no effect.
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer could not be decoded: the request may have taken effect.
    Malformed {
        /// Description of the failure.
        found: String,
    },
}

impl PlatformError {
    /// Whether the request may have taken effect.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Refused { .. } => false,
            Self::AnswerLost { .. } | Self::Malformed { .. } => true,
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { found } => {
                write!(
                    formatter,
                    "expected a connection to the platform, found: {found}"
                )
            }
            Self::AnswerLost { found } => {
                write!(
                    formatter,
                    "expected an answer of the platform, found: {found}"
                )
            }
            Self::Refused { status } => {
                write!(
                    formatter,
                    "expected status 200 of the platform, found {status}"
                )
            }
            Self::Malformed { found } => {
                write!(
                    formatter,
                    "expected a readable answer of the platform, found: {found}"
                )
            }
        }
    }
}

impl Error for PlatformError {}
