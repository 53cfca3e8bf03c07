use std::path::PathBuf;

use clap::Parser;

/// A stand-in with faults on request, for tests and trials.
#[derive(Debug, Parser)]
#[command(version)]
pub(super) struct Arguments {
    /// Settings file, in JSON.
    #[arg(long)]
    pub(super) settings: PathBuf,
}
