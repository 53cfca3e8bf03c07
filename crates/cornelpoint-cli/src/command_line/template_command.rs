use std::path::PathBuf;

use clap::Subcommand;

/// What to do with a template.
#[derive(Clone, Debug, Subcommand)]
pub enum TemplateCommand {
    /// Report all that is wrong in a template.
    Check {
        /// The template.
        file: PathBuf,
    },
}
