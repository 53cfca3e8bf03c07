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

use super::admission::Admission;
use super::decisions::Decisions;
use super::event::Event;
use crate::control::ControlClient;
use crate::control::ControlError;
use crate::message::EndpointAnnouncement;
use crate::message::View;
use crate::message::ViewRequest;
use crate::metrics::Counter;
use crate::metrics::Metrics;

/// Asks a keeper for news, and passes on what endpoints say of themselves.
#[derive(Debug)]
pub(super) struct News {
    pub(super) gateway: InstanceId,
    /// Keepers of the settings, the own entry instance's first.
    pub(super) keepers: Vec<SocketAddr>,
    /// Keepers that are asked when those fail.
    pub(super) others: Vec<SocketAddr>,
    pub(super) client: ControlClient,
    pub(super) interval: Duration,
    pub(super) signs: Receiver<InstanceId>,
    pub(super) decisions: Decisions,
    pub(super) admission: Arc<Admission>,
    pub(super) facts: ReplicatedState,
    pub(super) read: Option<KeeperRead>,
    pub(super) metrics: Metrics,
    pub(super) logger: Logger,
}

/// How far a keeper's news was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeeperRead {
    keeper: SocketAddr,
    position: Position,
    members_version: u64,
}

impl News {
    /// Runs until the thread that decides ends.
    pub(super) fn run(mut self) {
        let mut next_ask = Instant::now();
        loop {
            let wait = next_ask.saturating_duration_since(Instant::now());
            match self.signs.recv_timeout(wait) {
                Ok(instance) => self.pass_on(&instance),
                Err(RecvTimeoutError::Timeout) => {
                    self.ask();
                    next_ask = Instant::now() + self.interval;
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Asks the first keeper that answers.
    fn ask(&mut self) {
        for keeper in self.all_keepers() {
            match self.ask_keeper(keeper) {
                Ok(view) => {
                    self.adopt(keeper, view);
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

    fn ask_keeper(&self, keeper: SocketAddr) -> Result<View, ControlError> {
        let read = self.read.filter(|read| read.keeper == keeper);
        let request = ViewRequest {
            gateway: self.gateway.clone(),
            applied: self.admission.generation(),
            position: read.map(|read| read.position),
            members_version: read.map(|read| read.members_version),
        };
        self.client.call(keeper, "/peer/view", &request)
    }

    fn adopt(&mut self, keeper: SocketAddr, view: View) {
        let adoption = self.facts.apply(view.update);
        if adoption.configuration
            && let Some(configuration) = self.facts.configuration()
        {
            self.admission.adopt(configuration);
            info!(self.logger, "Configuration in force.";
                "generation" => %configuration.generation);
        }
        if !adoption.is_empty() {
            self.decisions
                .tell(Event::ReplicatedState(Arc::new(self.facts.clone())));
        }
        self.read = Some(KeeperRead {
            keeper,
            position: view.position,
            members_version: view.members_version,
        });
        if let Some(members) = view.members {
            self.learn_keepers(&members);
            self.decisions.tell(Event::Members(members));
        }
    }

    fn learn_keepers(&mut self, members: &[Member]) {
        self.others = members
            .iter()
            .map(|member| member.keeper_address)
            .filter(|address| !self.keepers.contains(address))
            .collect();
    }

    fn all_keepers(&self) -> Vec<SocketAddr> {
        self.keepers.iter().chain(&self.others).copied().collect()
    }

    fn pass_on(&self, instance: &InstanceId) {
        let sign = EndpointAnnouncement {
            instance: instance.clone(),
            accepts_work: false,
            work_epoch: self.facts.work_epoch(instance),
        };
        info!(self.logger, "Endpoint says that it leaves."; "endpoint" => %instance);
        for keeper in self.all_keepers() {
            if self
                .client
                .call::<_, ()>(keeper, "/peer/sign", &sign)
                .is_ok()
            {
                return;
            }
            self.metrics.count(Counter::KeeperFailure);
        }
    }
}
