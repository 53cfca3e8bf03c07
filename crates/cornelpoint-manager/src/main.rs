//! Starts the manager process of an entry instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    cornelpoint_manager::run()
}
