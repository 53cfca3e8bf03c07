use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::connection_budget::ClientClass;
use cornelpoint::connection_budget::CloseReason;
use cornelpoint::connection_budget::ListenerLimits;
use cornelpoint::request::Refusal;

use super::control_error::ControlError;
use super::control_request::ControlRequest;
use super::control_request::path_of;
use crate::caller_edge::Answer;
use crate::caller_edge::BodyLimit;
use crate::caller_edge::CallerEdge;
use crate::caller_edge::CallerHandler;
use crate::caller_edge::CallerRequest;
use crate::caller_edge::EdgeSettings;
use crate::caller_edge::RequestHead;
use crate::metrics::Metrics;

/// Stack size of a connection's thread.
const STACK_BYTES: usize = 512 * 1024;
/// Longest wait for requests in progress when the server stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Address and limits of a control interface.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// What the connections may hold.
    pub limits: ListenerLimits,
    /// Largest body of a request, in bytes.
    pub max_message_bytes: u64,
    /// Returns the kind of client that requests a path.
    pub classify: fn(path: &str) -> ClientClass,
    /// Counts what is refused and closed.
    pub metrics: Metrics,
}

/// A running control interface with one thread per connection.
///
/// It uses the same HTTP server as the callers' edge. `rouille` shares threads
/// between kept-alive connections, so a new connection could wait for as long as
/// the others stay open, and its stop waits for a second without requests.
pub struct ControlServer {
    edge: CallerEdge,
}

impl ControlServer {
    /// Starts to listen and serve; connections over the limit are rejected.
    ///
    /// # Errors
    ///
    /// When listening on the address fails.
    pub fn start(
        settings: ControlSettings,
        handler: impl Fn(&ControlRequest) -> Answer + Send + Sync + 'static,
    ) -> Result<Self, ControlError> {
        let edge_settings = EdgeSettings {
            limits: settings.limits,
            stack_bytes: STACK_BYTES,
            ..EdgeSettings::new(settings.listen)
        };
        let handler = Arc::new(ControlHandler { settings, handler });
        let edge =
            CallerEdge::start(edge_settings, handler).map_err(|report| ControlError::Listen {
                found: format!("{report:?}"),
            })?;
        Ok(Self { edge })
    }

    /// Address listened on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.edge.address()
    }

    /// Stops listening, closes idle connections, and waits at most two seconds
    /// for requests in progress.
    pub fn stop(self) {
        self.edge.stop_accepting();
        let _ = self.edge.wait_idle(Instant::now() + STOP_TIMEOUT);
    }
}

impl fmt::Debug for ControlServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ControlServer")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

struct ControlHandler<F> {
    settings: ControlSettings,
    handler: F,
}

impl<F: Fn(&ControlRequest) -> Answer + Send + Sync> CallerHandler for ControlHandler<F> {
    fn classify(&self, head: &RequestHead) -> ClientClass {
        (self.settings.classify)(path_of(&head.target))
    }

    fn admit(&self, _head: &RequestHead) -> Result<BodyLimit, Answer> {
        Ok(BodyLimit {
            max_bytes: self.settings.max_message_bytes,
        })
    }

    fn handle(&self, request: CallerRequest) -> Answer {
        let request = ControlRequest {
            method: request.head.method,
            target: request.head.target,
            body: request.body,
        };
        (self.handler)(&request)
    }
    fn record_rejection(&self, refusal: Refusal) {
        self.settings.metrics.count_refusal(refusal);
    }

    fn record_closed(&self, reason: CloseReason) {
        self.settings.metrics.count_closed(reason);
    }
}
