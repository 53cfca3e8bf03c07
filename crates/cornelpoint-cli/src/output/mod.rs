//! What the command line prints, and its exit code.

mod code;
mod command_output;
mod printer;

pub use self::code::Code;
pub use self::command_output::CommandOutput;
pub use self::printer::Printer;
