use cornelpoint::name::InstanceId;
use rouille::Request;
use rouille::Response;
use serde::Deserialize;
use serde::Serialize;

use super::operator::Operator;
use crate::control::json_body;
use crate::control::json_reply;
use crate::control::text_reply;
use crate::keeper::command::Command;
use crate::keeper::routes::drain_report;

/// An operator drains or brings back an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// The endpoint.
    pub instance: InstanceId,
}

/// Marks an endpoint and answers with the mark.
pub(super) fn mark(operator: &Operator, request: &Request, accepts_work: bool) -> Response {
    let drain: DrainRequest = match json_body(request) {
        Ok(drain) => drain,
        Err(error) => return text_reply(400, &error.to_string()),
    };
    let mark = operator
        .core
        .ask(|to| Command::Mark(drain.instance, accepts_work, to));
    match mark {
        Some(mark) => json_reply(&mark),
        None => text_reply(503, "the state does not answer"),
    }
}

/// Answers how far a drain is.
pub(super) fn drained(operator: &Operator, request: &Request) -> Response {
    let drain: DrainRequest = match json_body(request) {
        Ok(drain) => drain,
        Err(error) => return text_reply(400, &error.to_string()),
    };
    match drain_report(&operator.core, &drain.instance) {
        Some(report) => json_reply(&report),
        None => text_reply(503, "no keeper of the endpoint's zone answers"),
    }
}
