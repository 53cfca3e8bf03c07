use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use slog::Logger;
use slog::info;
use slog::warn;

use super::decision_handle::DecisionHandle;
use super::event::Event;
use super::gateway_builder::GatewayBuilder;
use super::gateway_error::GatewayError;
use super::gauges::GaugeSources;
use super::serving_state::ServingState;
use crate::caller_edge::CallerEdge;
use crate::caller_edge::DrainOutcome;
use crate::claim_store::RunningClaimStore;
use crate::clock::MonotonicClock;
use crate::clock::unix_ms;
use crate::control::ControlServer;
use crate::metrics::GaugeThread;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;

/// Events that may be queued for the decision thread.
const EVENT_QUEUE_LENGTH: usize = 8192;
/// Leaving endpoints that may be queued for the announcement to a keeper.
const LEAVING_QUEUE_LENGTH: usize = 64;
/// Longest wait for the claim store's last writes when the gateway stops.
const CLAIM_STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for idle slots to return to their holders before the gateway ends.
const SLOT_RETURN_WAIT: Duration = Duration::from_millis(150);

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    edge: Arc<CallerEdge>,
    control: ControlServer,
    claims: RunningClaimStore,
    serving_state: Arc<ServingState>,
    decisions: DecisionHandle,
    threads: Vec<JoinHandle<()>>,
    gauges: Option<GaugeThread>,
    stop_notice: Duration,
    stop_timeout: Duration,
    logger: Logger,
}

impl Gateway {
    /// Starts the gateway's threads.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be listened on, or if the metrics
    /// socket cannot be opened.
    pub fn start(settings: &GatewaySettings, logger: Logger) -> Result<Self, Report<GatewayError>> {
        let (event_sender, events) = sync_channel(EVENT_QUEUE_LENGTH);
        let (leaving_sender, leaving_endpoints) = sync_channel(LEAVING_QUEUE_LENGTH);
        let builder = GatewayBuilder {
            settings,
            incarnation: unix_ms(),
            clock: MonotonicClock::start(),
            serving_state: Arc::new(ServingState::default()),
            decisions: DecisionHandle::new(event_sender.clone()),
            metrics: Metrics::from_settings("gateway", settings.metrics)
                .change_context(GatewayError::Metrics)?,
            logger,
        };
        let claims = builder.start_claim_store();
        let handler = Arc::new(builder.build_handler(claims.store()));
        let edge = CallerEdge::start(builder.build_edge_settings(), handler)
            .change_context(GatewayError::Edge)?;
        let edge = Arc::new(edge);
        let routes = builder.build_routes(claims.store(), Arc::clone(&edge));
        let control =
            ControlServer::start(builder.build_control_settings(), move |r| routes.answer(r))
                .change_context(GatewayError::Control)?;
        let decision_loop = builder.build_decision_loop(event_sender, events, leaving_sender);
        let keeper_sync = builder.build_keeper_sync(leaving_endpoints);
        let threads = vec![
            thread::spawn(move || decision_loop.run()),
            thread::spawn(move || keeper_sync.run()),
        ];
        info!(builder.logger, "Gateway started."; "address" => %edge.address());
        Ok(Self::running(builder, edge, control, claims, threads))
    }

    fn running(
        builder: GatewayBuilder<'_>,
        edge: Arc<CallerEdge>,
        control: ControlServer,
        claims: RunningClaimStore,
        threads: Vec<JoinHandle<()>>,
    ) -> Self {
        let sources = GaugeSources {
            serving_state: Arc::clone(&builder.serving_state),
            decisions: builder.decisions.clone(),
            edge: Arc::clone(&edge),
        };
        let metrics = builder.metrics;
        let gauges = builder
            .settings
            .metrics
            .map(|_| GaugeThread::start(metrics, move |metrics| sources.report(metrics)));
        Self {
            edge,
            control,
            claims,
            serving_state: builder.serving_state,
            decisions: builder.decisions,
            threads,
            gauges,
            stop_notice: Duration::from_millis(builder.settings.stop_notice_ms),
            stop_timeout: Duration::from_millis(builder.settings.stop_timeout_ms),
            logger: builder.logger,
        }
    }

    /// Address for callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.edge.address()
    }

    /// Address for dumps and health checks.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Stops gracefully: fails the health check, keeps serving until the
    /// balancer has noticed, completes the requests in progress, returns the
    /// slots to their holders, and ends the threads.
    pub fn stop(self) {
        info!(self.logger, "Gateway is stopping.");
        self.serving_state.stop();
        thread::sleep(self.stop_notice);
        self.edge.stop_accepting();
        let drain = self.edge.wait_idle(Instant::now() + self.stop_timeout);
        if let DrainOutcome::Busy { connections } = drain {
            warn!(self.logger, "Stop timeout passed with connections still open.";
                "connections" => connections);
        }
        thread::sleep(SLOT_RETURN_WAIT);
        self.end(Instant::now() + CLAIM_STOP_TIMEOUT);
    }

    /// Stops at once, as a killed process would: no request is completed.
    pub fn kill(self) {
        self.edge.stop_accepting();
        self.end(Instant::now());
    }

    fn end(self, claims_deadline: Instant) {
        if let Some(gauges) = self.gauges {
            gauges.stop();
        }
        self.claims.stop(claims_deadline);
        self.decisions.notify(Event::Stop);
        self.control.stop();
        for thread in self.threads {
            let _ = thread.join();
        }
        info!(self.logger, "Gateway stopped.");
    }
}
