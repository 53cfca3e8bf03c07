use std::fs;
use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use serde::de::DeserializeOwned;

use super::program_error::ProgramError;

/// Reads and parses a JSON settings file.
pub(super) fn read<T: DeserializeOwned>(file: &Path) -> Result<T, Report<ProgramError>> {
    let text = fs::read_to_string(file).change_context(ProgramError::SettingsUnreadable {
        file: file.to_owned(),
    })?;
    serde_json::from_str(&text).change_context(ProgramError::SettingsWrong {
        file: file.to_owned(),
    })
}
