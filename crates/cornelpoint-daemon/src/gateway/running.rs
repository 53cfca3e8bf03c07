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

use super::admission::Admission;
use super::decisions::Decisions;
use super::event::Event;
use super::gateway_error::GatewayError;
use super::gauges::GaugeSources;
use super::parts::Parts;
use crate::caller_edge::CallerEdge;
use crate::caller_edge::DrainOutcome;
use crate::claim_store::RunningClaimStore;
use crate::clock::MonotonicClock;
use crate::clock::unix_ms;
use crate::control::ControlServer;
use crate::metrics::GaugeThread;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;

/// Events that may wait for the thread that decides.
const EVENT_RING: usize = 8192;
/// Signs of endpoints that may wait to be passed on.
const SIGN_RING: usize = 64;
/// Most connections for dumps and health checks.
const CONTROL_CONNECTIONS: usize = 32;
/// Longest wait for the claims' last writes at the end.
const CLAIM_STOP: Duration = Duration::from_secs(2);
/// Time in which idle slots go back to their holders before the end.
const SLOT_RETURN: Duration = Duration::from_millis(150);

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    edge: Arc<CallerEdge>,
    control: ControlServer,
    claims: RunningClaimStore,
    admission: Arc<Admission>,
    decisions: Decisions,
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
    /// When an address cannot be listened on, or metrics cannot be sent.
    pub fn start(settings: &GatewaySettings, logger: Logger) -> Result<Self, Report<GatewayError>> {
        let (ring, events) = sync_channel(EVENT_RING);
        let (sign_ring, signs) = sync_channel(SIGN_RING);
        let parts = Parts {
            settings,
            incarnation: unix_ms(),
            clock: MonotonicClock::start(),
            admission: Arc::new(Admission::default()),
            decisions: Decisions::new(ring.clone()),
            metrics: Metrics::from_settings("gateway", settings.metrics)
                .change_context(GatewayError::Metrics)?,
            logger,
        };
        let claims = parts.claims();
        let handler = Arc::new(parts.handler(claims.store()));
        let edge =
            CallerEdge::start(parts.edge_settings(), handler).change_context(GatewayError::Edge)?;
        let edge = Arc::new(edge);
        let pages = parts.pages(claims.store(), Arc::clone(&edge));
        let control =
            ControlServer::start(settings.control_listen, CONTROL_CONNECTIONS, move |r| {
                pages.answer(r)
            })
            .change_context(GatewayError::Control)?;
        let decision_loop = parts.decision_loop(ring, events, sign_ring);
        let news = parts.news(signs);
        let threads = vec![
            thread::spawn(move || decision_loop.run()),
            thread::spawn(move || news.run()),
        ];
        info!(parts.logger, "Gateway started."; "address" => %edge.address());
        Ok(Self::running(parts, edge, control, claims, threads))
    }

    fn running(
        parts: Parts<'_>,
        edge: Arc<CallerEdge>,
        control: ControlServer,
        claims: RunningClaimStore,
        threads: Vec<JoinHandle<()>>,
    ) -> Self {
        let sources = GaugeSources {
            admission: Arc::clone(&parts.admission),
            decisions: parts.decisions.clone(),
            edge: Arc::clone(&edge),
        };
        let metrics = parts.metrics;
        let gauges = parts
            .settings
            .metrics
            .map(|_| GaugeThread::start(metrics, move |metrics| sources.report(metrics)));
        Self {
            edge,
            control,
            claims,
            admission: parts.admission,
            decisions: parts.decisions,
            threads,
            gauges,
            stop_notice: Duration::from_millis(parts.settings.stop_notice_ms),
            stop_timeout: Duration::from_millis(parts.settings.stop_timeout_ms),
            logger: parts.logger,
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

    /// Fails the health check, serves on until the balancer has noticed,
    /// finishes what it holds, gives its slots back, and ends.
    pub fn stop(self) {
        info!(self.logger, "Gateway stops.");
        self.admission.stop();
        thread::sleep(self.stop_notice);
        self.edge.stop_accepting();
        let drain = self.edge.wait_idle(Instant::now() + self.stop_timeout);
        if let DrainOutcome::Busy { connections } = drain {
            warn!(self.logger, "Stop timeout passed."; "connections" => connections);
        }
        thread::sleep(SLOT_RETURN);
        self.end(Instant::now() + CLAIM_STOP);
    }

    /// Ends at once, as a killed process would: nothing is finished.
    pub fn kill(self) {
        self.edge.stop_accepting();
        self.end(Instant::now());
    }

    fn end(self, claims_until: Instant) {
        if let Some(gauges) = self.gauges {
            gauges.stop();
        }
        self.claims.stop(claims_until);
        self.decisions.tell(Event::End);
        self.control.stop();
        for thread in self.threads {
            let _ = thread.join();
        }
        info!(self.logger, "Gateway stopped.");
    }
}
