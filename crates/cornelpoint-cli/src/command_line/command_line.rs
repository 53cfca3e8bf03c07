use clap::Parser;

use super::command::Command;

/// Plan capacity and maintenance of services on shared instances.
///
/// Exit codes: 0 done; 1 a check or an action failed; 2 wrong usage;
/// 3 findings in a file; 4 conflict with another operator; 5 a process or the
/// platform does not answer.
#[derive(Clone, Debug, Parser)]
#[command(name = "cornelpoint", version)]
pub struct CommandLine {
    /// Print the output as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// Subcommand.
    #[command(subcommand)]
    pub command: Command,
}
