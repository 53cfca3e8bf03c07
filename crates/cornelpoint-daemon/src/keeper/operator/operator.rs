use cornelpoint::name::WorkspaceName;

use super::accept;
use super::configuration;
use super::drained;
use super::history;
use super::mark;
use crate::caller_edge::Answer;
use crate::control::ControlRequest;
use crate::control::json_reply;
use crate::control::text_reply;
use crate::keeper::command::Command;
use crate::keeper::state_handle::StateHandle;
use crate::platform_client::PlatformClient;

/// Dispatches operators' requests to their actions.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct Operator {
    pub(super) state_handle: StateHandle,
    pub(super) platform: PlatformClient,
    pub(super) workspace: WorkspaceName,
}

impl Operator {
    pub(in crate::keeper) fn new(
        state_handle: StateHandle,
        platform: PlatformClient,
        workspace: WorkspaceName,
    ) -> Self {
        Self {
            state_handle,
            platform,
            workspace,
        }
    }

    pub(in crate::keeper) fn answer(
        &self,
        method: &str,
        path: &str,
        request: &ControlRequest,
    ) -> Answer {
        match (method, path) {
            ("POST", "/operator/accept") => accept::answer(self, request),
            ("GET", "/operator/configuration") => configuration::answer(self),
            ("GET", "/operator/history") => history::answer(self),
            ("POST", "/operator/drain") => mark::answer(self, request, false),
            ("POST", "/operator/undrain") => mark::answer(self, request, true),
            ("POST", "/operator/drained") => drained::answer(self, request),
            ("GET", "/operator/status") => self.status(),
            _ => text_reply(404, &format!("no action for {method} {path}")),
        }
    }

    fn status(&self) -> Answer {
        match self.state_handle.request(Command::Status) {
            Some(status) => json_reply(&status),
            None => text_reply(503, "the state does not answer"),
        }
    }
}
