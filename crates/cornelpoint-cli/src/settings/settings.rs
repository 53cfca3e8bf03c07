use std::net::SocketAddr;

use cornelpoint::configuration::AcceptToken;
use cornelpoint::configuration::Generation;
use cornelpoint::name::InstanceId;
use cornelpoint_daemon::keeper::MarkRequest;

use super::action::AcceptSource;
use super::action::Action;
use super::action::ChangeSettings;
use super::environment::Environment;
use super::usage_error::UsageError;
use crate::command_line::ChangeArguments;
use crate::command_line::Command;
use crate::command_line::CommandLine;
use crate::command_line::ConfigurationCommand;
use crate::command_line::DrainArguments;
use crate::command_line::KeeperArguments;
use crate::command_line::TemplateCommand;
use crate::command_line::WorkspaceCommand;

/// Settings of one command, checked and complete.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Action to execute.
    pub action: Action,
}

impl Settings {
    /// Checks a command line and fills gaps from the environment.
    ///
    /// # Errors
    ///
    /// When a required value is missing or malformed.
    ///
    /// ```
    /// use clap::Parser;
    /// use cornelpoint_cli::command_line::CommandLine;
    /// use cornelpoint_cli::settings::Environment;
    /// use cornelpoint_cli::settings::Settings;
    ///
    /// let command_line = CommandLine::parse_from(["cornelpoint", "status"]);
    /// let error = Settings::new(command_line, &Environment::default()).unwrap_err();
    /// assert!(error.to_string().contains("CORNELPOINT_KEEPER"));
    /// ```
    pub fn new(command_line: CommandLine, environment: &Environment) -> Result<Self, UsageError> {
        let keeper = |target: &KeeperArguments| keeper(target, environment);
        let action = match command_line.command {
            Command::Template(TemplateCommand::Check { file }) => Action::CheckTemplate { file },
            Command::Workspace(command) => workspace(command, environment)?,
            Command::Configuration(ConfigurationCommand::Check { file, against }) => {
                Action::CheckConfiguration { file, against }
            }
            Command::Status(target) => Action::Status {
                keeper: keeper(&target)?,
            },
            Command::Dump(dump) => Action::Dump {
                process: match dump.process {
                    Some(process) => process,
                    None => keeper(&dump.target)?,
                },
            },
            Command::Drain(drain) => Action::Mark {
                keeper: keeper(&drain.target)?,
                request: mark_request(drain, environment)?,
                accepts_work: false,
            },
            Command::Undrain(drain) => Action::Mark {
                keeper: keeper(&drain.target)?,
                request: mark_request(drain, environment)?,
                accepts_work: true,
            },
            Command::Completions { shell } => Action::Completions { shell },
            Command::Demo(_) | Command::Load(_) => Action::Demo,
        };
        Ok(Self { action })
    }
}

fn workspace(command: WorkspaceCommand, environment: &Environment) -> Result<Action, UsageError> {
    let action = match command {
        WorkspaceCommand::Check { files } => Action::CheckWorkspace { files },
        WorkspaceCommand::Diff { files, target } => Action::Diff {
            files,
            keeper: keeper(&target, environment)?,
        },
        WorkspaceCommand::Accept {
            files,
            change,
            target,
        } => Action::Accept {
            source: AcceptSource::Files(files),
            change: change_settings(change, environment)?,
            keeper: keeper(&target, environment)?,
        },
        WorkspaceCommand::History { target } => Action::History {
            keeper: keeper(&target, environment)?,
        },
        WorkspaceCommand::Rollback {
            generation,
            change,
            target,
        } => Action::Accept {
            source: AcceptSource::Generation(Generation(generation)),
            change: change_settings(change, environment)?,
            keeper: keeper(&target, environment)?,
        },
    };
    Ok(action)
}

fn keeper(target: &KeeperArguments, environment: &Environment) -> Result<SocketAddr, UsageError> {
    if let Some(keeper) = target.keeper {
        return Ok(keeper);
    }
    let text = environment.keeper.as_ref().ok_or(UsageError::NoKeeper)?;
    text.parse().map_err(|_| UsageError::BadKeeper {
        found: text.clone(),
    })
}

fn instance(text: &str) -> Result<InstanceId, UsageError> {
    InstanceId::try_from(text).map_err(|_| UsageError::BadInstance {
        found: text.to_owned(),
    })
}

fn mark_request(
    drain: DrainArguments,
    environment: &Environment,
) -> Result<MarkRequest, UsageError> {
    let who = drain.who.or_else(|| environment.operator.clone());
    Ok(MarkRequest {
        instance: instance(&drain.instance)?,
        seen: drain.seen,
        who: who.ok_or(UsageError::NoOperator)?,
        why: drain.why,
    })
}

fn change_settings(
    change: ChangeArguments,
    environment: &Environment,
) -> Result<ChangeSettings, UsageError> {
    let who = change.who.or_else(|| environment.operator.clone());
    let token = match change.token {
        Some(text) => token(&text)?,
        None => AcceptToken(environment.random),
    };
    Ok(ChangeSettings {
        who: who.ok_or(UsageError::NoOperator)?,
        why: change.why,
        seen: change.seen.map(Generation),
        token,
    })
}

fn token(text: &str) -> Result<AcceptToken, UsageError> {
    let number = u64::from_str_radix(text, 16).map_err(|_| UsageError::BadToken {
        found: text.to_owned(),
    })?;
    Ok(AcceptToken(number))
}
