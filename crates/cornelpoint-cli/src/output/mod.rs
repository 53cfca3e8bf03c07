//! What the command line prints, and its exit code.

mod answer;
mod code;
mod printer;

pub use self::answer::Answer;
pub use self::code::Code;
pub use self::printer::Printer;
