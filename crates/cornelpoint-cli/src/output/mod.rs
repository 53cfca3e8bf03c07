//! What the command line prints, and its exit code.

mod command_output;
mod exit_status;
mod printer;

pub use self::command_output::CommandOutput;
pub use self::exit_status::ExitStatus;
pub use self::printer::Printer;
