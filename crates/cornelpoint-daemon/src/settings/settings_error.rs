use std::error::Error;
use std::fmt;
use std::path::PathBuf;

use cornelpoint::finding::Findings;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// The file.
        file: PathBuf,
    },
    /// The settings in the file have findings.
    Findings(Findings),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file } => {
                write!(
                    formatter,
                    "failed to read the settings file {}",
                    file.display()
                )
            }
            Self::Findings(findings) => findings.fmt(formatter),
        }
    }
}

impl Error for SettingsError {}
