use std::net::SocketAddr;

use cornelpoint_daemon::control::ControlClient;
use cornelpoint_daemon::keeper::MarkReply;
use cornelpoint_daemon::keeper::MarkRequest;

use super::diff::KEEPER_TIMEOUT;
use super::failure::Failure;
use crate::output::CommandOutput;
use crate::output::ExitStatus;

/// Drains or undrains an endpoint.
pub(super) fn run(
    request: &MarkRequest,
    accepts_work: bool,
    keeper: SocketAddr,
) -> Result<CommandOutput, Failure> {
    let client = ControlClient::new(KEEPER_TIMEOUT);
    let path = if accepts_work {
        "/operator/undrain"
    } else {
        "/operator/drain"
    };
    let reply: MarkReply = client.call_json(keeper, path, request)?;
    let (exit_status, text) = match &reply {
        MarkReply::Marked { mark, recorded } => {
            let work = if mark.accepts_work {
                "new work"
            } else {
                "no new work"
            };
            let record_note = if *recorded {
                ""
            } else {
                "; the platform does not answer, so no record of it is kept"
            };
            (
                ExitStatus::Done,
                format!("{} takes {work}{record_note}", mark.instance),
            )
        }
        MarkReply::Conflict { current } => (
            ExitStatus::Conflict,
            format!(
                "conflict: epoch {} is in force, set by {}: {}",
                current.mark.epoch, current.who, current.why
            ),
        ),
    };
    Ok(CommandOutput::new(exit_status, text, &reply))
}
