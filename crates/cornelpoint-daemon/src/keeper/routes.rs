use std::net::SocketAddr;
use std::time::Duration;

use cornelpoint::connection_budget::ClientClass;
use cornelpoint::name::InstanceId;
use cornelpoint::replication::Update;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::command::Command;
use super::command::DrainAnswer;
use super::command::ReplyTo;
use super::operator::Operator;
use super::reply_gate::ReplyGate;
use super::state_handle::StateHandle;
use crate::caller_edge::Answer;
use crate::control::ControlClient;
use crate::control::ControlRequest;
use crate::control::json_reply;
use crate::control::msgpack_body;
use crate::control::msgpack_reply;
use crate::control::text_reply;
use crate::message::DrainReport;
use crate::message::EndpointSign;
use crate::message::SlotExchange;
use crate::message::SyncRequest;
use crate::message::ViewRequest;

/// Longest wait for the keeper that a request is forwarded to.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait until other replies with the whole state have been built.
const REPLY_WAIT: Duration = Duration::from_secs(1);

/// Returns the kind of client that requests a path.
pub(super) fn classify(path: &str) -> ClientClass {
    match path {
        "/health" => ClientClass::Balancer,
        _ if path.starts_with("/peer/") => ClientClass::Peers,
        _ => ClientClass::Operators,
    }
}

/// Routes of the keeper's HTTP interface.
#[derive(Clone, Debug)]
pub(super) struct Routes {
    pub(super) state_handle: StateHandle,
    pub(super) peer_replies: ReplyGate,
    pub(super) operator_replies: ReplyGate,
    pub(super) operator: Operator,
}

impl Routes {
    pub(super) fn answer(&self, request: &ControlRequest) -> Answer {
        match (request.method(), request.path()) {
            ("GET", "/health") => self.health(),
            ("GET", "/dump") => one_at_a_time(&self.operator_replies, || self.dump()),
            ("POST", "/peer/view") => one_at_a_time(&self.peer_replies, || {
                self.reply(request, |q: ViewRequest, to| Command::View(q, to))
            }),
            ("POST", "/peer/slots") => {
                self.reply(request, |q: SlotExchange, to| Command::Slots(q, to))
            }
            ("POST", "/peer/sync") => one_at_a_time(&self.peer_replies, || {
                self.reply(request, |q: SyncRequest, to| Command::Sync(q, to))
            }),
            ("POST", "/peer/push") => self.acknowledge(request, |q: Update| Command::Apply(q)),
            ("POST", "/peer/sign") => {
                self.acknowledge(request, |q: EndpointSign| Command::Announcement(q))
            }
            ("POST", "/peer/status") => one_at_a_time(&self.peer_replies, || {
                self.reply(request, |(): (), to| Command::Status(to))
            }),
            ("POST", "/peer/drained") => match msgpack_body::<InstanceId>(request) {
                Ok(instance) => msgpack_reply(&drain_report(&self.state_handle, &instance)),
                Err(error) => text_reply(400, &error.to_string()),
            },
            ("GET", "/operator/status") => one_at_a_time(&self.operator_replies, || {
                self.operator.answer("GET", "/operator/status", request)
            }),
            (method, path) if path.starts_with("/operator/") => {
                self.operator.answer(method, path, request)
            }
            (method, path) => text_reply(404, &format!("no page for {method} {path}")),
        }
    }

    fn health(&self) -> Answer {
        let Some(generation) = self.state_handle.request(Command::Generation) else {
            return text_reply(503, "not healthy: the state does not answer");
        };
        if generation.0 == 0 {
            return text_reply(
                503,
                "not ready: no configuration from the platform or from peers",
            );
        }
        text_reply(200, "ready")
    }

    fn dump(&self) -> Answer {
        match self.state_handle.request(Command::Dump) {
            Some(dump) => json_reply(&dump),
            None => state_unresponsive(),
        }
    }

    fn reply<Q: DeserializeOwned, A: Serialize>(
        &self,
        request: &ControlRequest,
        command: impl FnOnce(Q, ReplyTo<A>) -> Command,
    ) -> Answer {
        let message = match msgpack_body(request) {
            Ok(message) => message,
            Err(error) => return text_reply(400, &error.to_string()),
        };
        match self.state_handle.request(|to| command(message, to)) {
            Some(answer) => msgpack_reply(&answer),
            None => state_unresponsive(),
        }
    }

    fn acknowledge<Q: DeserializeOwned>(
        &self,
        request: &ControlRequest,
        command: impl FnOnce(Q) -> Command,
    ) -> Answer {
        match msgpack_body(request) {
            Ok(message) => {
                self.state_handle.send_and_wait(command(message));
                msgpack_reply(&())
            }
            Err(error) => text_reply(400, &error.to_string()),
        }
    }
}

/// Builds a reply that may hold the whole state while no other one is built.
fn one_at_a_time(gate: &ReplyGate, build: impl FnOnce() -> Answer) -> Answer {
    match gate.enter(REPLY_WAIT) {
        Some(_permit) => build(),
        None => state_unresponsive(),
    }
}

/// Returns the progress of a drain, requested from the keeper that holds the
/// endpoint's slots; `None` when the endpoint is unknown or that keeper does not
/// answer.
pub(super) fn drain_report(
    state_handle: &StateHandle,
    instance: &InstanceId,
) -> Option<DrainReport> {
    match state_handle.request(|to| Command::Drained(instance.clone(), to))? {
        DrainAnswer::Report(report) => Some(report),
        DrainAnswer::HeldBy(holder) => request_from_holder(holder, instance),
        DrainAnswer::Unknown => None,
    }
}

fn request_from_holder(holder: SocketAddr, instance: &InstanceId) -> Option<DrainReport> {
    ControlClient::new(FORWARD_TIMEOUT)
        .call::<_, Option<DrainReport>>(holder, "/peer/drained", instance)
        .ok()
        .flatten()
}

fn state_unresponsive() -> Answer {
    text_reply(503, "the state does not answer")
}
