use std::net::SocketAddr;

use clap::Args;
use clap::Subcommand;
use clap_complete::Shell;

use super::configuration_command::ConfigurationCommand;
use super::shared_arguments::KeeperArguments;
use super::template_command::TemplateCommand;
use super::workspace_command::WorkspaceCommand;
use crate::demo::DemoArguments;
use crate::load::LoadArguments;

/// Subcommand of the program.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Check a template.
    #[command(subcommand)]
    Template(TemplateCommand),
    /// Check, compare and accept a workspace's configuration.
    #[command(subcommand)]
    Workspace(WorkspaceCommand),
    /// Check a configuration of the manager before it is sent to the platform.
    #[command(subcommand)]
    Configuration(ConfigurationCommand),
    /// Show the generation at each keeper and gateway, and the endpoints that take no new work.
    Status(KeeperArguments),
    /// Print the internal state of a process as JSON.
    Dump(DumpArguments),
    /// Stop sending new work to an endpoint.
    Drain(DrainArguments),
    /// Send new work to a drained endpoint again.
    Undrain(DrainArguments),
    /// Print the completion script for a shell.
    Completions {
        /// Shell that the script is for.
        shell: Shell,
    },
    /// Run a deployment in one process and check its guarantees.
    Demo(DemoArguments),
    /// Send load to gateways and report the outcomes.
    Load(LoadArguments),
}

/// Arguments of `dump`.
#[derive(Clone, Debug, Args)]
pub struct DumpArguments {
    /// Control address of a gateway, or address of a keeper; defaults to the
    /// keeper of `--keeper`.
    #[arg(long, value_name = "ADDRESS")]
    pub process: Option<SocketAddr>,
    /// Keeper that receives the request.
    #[command(flatten)]
    pub target: KeeperArguments,
}

/// Arguments of `drain` and `undrain`.
#[derive(Clone, Debug, Args)]
pub struct DrainArguments {
    /// Instance of the endpoint.
    pub instance: String,
    /// Reason, recorded on the platform.
    #[arg(long, value_name = "TEXT")]
    pub why: String,
    /// Operator, recorded on the platform; defaults to `CORNELPOINT_OPERATOR`, then `USER`.
    #[arg(long, value_name = "NAME")]
    pub who: Option<String>,
    /// Epoch of the mark that you saw; another epoch is a conflict. Without it, any matches.
    #[arg(long, value_name = "EPOCH")]
    pub seen: Option<u64>,
    /// Keeper that receives the request.
    #[command(flatten)]
    pub target: KeeperArguments,
}
