use std::path::PathBuf;

use clap::Parser;

/// Stand-in server with fault injection, for tests and trial runs.
#[derive(Debug, Parser)]
#[command(version)]
pub(super) struct Arguments {
    /// Settings file, in JSON.
    #[arg(long)]
    pub(super) settings: PathBuf,
}
