//! The operators' command line, the demo, and a fleet in one process for the
//! demo, tests and benchmarks.
//!
//! A [`command_line::CommandLine`] is what was typed, [`settings::Settings`]
//! is what it means once checked, and [`execution`] carries it out.

pub mod command_line;
pub mod demo;
pub mod execution;
pub mod fleet;
pub mod load;
pub mod output;
pub mod settings;

mod run;

pub use self::run::run;
