use std::io;
use std::io::IsTerminal;
use std::io::Write;
use std::process::ExitCode;

use super::command_output::CommandOutput;
use super::exit_status::ExitStatus;

/// ANSI escape sequence that starts red text.
const RED: &str = "\u{1b}[31m";
/// ANSI escape sequence that resets the colour.
const RESET: &str = "\u{1b}[0m";

/// Prints the output of commands.
///
/// Text of commands that succeeded goes to standard output, other text to
/// standard error; JSON always goes to standard output.
#[derive(Clone, Copy, Debug)]
pub struct Printer {
    json: bool,
    coloured: bool,
}

impl Printer {
    /// Creates a printer that colours errors when standard error is a terminal.
    #[must_use]
    pub fn for_terminal(json: bool) -> Self {
        Self {
            json,
            coloured: io::stderr().is_terminal(),
        }
    }

    /// Prints the output and returns its exit code.
    ///
    /// A write error, as from a pipe that its reader has closed, is ignored.
    #[must_use]
    pub fn print(self, command_output: &CommandOutput) -> ExitCode {
        // Readers such as `head` close the pipe before the end of the output.
        let _ = self.write(command_output);
        ExitCode::from(command_output.exit_status as u8)
    }

    fn write(self, command_output: &CommandOutput) -> io::Result<()> {
        if self.json {
            return writeln!(io::stdout(), "{:#}", command_output.data);
        }
        match command_output.exit_status {
            ExitStatus::Done => writeln!(io::stdout(), "{}", command_output.text),
            _ if self.coloured => writeln!(io::stderr(), "{RED}{}{RESET}", command_output.text),
            _ => writeln!(io::stderr(), "{}", command_output.text),
        }
    }
}
