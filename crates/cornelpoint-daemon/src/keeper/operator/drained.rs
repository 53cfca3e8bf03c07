use cornelpoint::name::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use super::operator::Operator;
use crate::caller_edge::Answer;
use crate::control::ControlRequest;
use crate::control::json_body;
use crate::control::json_reply;
use crate::control::text_reply;
use crate::keeper::routes::drain_report;

/// Operator's request for the progress of a drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// The endpoint.
    pub instance: InstanceId,
}

/// Handles `POST /operator/drained`: returns the progress of a drain.
pub(super) fn answer(operator: &Operator, request: &ControlRequest) -> Answer {
    let drain: DrainRequest = match json_body(request) {
        Ok(drain) => drain,
        Err(error) => return text_reply(400, &error.to_string()),
    };
    match drain_report(&operator.state_handle, &drain.instance) {
        Some(report) => json_reply(&report),
        None => text_reply(503, "no keeper of the endpoint's zone answers"),
    }
}
