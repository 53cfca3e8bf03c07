use std::error::Error;
use std::fmt;
use std::path::PathBuf;

use cornelpoint::finding::Findings;
use cornelpoint_daemon::control::ControlError;

use crate::output::CommandOutput;
use crate::output::ExitStatus;

/// Why a command could not be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// A file cannot be read.
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What was found.
        found: String,
    },
    /// There are findings in files.
    Findings(Findings),
    /// No configuration was ever accepted.
    NothingAccepted,
    /// Another process gave no usable answer.
    Control(ControlError),
}

impl Failure {
    /// The failure as it is printed.
    pub(super) fn command_output(&self) -> CommandOutput {
        match self {
            Self::Findings(findings) => CommandOutput::findings(findings),
            Self::Unreadable { .. } | Self::NothingAccepted => {
                CommandOutput::failed(ExitStatus::Failed, self.to_string())
            }
            Self::Control(error) => CommandOutput::failed(control_code(error), self.to_string()),
        }
    }
}

fn control_code(error: &ControlError) -> ExitStatus {
    match error {
        ControlError::NotReached { .. }
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
