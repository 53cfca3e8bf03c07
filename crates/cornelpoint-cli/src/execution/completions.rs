use clap::CommandFactory;
use clap_complete::Shell;

use crate::command_line::CommandLine;
use crate::output::CommandOutput;
use crate::output::ExitStatus;

/// Generates the completion script for a shell.
pub(super) fn run(shell: Shell) -> CommandOutput {
    let mut script = Vec::new();
    clap_complete::generate(
        shell,
        &mut CommandLine::command(),
        "cornelpoint",
        &mut script,
    );
    let text = String::from_utf8_lossy(&script).trim_end().to_owned();
    let data = text.clone();
    CommandOutput::new(ExitStatus::Done, text, &data)
}
