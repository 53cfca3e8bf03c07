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

/// An operator asks how far a drain is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// The endpoint.
    pub instance: InstanceId,
}

/// Answers how far a drain is.
pub(super) fn answer(operator: &Operator, request: &ControlRequest) -> Answer {
    let drain: DrainRequest = match json_body(request) {
        Ok(drain) => drain,
        Err(error) => return text_reply(400, &error.to_string()),
    };
    match drain_report(&operator.core, &drain.instance) {
        Some(report) => json_reply(&report),
        None => text_reply(503, "no keeper of the endpoint's zone answers"),
    }
}
