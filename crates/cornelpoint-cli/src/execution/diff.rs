use std::net::SocketAddr;
use std::time::Duration;

use cornelpoint::configuration::Change;
use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::diff;
use cornelpoint_daemon::control::ControlClient;
use serde_json::json;

use super::failure::Failure;
use super::files;
use crate::command_line::FileArguments;
use crate::output::CommandOutput;
use crate::output::ExitStatus;

/// Time limit of one request to a keeper or another process.
pub(super) const KEEPER_TIMEOUT: Duration = Duration::from_secs(10);

/// Lists the changes from the newest accepted configuration to the files.
pub(super) fn run(files: &FileArguments, keeper: SocketAddr) -> Result<CommandOutput, Failure> {
    let after = files::check(files)?;
    let before = newest(keeper)?;
    let generation = generation_of(before.as_ref());
    let changes = match &before {
        Some(before) => diff(before, &after),
        None => diff(&without_content(&after), &after),
    };
    let data = json!({ "generation": generation, "changes": changes });
    Ok(CommandOutput::new(
        ExitStatus::Done,
        text(generation, &changes),
        &data,
    ))
}

/// Reads the newest accepted configuration from a keeper; `None` if there is none.
pub(super) fn newest(keeper: SocketAddr) -> Result<Option<Configuration>, Failure> {
    let client = ControlClient::new(KEEPER_TIMEOUT);
    Ok(client.get_json(keeper, "/operator/configuration")?)
}

/// Returns the generation of a configuration, or 0 without one.
pub(super) fn generation_of(configuration: Option<&Configuration>) -> Generation {
    configuration.map_or(Generation(0), |configuration| configuration.generation)
}

fn text(generation: Generation, changes: &[Change]) -> String {
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    match lines.as_slice() {
        [] => format!("nothing changes from generation {generation}"),
        _ => format!(
            "{}\n{} changes from generation {generation}",
            lines.join("\n"),
            lines.len()
        ),
    }
}

fn without_content(configuration: &Configuration) -> Configuration {
    Configuration {
        services: Vec::new(),
        pools: Vec::new(),
        spare_pool: None,
        ..configuration.clone()
    }
}
