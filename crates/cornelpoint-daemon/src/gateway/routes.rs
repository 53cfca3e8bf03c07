use std::sync::Arc;

use cornelpoint::connection_budget::ClientClass;

use super::decision_handle::DecisionHandle;
use super::gateway_dump::GatewayDump;
use super::serving_state::ServingState;
use crate::caller_edge::Answer;
use crate::caller_edge::CallerEdge;
use crate::claim_store::ClaimStore;
use crate::clock::MonotonicClock;
use crate::control::ControlRequest;
use crate::control::json_reply;
use crate::control::text_reply;
use crate::settings::GatewaySettings;

/// Returns the kind of client that requests a path of the control port.
pub(super) fn classify(path: &str) -> ClientClass {
    match path {
        "/health" => ClientClass::Balancer,
        _ => ClientClass::Operators,
    }
}

/// The gateway's HTTP interface for operators and the balancer.
#[derive(Debug)]
pub(super) struct Routes {
    pub(super) settings: GatewaySettings,
    pub(super) clock: MonotonicClock,
    pub(super) serving_state: Arc<ServingState>,
    pub(super) decisions: DecisionHandle,
    pub(super) claims: ClaimStore,
    pub(super) edge: Arc<CallerEdge>,
}

impl Routes {
    pub(super) fn answer(&self, request: &ControlRequest) -> Answer {
        match (request.method(), request.path()) {
            ("GET", "/health") => self.health(),
            ("GET", "/dump") => self.dump(),
            (method, path) => text_reply(404, &format!("no page for {method} {path}")),
        }
    }

    fn health(&self) -> Answer {
        if self.serving_state.is_stopping() {
            return text_reply(503, "stopping");
        }
        if self.serving_state.configuration().is_none() {
            return text_reply(503, "not ready: no keeper gave a configuration yet");
        }
        if !self.serving_state.is_ready() {
            return text_reply(503, "not ready: no slots are lent yet");
        }
        text_reply(200, "ready")
    }

    fn dump(&self) -> Answer {
        let Some(decisions) = self.decisions.dump() else {
            return text_reply(503, "the decisions do not answer");
        };
        json_reply(&GatewayDump {
            instance: self.settings.instance.clone(),
            availability_zone: self.settings.availability_zone.clone(),
            now_ms: self.clock.now_ms(),
            generation: self.serving_state.generation(),
            stopping: self.serving_state.is_stopping(),
            connections: self.edge.connections(),
            exchanges: decisions.exchanges,
            claims: self.claims.dump(),
            dispatcher: decisions.dispatcher,
        })
    }
}
