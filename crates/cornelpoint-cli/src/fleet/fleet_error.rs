use std::error::Error;
use std::fmt;

/// Why a fleet could not start or be driven.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetError {
    /// A stand-in could not start.
    StandIn {
        /// What was found.
        found: String,
    },
    /// A daemon could not start.
    Daemon {
        /// What was found.
        found: String,
    },
    /// The deployment's template and workspace do not fit.
    Configuration {
        /// All findings.
        found: String,
    },
    /// A keeper refused an operator's action.
    Operator {
        /// What was found.
        found: String,
    },
    /// Something that was waited for did not come.
    Timeout {
        /// What was waited for.
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
                write!(formatter, "expected a sound configuration, found:\n{found}")
            }
            Self::Operator { found } => {
                write!(formatter, "expected the keeper to act, found: {found}")
            }
            Self::Timeout { expected } => {
                write!(formatter, "expected {expected}, found none in time")
            }
        }
    }
}

impl Error for FleetError {}
