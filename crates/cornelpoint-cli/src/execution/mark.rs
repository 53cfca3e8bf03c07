use std::net::SocketAddr;

use cornelpoint::name::InstanceId;
use cornelpoint::spread::EndpointMark;
use cornelpoint_daemon::control::ControlClient;
use cornelpoint_daemon::keeper::DrainRequest;

use super::diff::KEEPER_TIMEOUT;
use super::failure::Failure;
use crate::output::Answer;
use crate::output::Code;

/// Drains an endpoint or brings it back.
pub(super) fn run(
    instance: &InstanceId,
    accepts_work: bool,
    keeper: SocketAddr,
) -> Result<Answer, Failure> {
    let client = ControlClient::new(KEEPER_TIMEOUT);
    let path = if accepts_work {
        "/operator/undrain"
    } else {
        "/operator/drain"
    };
    let request = DrainRequest {
        instance: instance.clone(),
    };
    let mark: EndpointMark = client.call_json(keeper, path, &request)?;
    let text = if mark.accepts_work {
        format!("{} takes new work", mark.instance)
    } else {
        format!("{} takes no new work", mark.instance)
    };
    Ok(Answer::new(Code::Done, text, &mark))
}
