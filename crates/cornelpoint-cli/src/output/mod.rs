//! Output and exit status of a command.

mod command_output;
mod exit_status;
mod printer;

pub use self::command_output::CommandOutput;
pub use self::exit_status::ExitStatus;
pub use self::printer::Printer;
