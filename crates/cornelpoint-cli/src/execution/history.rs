use std::net::SocketAddr;

use cornelpoint::configuration::HistoryEntry;
use cornelpoint_daemon::control::ControlClient;

use super::diff::KEEPER_TIMEOUT;
use super::failure::Failure;
use crate::output::CommandOutput;
use crate::output::ExitStatus;

/// Lists the accepted generations: when, by whom and why.
pub(super) fn run(keeper: SocketAddr) -> Result<CommandOutput, Failure> {
    let client = ControlClient::new(KEEPER_TIMEOUT);
    let entries: Vec<HistoryEntry> = client.get_json(keeper, "/operator/history")?;
    let lines: Vec<String> = entries.iter().map(line).collect();
    Ok(CommandOutput::new(
        ExitStatus::Done,
        lines.join("\n"),
        &entries,
    ))
}

fn line(entry: &HistoryEntry) -> String {
    let restores = match entry.restores {
        Some(generation) => format!(" (content of generation {generation})"),
        None => String::new(),
    };
    format!(
        "generation {}{restores}: {} ms since 1970, {}: {}",
        entry.generation, entry.accepted_unix_ms, entry.who, entry.why
    )
}
