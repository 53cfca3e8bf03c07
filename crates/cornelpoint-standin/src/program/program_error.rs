use std::error::Error;
use std::fmt;
use std::path::PathBuf;

/// Error starting a stand-in executable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProgramError {
    /// The settings file cannot be read.
    SettingsUnreadable {
        /// Path of the settings file.
        file: PathBuf,
    },
    /// The settings file is not valid JSON or holds invalid settings.
    SettingsWrong {
        /// Path of the settings file.
        file: PathBuf,
    },
    /// The signal handlers cannot be registered.
    Signals,
    /// A stand-in failed to start.
    Start,
}

impl fmt::Display for ProgramError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SettingsUnreadable { file } => {
                write!(
                    formatter,
                    "expected a readable settings file at {}",
                    file.display()
                )
            }
            Self::SettingsWrong { file } => {
                write!(formatter, "expected valid settings in {}", file.display())
            }
            Self::Signals => write!(
                formatter,
                "expected to register handlers for SIGTERM and SIGINT"
            ),
            Self::Start => write!(formatter, "expected the stand-in to start"),
        }
    }
}

impl Error for ProgramError {}
