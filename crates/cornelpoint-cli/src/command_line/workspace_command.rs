use std::path::PathBuf;

use clap::Args;
use clap::Subcommand;

use super::shared_arguments::ChangeArguments;
use super::shared_arguments::KeeperArguments;

/// A template and a workspace that fills it in.
#[derive(Clone, Debug, Args)]
pub struct FileArguments {
    /// The template.
    pub template: PathBuf,
    /// The workspace.
    pub workspace: PathBuf,
}

/// What to do with a workspace.
#[derive(Clone, Debug, Subcommand)]
pub enum WorkspaceCommand {
    /// Report all that is wrong in a template and a workspace together.
    Check {
        /// The files.
        #[command(flatten)]
        files: FileArguments,
    },
    /// Show what accepting the files would change.
    Diff {
        /// The files.
        #[command(flatten)]
        files: FileArguments,
        /// The keeper to ask.
        #[command(flatten)]
        target: KeeperArguments,
    },
    /// Bring the files into force.
    Accept {
        /// The files.
        #[command(flatten)]
        files: FileArguments,
        /// Who, why, from what.
        #[command(flatten)]
        change: ChangeArguments,
        /// The keeper to ask.
        #[command(flatten)]
        target: KeeperArguments,
    },
    /// List who accepted what, the newest first.
    History {
        /// The keeper to ask.
        #[command(flatten)]
        target: KeeperArguments,
    },
    /// Bring the content of an earlier generation into force as a new one.
    Rollback {
        /// The earlier generation.
        generation: u64,
        /// Who, why, from what.
        #[command(flatten)]
        change: ChangeArguments,
        /// The keeper to ask.
        #[command(flatten)]
        target: KeeperArguments,
    },
}
