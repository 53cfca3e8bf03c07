//! The keeper daemon.

use std::process::ExitCode;

use cornelpoint_daemon::program;

fn main() -> ExitCode {
    program::run_keeper()
}
