use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::membership::Member;
use cornelpoint::name::InstanceId;
use cornelpoint::replication::Position;
use cornelpoint::replication::ReplicatedState;
use slog::Logger;
use slog::info;
use slog::warn;

use super::decision_handle::DecisionHandle;
use super::event::Event;
use super::serving_state::ServingState;
use crate::control::ControlClient;
use crate::control::ControlError;
use crate::message::EndpointSign;
use crate::message::View;
use crate::message::ViewRequest;
use crate::metrics::Counter;
use crate::metrics::Metrics;

/// Polls a keeper for updates, and forwards announcements of endpoints that
/// they are leaving.
#[derive(Debug)]
pub(super) struct KeeperSync {
    pub(super) gateway: InstanceId,
    /// Keepers from the settings, the one on the own entry instance first.
    pub(super) keepers: Vec<SocketAddr>,
    /// Other keepers, polled if those of the settings fail.
    pub(super) fallback_keepers: Vec<SocketAddr>,
    pub(super) client: ControlClient,
    pub(super) interval: Duration,
    pub(super) leaving_endpoints: Receiver<InstanceId>,
    pub(super) decisions: DecisionHandle,
    pub(super) serving_state: Arc<ServingState>,
    pub(super) replicated: ReplicatedState,
    pub(super) synced: Option<SyncPosition>,
    pub(super) metrics: Metrics,
    pub(super) logger: Logger,
}

/// Position up to which one keeper's updates have been applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SyncPosition {
    keeper: SocketAddr,
    position: Position,
    members_version: u64,
}

impl KeeperSync {
    /// Runs until the decision thread ends.
    pub(super) fn run(mut self) {
        let mut next_poll = Instant::now();
        loop {
            let wait = next_poll.saturating_duration_since(Instant::now());
            match self.leaving_endpoints.recv_timeout(wait) {
                Ok(instance) => self.forward_announcement(&instance),
                Err(RecvTimeoutError::Timeout) => {
                    self.poll();
                    next_poll = Instant::now() + self.interval;
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Polls the keepers in order until one answers.
    fn poll(&mut self) {
        for keeper in self.all_keepers() {
            match self.request_view(keeper) {
                Ok(view) => {
                    self.apply_view(keeper, view);
                    return;
                }
                Err(error) => {
                    self.metrics.count(Counter::KeeperFailure);
                    warn!(self.logger, "Keeper does not answer.";
                        "keeper" => %keeper, "error" => %error);
                }
            }
        }
    }

    fn request_view(&self, keeper: SocketAddr) -> Result<View, ControlError> {
        let synced = self.synced.filter(|synced| synced.keeper == keeper);
        let request = ViewRequest {
            gateway: self.gateway.clone(),
            applied: self.serving_state.generation(),
            position: synced.map(|synced| synced.position),
            members_version: synced.map(|synced| synced.members_version),
        };
        self.client.call(keeper, "/peer/view", &request)
    }

    fn apply_view(&mut self, keeper: SocketAddr, view: View) {
        let applied = self.replicated.apply(view.update);
        if applied.configuration
            && let Some(configuration) = self.replicated.configuration()
        {
            self.serving_state.update_configuration(configuration);
            info!(self.logger, "Configuration in force.";
                "generation" => %configuration.generation);
        }
        if !applied.is_empty() {
            self.decisions
                .notify(Event::ReplicatedState(Arc::new(self.replicated.clone())));
        }
        self.synced = Some(SyncPosition {
            keeper,
            position: view.position,
            members_version: view.members_version,
        });
        if let Some(members) = view.members {
            self.update_fallback_keepers(&members);
            self.decisions.notify(Event::Members(members));
        }
    }

    fn update_fallback_keepers(&mut self, members: &[Member]) {
        self.fallback_keepers = members
            .iter()
            .map(|member| member.keeper_address)
            .filter(|address| !self.keepers.contains(address))
            .collect();
    }

    fn all_keepers(&self) -> Vec<SocketAddr> {
        self.keepers
            .iter()
            .chain(&self.fallback_keepers)
            .copied()
            .collect()
    }

    fn forward_announcement(&self, instance: &InstanceId) {
        let announcement = EndpointSign {
            instance: instance.clone(),
            accepts_work: false,
            work_epoch: self.replicated.work_epoch(instance),
        };
        info!(self.logger, "Endpoint announced that it is leaving."; "endpoint" => %instance);
        for keeper in self.all_keepers() {
            if self
                .client
                .call::<_, ()>(keeper, "/peer/sign", &announcement)
                .is_ok()
            {
                return;
            }
            self.metrics.count(Counter::KeeperFailure);
        }
    }
}
