use std::path::Path;

use cornelpoint::document::Source;
use cornelpoint::template;
use serde_json::json;

use super::failure::Failure;
use super::files;
use crate::command_line::FileArguments;
use crate::output::CommandOutput;
use crate::output::ExitStatus;

/// Checks a template alone.
pub(super) fn template(file: &Path) -> Result<CommandOutput, Failure> {
    let text = files::read(file)?;
    let name = file.display().to_string();
    let template = template::check(Source {
        file: &name,
        text: &text,
    })?;
    let text = format!(
        "template {}: nothing wrong, {} parameters",
        template.name,
        template.parameters.len()
    );
    Ok(CommandOutput::new(
        ExitStatus::Done,
        text,
        &json!({ "findings": [] }),
    ))
}

/// Checks a template and a workspace together.
pub(super) fn workspace(files: &FileArguments) -> Result<CommandOutput, Failure> {
    let configuration = files::check(files)?;
    let endpoints: usize = configuration
        .pools
        .iter()
        .map(|pool| pool.endpoints.len())
        .sum();
    let text = format!(
        "workspace {}: nothing wrong, {} services, {} pools, {endpoints} endpoints",
        configuration.workspace,
        configuration.services.len(),
        configuration.pools.len(),
    );
    Ok(CommandOutput::new(
        ExitStatus::Done,
        text,
        &json!({ "findings": [] }),
    ))
}
