use std::path::PathBuf;

use clap::Subcommand;

/// Subcommand of `configuration`.
#[derive(Clone, Debug, Subcommand)]
pub enum ConfigurationCommand {
    /// Report errors in a configuration, and what it changes.
    Check {
        /// File with the configuration, in the platform's form.
        file: PathBuf,
        /// File with the configuration in force, to report what changes.
        #[arg(long, value_name = "FILE")]
        against: Option<PathBuf>,
    },
}
