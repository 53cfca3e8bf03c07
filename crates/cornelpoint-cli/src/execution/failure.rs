use std::error::Error;
use std::fmt;
use std::path::PathBuf;

use cornelpoint::finding::Findings;
use cornelpoint_daemon::control::ControlError;

use crate::output::CommandOutput;
use crate::output::ExitStatus;

/// Error of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// A file cannot be read.
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Error of the operating system.
        found: String,
    },
    /// The files contain errors.
    Findings(Findings),
    /// No configuration has been accepted yet.
    NothingAccepted,
    /// A request to another process failed.
    Control(ControlError),
}

impl Failure {
    /// Returns what is printed for the failure.
    pub(super) fn command_output(&self) -> CommandOutput {
        match self {
            Self::Findings(findings) => CommandOutput::findings(findings),
            Self::Unreadable { .. } | Self::NothingAccepted => {
                CommandOutput::failed(ExitStatus::Failed, self.to_string())
            }
            Self::Control(error) => {
                CommandOutput::failed(control_exit_status(error), self.to_string())
            }
        }
    }
}

fn control_exit_status(error: &ControlError) -> ExitStatus {
    match error {
        ControlError::Unreachable { .. }
        | ControlError::Listen { .. }
        | ControlError::Refused { status: 503, .. } => ExitStatus::NotReachable,
        ControlError::Refused { .. } | ControlError::Malformed { .. } => ExitStatus::Failed,
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, found } => write!(
                formatter,
                "expected a readable file {}, found: {found}",
                file.display()
            ),
            Self::Findings(findings) => findings.fmt(formatter),
            Self::NothingAccepted => {
                write!(formatter, "expected an accepted configuration, found none")
            }
            Self::Control(error) => error.fmt(formatter),
        }
    }
}

impl Error for Failure {}

impl From<Findings> for Failure {
    fn from(findings: Findings) -> Self {
        Self::Findings(findings)
    }
}

impl From<ControlError> for Failure {
    fn from(error: ControlError) -> Self {
        Self::Control(error)
    }
}
