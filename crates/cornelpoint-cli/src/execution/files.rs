use std::fs;
use std::path::Path;

use cornelpoint::configuration::Configuration;
use cornelpoint::document::Source;
use cornelpoint::workspace;

use super::failure::Failure;
use crate::command_line::FileArguments;

/// Reads a text file.
pub(super) fn read(file: &Path) -> Result<String, Failure> {
    fs::read_to_string(file).map_err(|error| Failure::Unreadable {
        file: file.to_owned(),
        found: error.to_string(),
    })
}

/// Reads and checks a template and a workspace together.
pub(super) fn check(files: &FileArguments) -> Result<Configuration, Failure> {
    let template = read(&files.template)?;
    let workspace = read(&files.workspace)?;
    let template_file = files.template.display().to_string();
    let workspace_file = files.workspace.display().to_string();
    let configuration = workspace::check(
        Source {
            file: &template_file,
            text: &template,
        },
        Source {
            file: &workspace_file,
            text: &workspace,
        },
    )?;
    Ok(configuration)
}
