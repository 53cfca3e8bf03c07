//! The keeper daemon.

use std::process::ExitCode;

use cornelpoint_daemon::program;
use tikv_jemallocator::Jemalloc;

/// Each connection has a thread; the system's allocator keeps an arena for each of many
/// threads, with what their largest bodies took.
#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;

fn main() -> ExitCode {
    program::run_keeper()
}
