use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::claim::Claimant;
use cornelpoint::dispatch::Dispatcher;
use cornelpoint::dispatch::DispatcherSettings;
use cornelpoint::spread::Facts;
use error_stack::Report;
use error_stack::ResultExt;
use rouille::Request;
use rouille::Response;
use slog::Logger;
use slog::info;
use slog::warn;

use super::admission::Admission;
use super::decision_loop::DecisionLoop;
use super::decisions::Decisions;
use super::event::Event;
use super::gateway_dump::GatewayDump;
use super::gateway_error::GatewayError;
use super::handler::Handler;
use super::levels::Levels;
use super::news::News;
use super::pause_watch::PauseWatch;
use super::slot_exchanger::SlotExchanger;
use crate::caller_edge::CallerEdge;
use crate::caller_edge::Drain;
use crate::caller_edge::EdgeSettings;
use crate::claim_store::ClaimStore;
use crate::claim_store::ClaimStoreSettings;
use crate::claim_store::RunningClaimStore;
use crate::clock::MonotonicClock;
use crate::clock::unix_ms;
use crate::control::ControlClient;
use crate::control::ControlServer;
use crate::control::json_reply;
use crate::control::text_reply;
use crate::endpoint_client::ClientSettings;
use crate::endpoint_client::EndpointClient;
use crate::metrics::GaugeThread;
use crate::metrics::Metrics;
use crate::platform_client::PlatformClient;
use crate::settings::GatewaySettings;

