use std::net::SocketAddr;

use clap::Args;
use clap::Subcommand;
use clap_complete::Shell;

use super::shared_arguments::KeeperArguments;
use super::template_command::TemplateCommand;
use super::workspace_command::WorkspaceCommand;
use crate::demo::DemoArguments;
use crate::load::LoadArguments;

/// What to do.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Check a template.
    #[command(subcommand)]
    Template(TemplateCommand),
    /// Check, compare and accept a workspace's configuration.
    #[command(subcommand)]
    Workspace(WorkspaceCommand),
    /// Show which generation is in force where, and which endpoints take no work.
    Status(KeeperArguments),
    /// Print all that a process knows, as JSON.
    Dump(DumpArguments),
    /// Send an endpoint no new work.
    Drain(DrainArguments),
    /// Send a drained endpoint work again.
    Undrain(DrainArguments),
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Run a deployment in one process and check what it promises.
    Demo(DemoArguments),
    /// Send load to gateways and tell how it ended.
    Load(LoadArguments),
}

/// Which process to dump.
#[derive(Clone, Debug, Args)]
pub struct DumpArguments {
    /// Address of the process for dumps, a keeper's or a gateway's; without it
    /// the keeper is asked.
    #[arg(long, value_name = "ADDRESS")]
    pub process: Option<SocketAddr>,
    /// The keeper to ask.
    #[command(flatten)]
    pub target: KeeperArguments,
}

/// Which endpoint to drain or bring back.
#[derive(Clone, Debug, Args)]
pub struct DrainArguments {
    /// The endpoint's instance.
    pub instance: String,
    /// Reason, kept in the table.
    #[arg(long, value_name = "TEXT")]
    pub why: String,
    /// Operator, kept in the table; without it `CORNELPOINT_OPERATOR` or `USER` counts.
    #[arg(long, value_name = "NAME")]
    pub who: Option<String>,
    /// Epoch of the mark that you saw; without it any.
    #[arg(long, value_name = "EPOCH")]
    pub seen: Option<u64>,
    /// The keeper to ask.
    #[command(flatten)]
    pub target: KeeperArguments,
}
