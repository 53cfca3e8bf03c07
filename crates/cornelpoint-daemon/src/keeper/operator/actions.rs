use cornelpoint::configuration::AcceptOutcome;
use cornelpoint::configuration::AcceptRequest;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::body_key;
use cornelpoint::configuration::decode_body;
use cornelpoint::name::InstanceId;
use cornelpoint::name::WorkspaceName;
use cornelpoint::spread::Update;
use rouille::Request;
use rouille::Response;
use serde::Deserialize;
use serde::Serialize;

use super::accept;
use crate::control::json_body;
use crate::control::json_reply;
use crate::control::text_reply;
use crate::keeper::command::Command;
use crate::keeper::core_handle::CoreHandle;
use crate::keeper::routes::drain_report;
use crate::platform_client::PlatformClient;

/// An operator drains or brings back an endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DrainRequest {
    /// The endpoint.
    pub instance: InstanceId,
}

/// The operators' actions at a keeper.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct Operator {
    core: CoreHandle,
    platform: PlatformClient,
    workspace: WorkspaceName,
}

impl Operator {
    pub(in crate::keeper) fn new(
        core: CoreHandle,
        platform: PlatformClient,
        workspace: WorkspaceName,
    ) -> Self {
        Self {
            core,
            platform,
            workspace,
        }
    }

    pub(in crate::keeper) fn answer(
        &self,
        method: &str,
        path: &str,
        request: &Request,
    ) -> Response {
        match (method, path) {
            ("POST", "/operator/accept") => self.accept(request),
            ("POST", "/operator/drain") => self.mark(request, false),
            ("POST", "/operator/undrain") => self.mark(request, true),
            ("POST", "/operator/drained") => self.drained(request),
            ("GET", "/operator/status") => match self.core.ask(Command::Status) {
                Some(status) => json_reply(&status),
                None => text_reply(503, "the state does not answer"),
            },
            _ => text_reply(404, &format!("no action for {method} {path}")),
        }
    }

    fn accept(&self, request: &Request) -> Response {
        let accept: AcceptRequest = match json_body(request) {
            Ok(accept) => accept,
            Err(error) => return text_reply(400, &error.to_string()),
        };
        if accept.workspace != self.workspace {
            let text = format!("expected workspace {}", self.workspace);
            return text_reply(400, &text);
        }
        let outcome = accept::carry_out(&self.platform, accept);
        if let AcceptOutcome::Accepted { generation } = outcome {
            self.put_in_force(generation);
        }
        json_reply(&outcome).with_status_code(accept::status(&outcome))
    }

    /// Tells the keepers at once; should the read fail, they hear of it by
    /// the next poll.
    fn put_in_force(&self, generation: Generation) {
        let rows = self
            .platform
            .read(&[body_key(&self.workspace, generation)])
            .unwrap_or_default();
        let Some(Ok(configuration)) = rows.first().map(decode_body) else {
            return;
        };
        self.core.tell(Command::Apply(Update {
            configuration: Some(configuration),
            marks: Vec::new(),
        }));
    }

    fn mark(&self, request: &Request, accepts_work: bool) -> Response {
        let drain: DrainRequest = match json_body(request) {
            Ok(drain) => drain,
            Err(error) => return text_reply(400, &error.to_string()),
        };
        match self
            .core
            .ask(|to| Command::Mark(drain.instance, accepts_work, to))
        {
            Some(mark) => json_reply(&mark),
            None => text_reply(503, "the state does not answer"),
        }
    }

    fn drained(&self, request: &Request) -> Response {
        let drain: DrainRequest = match json_body(request) {
            Ok(drain) => drain,
            Err(error) => return text_reply(400, &error.to_string()),
        };
        match drain_report(&self.core, &drain.instance) {
            Some(report) => json_reply(&report),
            None => text_reply(503, "no keeper of the endpoint's zone answers"),
        }
    }
}
