use std::error::Error;
use std::fmt;

/// Error while a fleet starts or carries out an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetError {
    /// A stand-in failed to start.
    StandIn {
        /// Error of the stand-in.
        found: String,
    },
    /// A daemon failed to start.
    Daemon {
        /// Error of the daemon.
        found: String,
    },
    /// The deployment's template and workspace are not a valid configuration.
    Configuration {
        /// All findings, as text.
        found: String,
    },
    /// No keeper carried out an operator's action.
    Operator {
        /// Last error or refusal.
        found: String,
    },
    /// A condition did not hold within its time limit.
    Timeout {
        /// Condition that was waited for.
        expected: &'static str,
    },
}

impl fmt::Display for FleetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StandIn { found } => {
                write!(formatter, "expected a stand-in to start, found: {found}")
            }
            Self::Daemon { found } => {
                write!(formatter, "expected a daemon to start, found: {found}")
            }
            Self::Configuration { found } => {
                write!(formatter, "expected a valid configuration, found:\n{found}")
            }
            Self::Operator { found } => {
                write!(
                    formatter,
                    "expected a keeper to carry out the action, found: {found}"
                )
            }
            Self::Timeout { expected } => {
                write!(formatter, "expected {expected}, timed out")
            }
        }
    }
}

impl Error for FleetError {}
