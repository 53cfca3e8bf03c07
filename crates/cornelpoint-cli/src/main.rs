//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    cornelpoint_cli::run()
}
