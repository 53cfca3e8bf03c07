use std::path::PathBuf;

use clap::Subcommand;

/// Subcommand of `template`.
#[derive(Clone, Debug, Subcommand)]
pub enum TemplateCommand {
    /// Report all errors in a template.
    Check {
        /// Template file.
        file: PathBuf,
    },
}
