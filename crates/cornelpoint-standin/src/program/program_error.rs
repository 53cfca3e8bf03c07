use std::error::Error;
use std::fmt;
use std::path::PathBuf;

/// Why a program did not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProgramError {
    /// The settings file can't be read.
    SettingsUnreadable {
        /// The file.
        file: PathBuf,
    },
    /// The settings file has wrong content.
    SettingsWrong {
        /// The file.
        file: PathBuf,
    },
    /// The signals to stop can't be caught.
    Signals,
    /// A stand-in did not start.
    Start,
}

impl fmt::Display for ProgramError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SettingsUnreadable { file } => {
                write!(formatter, "expected a settings file at {}", file.display())
            }
            Self::SettingsWrong { file } => {
                write!(formatter, "expected settings in {}", file.display())
            }
            Self::Signals => write!(formatter, "expected to catch the signals to stop"),
            Self::Start => write!(formatter, "expected the stand-in to start"),
        }
    }
}

impl Error for ProgramError {}