/// Events that may wait for the thread that decides.
const EVENT_RING: usize = 8192;
/// Signs of endpoints that may wait to be passed on.
const SIGN_RING: usize = 64;
/// Threads that answer dumps and health checks.
const CONTROL_THREADS: usize = 2;
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
        let clock = MonotonicClock::start();
        let incarnation = unix_ms();
        let admission = Arc::new(Admission::default());
        let (ring, events) = sync_channel(EVENT_RING);
        let (sign_ring, signs) = sync_channel(SIGN_RING);
        let decisions = Decisions::new(ring.clone());
        let metrics = Metrics::from_settings("gateway", settings.metrics)
            .change_context(GatewayError::Metrics)?;
        let keeper_timeout = Duration::from_millis(settings.keeper_timeout_ms);

        let platform = PlatformClient::new(
            settings.platform,
            Duration::from_millis(settings.platform_timeout_ms),
        )
        .with_metrics(metrics.clone());
        let claims = RunningClaimStore::start(&claim_settings(settings, incarnation), platform);
        let pauses = Arc::new(PauseWatch::new(clock));
        let watched = Arc::downgrade(&pauses);
        thread::spawn(move || PauseWatch::run(&watched));
        let handler = Handler {
            instance: settings.instance.clone(),
            incarnation,
            clock,
            pauses: Arc::clone(&pauses),
            admission: Arc::clone(&admission),
            decisions: decisions.clone(),
            client: EndpointClient::new(client_settings(settings)),
            claims: claims.store(),
            metrics: metrics.clone(),
            next_id: AtomicU64::new(1),
        };
        let edge = CallerEdge::start(edge_settings(settings), Arc::new(handler))
            .change_context(GatewayError::Edge)?;
        let edge = Arc::new(edge);
        let pages = Pages {
            settings: settings.clone(),
            clock,
            admission: Arc::clone(&admission),
            decisions: decisions.clone(),
            claims: claims.store(),
            edge: Arc::clone(&edge),
        };
        let control = ControlServer::start(settings.control_listen, CONTROL_THREADS, move |r| {
            pages.answer(r)
        })
        .change_context(GatewayError::Control)?;

        let decision_loop = DecisionLoop::new(
            Dispatcher::new(DispatcherSettings {
                gateway: settings.instance.clone(),
                incarnation,
                availability_zone: settings.availability_zone.clone(),
            }),
            clock,
            events,
            SlotExchanger::new(ring, keeper_timeout, metrics.clone()),
            sign_ring,
        );
        let news = News {
            gateway: settings.instance.clone(),
            keepers: settings.keepers.clone(),
            others: Vec::new(),
            client: ControlClient::new(keeper_timeout),
            interval: Duration::from_millis(settings.view_interval_ms),
            signs,
            decisions: decisions.clone(),
            admission: Arc::clone(&admission),
            facts: Facts::default(),
            read: None,
            metrics: metrics.clone(),
            logger: logger.clone(),
        };
        let threads = vec![
            thread::spawn(move || decision_loop.run()),
            thread::spawn(move || news.run()),
        ];
        let levels = Levels {
            admission: Arc::clone(&admission),
            decisions: decisions.clone(),
            edge: Arc::clone(&edge),
        };
        let gauges = settings
            .metrics
            .map(|_| GaugeThread::start(metrics, move |metrics| levels.tell(metrics)));
        info!(logger, "Gateway started."; "address" => %edge.address());
        Ok(Self {
            edge,
            control,
            claims,
            admission,
            decisions,
            threads,
            gauges,
            stop_notice: Duration::from_millis(settings.stop_notice_ms),
            stop_timeout: Duration::from_millis(settings.stop_timeout_ms),
            logger,
        })
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
        if let Drain::Busy { connections } = drain {
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

/// The gateway's pages for operators and the balancer.
#[derive(Debug)]
struct Pages {
    settings: GatewaySettings,
    clock: MonotonicClock,
    admission: Arc<Admission>,
    decisions: Decisions,
    claims: ClaimStore,
    edge: Arc<CallerEdge>,
}

impl Pages {
    fn answer(&self, request: &Request) -> Response {
        match (request.method(), request.url().as_str()) {
            ("GET", "/health") => self.health(),
            ("GET", "/dump") => self.dump(),
            (method, path) => text_reply(404, &format!("no page for {method} {path}")),
        }
    }

    fn health(&self) -> Response {
        if self.admission.is_stopping() {
            return text_reply(503, "stopping");
        }
        if self.admission.configuration().is_none() {
            return text_reply(503, "not ready: no keeper gave a configuration yet");
        }
        if !self.admission.is_ready() {
            return text_reply(503, "not ready: no slots are lent yet");
        }
        text_reply(200, "ready")
    }

    fn dump(&self) -> Response {
        let Some(decisions) = self.decisions.dump() else {
            return text_reply(503, "the decisions do not answer");
        };
        json_reply(&GatewayDump {
            instance: self.settings.instance.clone(),
            availability_zone: self.settings.availability_zone.clone(),
            now_ms: self.clock.now_ms(),
            generation: self.admission.generation(),
            stopping: self.admission.is_stopping(),
            connections: self.edge.connections(),
            exchanges: decisions.exchanges,
            claims: self.claims.dump(),
            dispatcher: decisions.dispatcher,
        })
    }
}

fn edge_settings(settings: &GatewaySettings) -> EdgeSettings {
    EdgeSettings {
        max_connections: settings.max_connections as usize,
        max_header_bytes: settings.max_header_bytes as usize,
        header_timeout_ms: settings.header_timeout_ms,
        body_timeout_ms: settings.body_timeout_ms,
        idle_timeout_ms: settings.idle_timeout_ms,
        ..EdgeSettings::new(settings.listen)
    }
}

fn claim_settings(settings: &GatewaySettings, incarnation: u64) -> ClaimStoreSettings {
    let claimant = Claimant {
        instance: settings.instance.clone(),
        incarnation,
    };
    ClaimStoreSettings::new(claimant, incarnation)
}

fn client_settings(settings: &GatewaySettings) -> ClientSettings {
    ClientSettings {
        max_idle_per_endpoint: settings.max_idle_per_endpoint as usize,
        connect_timeout_ms: settings.connect_timeout_ms,
        ..ClientSettings::default()
    }
}
