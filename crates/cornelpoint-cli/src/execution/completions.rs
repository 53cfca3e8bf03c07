use clap::CommandFactory;
use clap_complete::Shell;

use crate::command_line::CommandLine;
use crate::output::Answer;
use crate::output::Code;

/// Completions for a shell.
pub(super) fn run(shell: Shell) -> Answer {
    let mut script = Vec::new();
    clap_complete::generate(
        shell,
        &mut CommandLine::command(),
        "cornelpoint",
        &mut script,
    );
    let text = String::from_utf8_lossy(&script).trim_end().to_owned();
    let data = text.clone();
    Answer::new(Code::Done, text, &data)
}
