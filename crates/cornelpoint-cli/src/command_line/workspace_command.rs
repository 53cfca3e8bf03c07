use std::path::PathBuf;

use clap::Args;
use clap::Subcommand;

use super::shared_arguments::ChangeArguments;
use super::shared_arguments::KeeperArguments;

/// Files of a configuration: a template, and a workspace that fills it in.
#[derive(Clone, Debug, Args)]
pub struct FileArguments {
    /// Template file.
    pub template: PathBuf,
    /// Workspace file.
    pub workspace: PathBuf,
}

/// Subcommand of `workspace`.
#[derive(Clone, Debug, Subcommand)]
pub enum WorkspaceCommand {
    /// Report all errors in a template and a workspace.
    Check {
        /// Files of the configuration.
        #[command(flatten)]
        files: FileArguments,
    },
    /// Show what accepting the files would change.
    Diff {
        /// Files of the configuration.
        #[command(flatten)]
        files: FileArguments,
        /// Keeper that receives the request.
        #[command(flatten)]
        target: KeeperArguments,
    },
    /// Accept the files as the new configuration.
    Accept {
        /// Files of the configuration.
        #[command(flatten)]
        files: FileArguments,
        /// Operator, reason and expected generation.
        #[command(flatten)]
        change: ChangeArguments,
        /// Keeper that receives the request.
        #[command(flatten)]
        target: KeeperArguments,
    },
    /// List the accepted generations with operator and reason, newest first.
    History {
        /// Keeper that receives the request.
        #[command(flatten)]
        target: KeeperArguments,
    },
    /// Accept the content of an earlier generation as a new one.
    Rollback {
        /// Generation whose content is restored.
        generation: u64,
        /// Operator, reason and expected generation.
        #[command(flatten)]
        change: ChangeArguments,
        /// Keeper that receives the request.
        #[command(flatten)]
        target: KeeperArguments,
    },
}
