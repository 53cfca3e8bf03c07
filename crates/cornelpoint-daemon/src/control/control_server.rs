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

/// Largest message that is read, in bytes.
const MESSAGE_LIMIT_BYTES: u64 = 16 * 1024 * 1024;
/// Stack of the thread of a connection, in bytes.
const STACK_BYTES: usize = 512 * 1024;
/// Longest wait for the answers in work when told to stop.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// A running control interface, one thread for each connection.
///
/// It stands on the same server as the callers' edge. The other library's
/// server shares threads between kept connections: a new one could wait for as
/// long as the others stayed, and its stop waits for a second without requests.
pub struct ControlServer {
    edge: CallerEdge,
}

impl ControlServer {
    /// Listens and answers; connections over the limit are turned away.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
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

    /// Address that is listened on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.edge.address()
    }

    /// Stops listening, ends idle connections, and waits for the answers in
    /// work, for two seconds at most.
    pub fn stop(self) {
        self.edge.stop_accepting();
        let _ = self.edge.wait_idle(Instant::now() + STOP_LIMIT);
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
            max_bytes: MESSAGE_LIMIT_BYTES,
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
