//! Execution of a command, one module for each kind.

mod accept;
mod check;
mod completions;
mod configuration;
mod diff;
mod dump;
mod failure;
mod files;
mod history;
mod mark;
mod status;

use crate::output::CommandOutput;
use crate::settings::Action;
use crate::settings::Settings;

/// Executes a command and returns what it prints.
#[must_use]
pub fn run(settings: &Settings) -> CommandOutput {
    let command_output = match &settings.action {
        Action::CheckTemplate { file } => check::template(file),
        Action::CheckWorkspace { files } => check::workspace(files),
        Action::CheckConfiguration { file, against } => {
            configuration::run(file, against.as_deref())
        }
        Action::Diff { files, keeper } => diff::run(files, *keeper),
        Action::Accept {
            source,
            change,
            keeper,
        } => accept::run(source, change, *keeper),
        Action::History { keeper } => history::run(*keeper),
        Action::Status { keeper } => status::run(*keeper),
        Action::Dump { process } => dump::run(*process),
        Action::Mark {
            request,
            accepts_work,
            keeper,
        } => mark::run(request, *accepts_work, *keeper),
        Action::Completions { shell } => Ok(completions::run(*shell)),
        Action::Demo => Ok(CommandOutput::new(crate::output::ExitStatus::Done, "", &())),
    };
    command_output.unwrap_or_else(|failure| failure.command_output())
}
