use std::net::SocketAddr;

use cornelpoint_daemon::control::ControlClient;
use serde_json::Value;

use super::diff::KEEPER_TIMEOUT;
use super::failure::Failure;
use crate::output::CommandOutput;
use crate::output::ExitStatus;

/// Reads the internal state of a process.
pub(super) fn run(process: SocketAddr) -> Result<CommandOutput, Failure> {
    let client = ControlClient::new(KEEPER_TIMEOUT);
    let dump: Value = client.get_json(process, "/dump")?;
    Ok(CommandOutput::new(
        ExitStatus::Done,
        format!("{dump:#}"),
        &dump,
    ))
}
