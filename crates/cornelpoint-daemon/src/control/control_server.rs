use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::control_error::ControlError;
use super::control_request::ControlRequest;
use crate::caller_edge::Answer;
use crate::caller_edge::BodyLimit;
use crate::caller_edge::CallerEdge;
use crate::caller_edge::CallerHandler;
use crate::caller_edge::CallerRequest;
use crate::caller_edge::EdgeSettings;
use crate::caller_edge::RequestHead;

/// Largest message accepted.
const MAX_MESSAGE_BYTES: u64 = 16 * 1024 * 1024;
/// Stack size of a connection's thread.
const STACK_BYTES: usize = 512 * 1024;
/// Longest wait for requests in progress when the server stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

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
        listen: SocketAddr,
        max_connections: usize,
        handler: impl Fn(&ControlRequest) -> Answer + Send + Sync + 'static,
    ) -> Result<Self, ControlError> {
        let settings = EdgeSettings {
            max_connections,
            stack_bytes: STACK_BYTES,
            ..EdgeSettings::new(listen)
        };
        let handler = Arc::new(ControlHandler { handler });
        let edge = CallerEdge::start(settings, handler).map_err(|report| ControlError::Listen {
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
    handler: F,
}

impl<F: Fn(&ControlRequest) -> Answer + Send + Sync> CallerHandler for ControlHandler<F> {
    fn admit(&self, _head: &RequestHead) -> Result<BodyLimit, Answer> {
        Ok(BodyLimit {
            max_bytes: MAX_MESSAGE_BYTES,
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
}
