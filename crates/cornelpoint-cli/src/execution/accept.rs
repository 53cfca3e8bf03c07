use std::net::SocketAddr;

use cornelpoint::configuration::AcceptContent;
use cornelpoint::configuration::AcceptOutcome;
use cornelpoint::configuration::AcceptRequest;
use cornelpoint::configuration::Configuration;
use cornelpoint_daemon::control::ControlClient;
use cornelpoint_daemon::control::ControlError;

use super::diff;
use super::failure::Failure;
use super::files;
use crate::output::CommandOutput;
use crate::output::ExitStatus;
use crate::settings::AcceptSource;
use crate::settings::ChangeSettings;

/// Maximum number of attempts for one accept; all carry the same token.
const MAX_ATTEMPTS: usize = 3;

/// Accepts a new generation, from files or from an earlier generation.
pub(super) fn run(
    source: &AcceptSource,
    change: &ChangeSettings,
    keeper: SocketAddr,
) -> Result<CommandOutput, Failure> {
    let given = match source {
        AcceptSource::Files(files) => Some(files::check(files)?),
        AcceptSource::Generation(_) => None,
    };
    let newest = diff::newest(keeper)?;
    let request = request(source, change, given, newest.as_ref())?;
    let outcome = submit(&request, keeper);
    Ok(command_output(&request, outcome))
}

fn request(
    source: &AcceptSource,
    change: &ChangeSettings,
    given: Option<Configuration>,
    newest: Option<&Configuration>,
) -> Result<AcceptRequest, Failure> {
    let workspace = given
        .as_ref()
        .or(newest)
        .map(|known| known.workspace.clone());
    let workspace = workspace.ok_or(Failure::NothingAccepted)?;
    let content = match (source, given) {
        (AcceptSource::Generation(generation), _) => AcceptContent::Restored(*generation),
        (AcceptSource::Files(_), Some(given)) => AcceptContent::Given(Box::new(given)),
        (AcceptSource::Files(_), None) => unreachable!("files were checked"),
    };
    Ok(AcceptRequest {
        workspace,
        seen: change.seen.unwrap_or_else(|| diff::generation_of(newest)),
        token: change.token,
        who: change.who.clone(),
        why: change.why.clone(),
        now_unix_ms: 0,
        content,
    })
}

/// Submits the request until its outcome is known, at most [`MAX_ATTEMPTS`] times.
///
/// A repeat is safe: the token makes the accept idempotent.
fn submit(request: &AcceptRequest, keeper: SocketAddr) -> Result<AcceptOutcome, ControlError> {
    let client = ControlClient::new(diff::KEEPER_TIMEOUT);
    let attempt = || client.call_json(keeper, "/operator/accept", request);
    let mut last = attempt();
    for _ in 1..MAX_ATTEMPTS {
        match last {
            Err(ControlError::Unreachable { .. }) | Ok(AcceptOutcome::Unknown) => last = attempt(),
            _ => return last,
        }
    }
    last
}

fn command_output(
    request: &AcceptRequest,
    outcome: Result<AcceptOutcome, ControlError>,
) -> CommandOutput {
    match outcome {
        Ok(AcceptOutcome::Unknown) => unknown_outcome(request, &AcceptOutcome::Unknown.to_string()),
        Ok(outcome) => CommandOutput::new(exit_status(&outcome), outcome.to_string(), &outcome),
        Err(ControlError::Unreachable { found }) => unknown_outcome(request, &found),
        Err(error) => Failure::from(error).command_output(),
    }
}

/// Tells the operator how to repeat an accept whose outcome is unknown.
fn unknown_outcome(request: &AcceptRequest, found: &str) -> CommandOutput {
    let text = format!(
        "{found}\nthe accept may have taken effect; to learn its outcome, repeat the command with \
         --seen {} --token {}",
        request.seen, request.token
    );
    CommandOutput::failed(ExitStatus::NotReachable, text)
}

fn exit_status(outcome: &AcceptOutcome) -> ExitStatus {
    match outcome {
        AcceptOutcome::Accepted { .. } | AcceptOutcome::Unchanged { .. } => ExitStatus::Done,
        AcceptOutcome::Conflict { .. } => ExitStatus::Conflict,
        AcceptOutcome::NoSuchGeneration { .. } | AcceptOutcome::Malformed { .. } => {
            ExitStatus::Failed
        }
        AcceptOutcome::Unavailable | AcceptOutcome::Unknown => ExitStatus::NotReachable,
    }
}
