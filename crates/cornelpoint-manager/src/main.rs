//! Starts the manager process of an entry instance.

use std::process::ExitCode;

use mimalloc::MiMalloc;

/// An owner allocates for each message of a surge; the system's allocator takes a
/// fifth of its processor time.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    cornelpoint_manager::run()
}
