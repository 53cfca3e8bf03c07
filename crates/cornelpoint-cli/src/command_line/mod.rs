//! Commands and arguments, as clap parses them.

mod command;
#[expect(
    clippy::module_inception,
    reason = "the module is named after its main type"
)]
mod command_line;
mod configuration_command;
mod shared_arguments;
mod template_command;
mod workspace_command;

pub use self::command::Command;
pub use self::command::DrainArguments;
pub use self::command::DumpArguments;
pub use self::command_line::CommandLine;
pub use self::configuration_command::ConfigurationCommand;
pub use self::shared_arguments::ChangeArguments;
pub use self::shared_arguments::KeeperArguments;
pub use self::template_command::TemplateCommand;
pub use self::workspace_command::FileArguments;
pub use self::workspace_command::WorkspaceCommand;
