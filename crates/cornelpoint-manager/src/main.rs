//! The process of every entry instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    cornelpoint_manager::run()
}
