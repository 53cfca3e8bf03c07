use std::io;
use std::io::IsTerminal;
use std::io::Write;
use std::process::ExitCode;

use super::command_output::CommandOutput;
use super::exit_status::ExitStatus;

/// Starts red text on a terminal.
const RED: &str = "\u{1b}[31m";
/// Ends coloured text on a terminal.
const PLAIN: &str = "\u{1b}[0m";

/// Prints answers: those of commands that were done to the output, others to
/// the error output; data always to the output.
#[derive(Clone, Copy, Debug)]
pub struct Printer {
    json: bool,
    coloured: bool,
}

impl Printer {
    /// A printer that uses colours when errors go to a terminal.
    #[must_use]
    pub fn for_terminal(json: bool) -> Self {
        Self {
            json,
            coloured: io::stderr().is_terminal(),
        }
    }

    /// Prints an answer and returns its exit code.
    ///
    /// An output that is closed early is not an error.
    #[must_use]
    pub fn print(self, command_output: &CommandOutput) -> ExitCode {
        // Readers such as `head` close the output when they have enough.
        let _ = self.write(command_output);
        ExitCode::from(command_output.exit_status as u8)
    }

    fn write(self, command_output: &CommandOutput) -> io::Result<()> {
        if self.json {
            return writeln!(io::stdout(), "{:#}", command_output.data);
        }
        match command_output.exit_status {
            ExitStatus::Done => writeln!(io::stdout(), "{}", command_output.text),
            _ if self.coloured => writeln!(io::stderr(), "{RED}{}{PLAIN}", command_output.text),
            _ => writeln!(io::stderr(), "{}", command_output.text),
        }
    }
}
