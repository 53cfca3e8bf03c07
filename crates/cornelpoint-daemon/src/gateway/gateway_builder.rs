use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

use cornelpoint::claim::Claimant;
use cornelpoint::connection_budget::ProcessLimits;
use cornelpoint::dispatch::Dispatcher;
use cornelpoint::dispatch::DispatcherSettings;
use cornelpoint::name::InstanceId;
use cornelpoint::replication::ReplicatedState;
use slog::Logger;

use super::decision_handle::DecisionHandle;
use super::decision_loop::DecisionLoop;
use super::event::Event;
use super::keeper_sync::KeeperSync;
use super::pause_detector::PauseDetector;
use super::request_handler::RequestHandler;
use super::routes::Routes;
use super::routes::classify;
use super::serving_state::ServingState;
use super::slot_exchanger::SlotExchanger;
use crate::caller_edge::CallerEdge;
use crate::caller_edge::EdgeSettings;
use crate::claim_store::ClaimStore;
use crate::claim_store::ClaimStoreSettings;
use crate::claim_store::RunningClaimStore;
use crate::clock::MonotonicClock;
use crate::control::ControlClient;
use crate::control::ControlSettings;
use crate::endpoint_client::ClientSettings;
use crate::endpoint_client::EndpointClient;
use crate::metrics::Metrics;
use crate::platform_client::PlatformClient;
use crate::settings::BYTES_PER_MB;
use crate::settings::GatewaySettings;

/// Largest body of a request to the control port. None needs one, but some tools send one.
const MAX_CONTROL_BODY_BYTES: u64 = 4096;

/// Creates the components of a gateway from what they share.
#[derive(Debug)]
pub(super) struct GatewayBuilder<'a> {
    pub(super) settings: &'a GatewaySettings,
    /// Start time of the gateway, in milliseconds since the Unix epoch; tells its
    /// process from earlier ones on the same instance.
    pub(super) incarnation: u64,
    pub(super) clock: MonotonicClock,
    pub(super) serving_state: Arc<ServingState>,
    pub(super) decisions: DecisionHandle,
    pub(super) metrics: Metrics,
    pub(super) logger: Logger,
}

impl GatewayBuilder<'_> {
    /// Starts the threads that claim idempotency keys.
    pub(super) fn start_claim_store(&self) -> RunningClaimStore {
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

    pub(super) fn build_handler(&self, claims: ClaimStore) -> RequestHandler {
        RequestHandler {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
            clock: self.clock,
            pause_detector: self.start_pause_detector(),
            serving_state: Arc::clone(&self.serving_state),
            decisions: self.decisions.clone(),
            client: EndpointClient::new(self.build_client_settings()),
            claims,
            metrics: self.metrics.clone(),
            next_id: AtomicU64::new(1),
        }
    }

    pub(super) fn build_routes(&self, claims: ClaimStore, edge: Arc<CallerEdge>) -> Routes {
        Routes {
            settings: self.settings.clone(),
            clock: self.clock,
            serving_state: Arc::clone(&self.serving_state),
            decisions: self.decisions.clone(),
            claims,
            edge,
        }
    }

    pub(super) fn build_decision_loop(
        &self,
        event_sender: SyncSender<Event>,
        events: Receiver<Event>,
        leaving_endpoints: SyncSender<InstanceId>,
    ) -> DecisionLoop {
        let dispatcher = Dispatcher::new(DispatcherSettings {
            gateway: self.settings.instance.clone(),
            incarnation: self.incarnation,
            availability_zone: self.settings.availability_zone.clone(),
        });
        let exchanger =
            SlotExchanger::new(event_sender, self.keeper_timeout(), self.metrics.clone());
        DecisionLoop::new(dispatcher, self.clock, events, exchanger, leaving_endpoints)
    }

    pub(super) fn build_keeper_sync(&self, leaving_endpoints: Receiver<InstanceId>) -> KeeperSync {
        KeeperSync {
            gateway: self.settings.instance.clone(),
            keepers: self.settings.keepers.clone(),
            fallback_keepers: Vec::new(),
            client: ControlClient::new(self.keeper_timeout()),
            interval: Duration::from_millis(self.settings.view_interval_ms),
            leaving_endpoints,
            decisions: self.decisions.clone(),
            serving_state: Arc::clone(&self.serving_state),
            replicated: ReplicatedState::default(),
            synced: None,
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
        }
    }

    pub(super) fn build_control_settings(&self) -> ControlSettings {
        ControlSettings {
            listen: self.settings.control_listen,
            limits: self.process_limits().gateway_control(),
            max_message_bytes: MAX_CONTROL_BODY_BYTES,
            classify,
            metrics: self.metrics.clone(),
        }
    }

    pub(super) fn build_edge_settings(&self) -> EdgeSettings {
        let max_connections = self.settings.max_connections as usize;
        EdgeSettings {
            limits: self.process_limits().gateway_callers(max_connections),
            max_header_bytes: self.settings.max_header_bytes as usize,
            header_timeout_ms: self.settings.header_timeout_ms,
            body_timeout_ms: self.settings.body_timeout_ms,
            idle_timeout_ms: self.settings.idle_timeout_ms,
            ..EdgeSettings::new(self.settings.listen)
        }
    }

    fn build_client_settings(&self) -> ClientSettings {
        ClientSettings {
            max_idle_per_endpoint: self.settings.max_idle_per_endpoint as usize,
            connect_timeout_ms: self.settings.connect_timeout_ms,
            ..ClientSettings::default()
        }
    }

    fn process_limits(&self) -> ProcessLimits {
        ProcessLimits {
            memory_bytes: self.settings.memory_mb * BYTES_PER_MB,
            max_descriptors: self.settings.max_descriptors,
        }
    }

    fn keeper_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.keeper_timeout_ms)
    }

    /// Starts the detector's thread, which ends when the detector is dropped.
    fn start_pause_detector(&self) -> Arc<PauseDetector> {
        let detector = Arc::new(PauseDetector::new(self.clock));
        let watch = Arc::downgrade(&detector);
        thread::spawn(move || PauseDetector::run(&watch));
        detector
    }
}
