//! The operators' command line, the demo, the load generator, and a fleet in
//! one process for the demo.
//!
//! A [`command_line::CommandLine`] holds the parsed arguments,
//! [`settings::Settings`] their checked form, which [`execution`] executes.

pub mod command_line;
pub mod demo;
pub mod execution;
pub mod fleet;
pub mod load;
pub mod output;
pub mod settings;

mod run;

pub use self::run::run;
