use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

use cornelpoint::claim::Claimant;
use cornelpoint::dispatch::Dispatcher;
use cornelpoint::dispatch::DispatcherSettings;
use cornelpoint::name::InstanceId;
use cornelpoint::replication::ReplicatedState;
use slog::Logger;

use super::admission::Admission;
use super::decision_loop::DecisionLoop;
use super::decisions::Decisions;
use super::event::Event;
use super::handler::Handler;
use super::news::News;
use super::pages::Pages;
use super::pause_watch::PauseWatch;
use super::slot_exchanger::SlotExchanger;
use crate::caller_edge::CallerEdge;
use crate::caller_edge::EdgeSettings;
use crate::claim_store::ClaimStore;
use crate::claim_store::ClaimStoreSettings;
use crate::claim_store::RunningClaimStore;
use crate::clock::MonotonicClock;
use crate::control::ControlClient;
use crate::endpoint_client::ClientSettings;
use crate::endpoint_client::EndpointClient;
use crate::metrics::Metrics;
use crate::platform_client::PlatformClient;
use crate::settings::GatewaySettings;

/// What the parts of a starting gateway share.
#[derive(Debug)]
pub(super) struct Parts<'a> {
    pub(super) settings: &'a GatewaySettings,
    pub(super) incarnation: u64,
    pub(super) clock: MonotonicClock,
    pub(super) admission: Arc<Admission>,
    pub(super) decisions: Decisions,
    pub(super) metrics: Metrics,
    pub(super) logger: Logger,
}

impl Parts<'_> {
    /// Starts the threads that claim keys.
    pub(super) fn claims(&self) -> RunningClaimStore {
        let timeout = Duration::from_millis(self.settings.platform_timeout_ms);
        let platform =
            PlatformClient::new(self.settings.platform, timeout).with_metrics(self.metrics.clone());
        let claimant = Claimant {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
        };
        let settings = ClaimStoreSettings::new(claimant, self.incarnation);
        RunningClaimStore::start(&settings, platform)
    }

    pub(super) fn handler(&self, claims: ClaimStore) -> Handler {
        Handler {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
            clock: self.clock,
            pauses: self.watch_pauses(),
            admission: Arc::clone(&self.admission),
            decisions: self.decisions.clone(),
            client: EndpointClient::new(self.client_settings()),
            claims,
            metrics: self.metrics.clone(),
            next_id: AtomicU64::new(1),
        }
    }

    pub(super) fn pages(&self, claims: ClaimStore, edge: Arc<CallerEdge>) -> Pages {
        Pages {
            settings: self.settings.clone(),
            clock: self.clock,
            admission: Arc::clone(&self.admission),
            decisions: self.decisions.clone(),
            claims,
            edge,
        }
    }

    pub(super) fn decision_loop(
        &self,
        ring: SyncSender<Event>,
        events: Receiver<Event>,
        signs: SyncSender<InstanceId>,
    ) -> DecisionLoop {
        let dispatcher = Dispatcher::new(DispatcherSettings {
            gateway: self.settings.instance.clone(),
            incarnation: self.incarnation,
            availability_zone: self.settings.availability_zone.clone(),
        });
        let exchanger = SlotExchanger::new(ring, self.keeper_timeout(), self.metrics.clone());
        DecisionLoop::new(dispatcher, self.clock, events, exchanger, signs)
    }

    pub(super) fn news(&self, signs: Receiver<InstanceId>) -> News {
        News {
            gateway: self.settings.instance.clone(),
            keepers: self.settings.keepers.clone(),
            others: Vec::new(),
            client: ControlClient::new(self.keeper_timeout()),
            interval: Duration::from_millis(self.settings.view_interval_ms),
            signs,
            decisions: self.decisions.clone(),
            admission: Arc::clone(&self.admission),
            facts: ReplicatedState::default(),
            read: None,
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
        }
    }

    pub(super) fn edge_settings(&self) -> EdgeSettings {
        EdgeSettings {
            max_connections: self.settings.max_connections as usize,
            max_header_bytes: self.settings.max_header_bytes as usize,
            header_timeout_ms: self.settings.header_timeout_ms,
            body_timeout_ms: self.settings.body_timeout_ms,
            idle_timeout_ms: self.settings.idle_timeout_ms,
            ..EdgeSettings::new(self.settings.listen)
        }
    }

    fn client_settings(&self) -> ClientSettings {
        ClientSettings {
            max_idle_per_endpoint: self.settings.max_idle_per_endpoint as usize,
            connect_timeout_ms: self.settings.connect_timeout_ms,
            ..ClientSettings::default()
        }
    }

    fn keeper_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.keeper_timeout_ms)
    }

    /// The watch's thread ends when its handler is gone.
    fn watch_pauses(&self) -> Arc<PauseWatch> {
        let pauses = Arc::new(PauseWatch::new(self.clock));
        let watched = Arc::downgrade(&pauses);
        thread::spawn(move || PauseWatch::run(&watched));
        pauses
    }
}
