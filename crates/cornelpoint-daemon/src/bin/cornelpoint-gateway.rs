//! The gateway daemon.

use std::process::ExitCode;

use cornelpoint_daemon::program;

fn main() -> ExitCode {
    program::run_gateway()
}
