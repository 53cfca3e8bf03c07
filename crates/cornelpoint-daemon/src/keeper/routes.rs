use std::net::SocketAddr;
use std::time::Duration;

use cornelpoint::name::InstanceId;
use cornelpoint::replication::Update;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::command::Command;
use super::command::DrainAnswer;
use super::command::ReplyTo;
use super::core_handle::CoreHandle;
use super::operator::Operator;
use crate::caller_edge::Answer;
use crate::control::ControlClient;
use crate::control::ControlRequest;
use crate::control::json_reply;
use crate::control::msgpack_body;
use crate::control::msgpack_reply;
use crate::control::text_reply;
use crate::message::DrainReport;
use crate::message::EndpointAnnouncement;
use crate::message::SlotExchange;
use crate::message::SyncRequest;
use crate::message::ViewRequest;

/// Longest wait for another keeper, asked on behalf of a caller.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The keeper's HTTP interface.
#[derive(Clone, Debug)]
pub(super) struct Routes {
    pub(super) core: CoreHandle,
    pub(super) operator: Operator,
}

impl Routes {
    pub(super) fn answer(&self, request: &ControlRequest) -> Answer {
        match (request.method(), request.path()) {
            ("GET", "/health") => self.health(),
            ("GET", "/dump") => self.dump(),
            ("POST", "/peer/view") => {
                self.packed(request, |q: ViewRequest, to| Command::View(q, to))
            }
            ("POST", "/peer/slots") => {
                self.packed(request, |q: SlotExchange, to| Command::Slots(q, to))
            }
            ("POST", "/peer/sync") => {
                self.packed(request, |q: SyncRequest, to| Command::Sync(q, to))
            }
            ("POST", "/peer/push") => self.told(request, |q: Update| Command::Apply(q)),
            ("POST", "/peer/sign") => {
                self.told(request, |q: EndpointAnnouncement| Command::Sign(q))
            }
            ("POST", "/peer/status") => self.packed(request, |(): (), to| Command::Status(to)),
            ("POST", "/peer/drained") => match msgpack_body::<InstanceId>(request) {
                Ok(instance) => msgpack_reply(&drain_report(&self.core, &instance)),
                Err(error) => text_reply(400, &error.to_string()),
            },
            (method, path) if path.starts_with("/operator/") => {
                self.operator.answer(method, path, request)
            }
            (method, path) => text_reply(404, &format!("no page for {method} {path}")),
        }
    }

    fn health(&self) -> Answer {
        let Some(generation) = self.core.ask(Command::Generation) else {
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
        match self.core.ask(Command::Dump) {
            Some(dump) => json_reply(&dump),
            None => not_answering(),
        }
    }

    fn packed<Q: DeserializeOwned, A: Serialize>(
        &self,
        request: &ControlRequest,
        command: impl FnOnce(Q, ReplyTo<A>) -> Command,
    ) -> Answer {
        let question = match msgpack_body(request) {
            Ok(question) => question,
            Err(error) => return text_reply(400, &error.to_string()),
        };
        match self.core.ask(|to| command(question, to)) {
            Some(answer) => msgpack_reply(&answer),
            None => not_answering(),
        }
    }

    fn told<Q: DeserializeOwned>(
        &self,
        request: &ControlRequest,
        command: impl FnOnce(Q) -> Command,
    ) -> Answer {
        match msgpack_body(request) {
            Ok(question) => {
                self.core.tell(command(question));
                msgpack_reply(&())
            }
            Err(error) => text_reply(400, &error.to_string()),
        }
    }
}

/// How far a drain is, asked of the keeper that holds the endpoint's slots.
pub(super) fn drain_report(core: &CoreHandle, instance: &InstanceId) -> Option<DrainReport> {
    match core.ask(|to| Command::Drained(instance.clone(), to))? {
        DrainAnswer::Report(report) => Some(report),
        DrainAnswer::Ask(holder) => ask_holder(holder, instance),
        DrainAnswer::Unknown => None,
    }
}

fn ask_holder(holder: SocketAddr, instance: &InstanceId) -> Option<DrainReport> {
    ControlClient::new(FORWARD_TIMEOUT)
        .call::<_, Option<DrainReport>>(holder, "/peer/drained", instance)
        .ok()
        .flatten()
}

fn not_answering() -> Answer {
    text_reply(503, "the state does not answer")
}
