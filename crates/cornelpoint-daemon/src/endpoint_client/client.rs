use std::net::SocketAddr;
use std::time::Instant;

use super::client_settings::ClientSettings;
use super::connection::Connection;
use super::connection_pool::ConnectionPool;
use super::outgoing_request::OutgoingRequest;
use super::outgoing_request::Reuse;
use super::send_outcome::SendOutcome;

/// Client that sends each request to an endpoint at most once; shared by
/// threads.
///
/// It follows no redirects, decodes no bodies, adds no headers except the
/// request id, `host` and `content-length`, and never retries by itself.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use cornelpoint::request::Method;
/// use cornelpoint_daemon::endpoint_client::ClientSettings;
/// use cornelpoint_daemon::endpoint_client::EndpointClient;
/// use cornelpoint_daemon::endpoint_client::NotSent;
/// use cornelpoint_daemon::endpoint_client::OutgoingRequest;
/// use cornelpoint_daemon::endpoint_client::Reuse;
/// use cornelpoint_daemon::endpoint_client::SendOutcome;
///
/// let client = EndpointClient::new(ClientSettings::default());
/// let request = OutgoingRequest {
///     method: Method::Post,
///     target: "/quoting/orders",
///     headers: &[],
///     body: b"{}",
///     request_id: "entry-1-7",
///     max_answer_bytes: 1024,
/// };
/// let unused_address = "127.0.0.1:1".parse().unwrap();
/// let deadline = Instant::now() + Duration::from_secs(1);
/// let outcome = client.send(unused_address, &request, deadline, Reuse::Fresh);
/// assert_eq!(outcome, SendOutcome::NotSent(NotSent::Refused));
/// ```
#[derive(Debug)]
pub struct EndpointClient {
    settings: ClientSettings,
    pool: ConnectionPool,
}

impl EndpointClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            settings,
            pool: ConnectionPool::new(&settings),
        }
    }

    /// Sends a request once and waits for its answer until the deadline.
    pub fn send(
        &self,
        address: SocketAddr,
        request: &OutgoingRequest<'_>,
        deadline: Instant,
        reuse: Reuse,
    ) -> SendOutcome {
        self.send_holding(address, request, deadline, reuse, &|_| true)
    }

    /// Sends a request like [`Self::send`]. Before more of the answer's body is read, `hold` is
    /// asked for room for so many bytes of it in all; without room, the outcome is
    /// [`Refusal::AnswerDropped`](cornelpoint::request::Refusal::AnswerDropped).
    pub fn send_holding(
        &self,
        address: SocketAddr,
        request: &OutgoingRequest<'_>,
        deadline: Instant,
        reuse: Reuse,
        hold: &dyn Fn(usize) -> bool,
    ) -> SendOutcome {
        let connection = self.connection(address, reuse);
        let outcome = connection.send(request, deadline, hold);
        if connection.is_open() {
            self.pool.put(address, connection);
        }
        outcome
    }

    /// Closes the idle connections to an endpoint, such as one that is leaving.
    pub fn close_idle_connections(&self, address: SocketAddr) {
        self.pool.close_idle_connections(address);
    }

    /// Returns the number of idle connections to an endpoint.
    #[must_use]
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        self.pool.len(address)
    }

    fn connection(&self, address: SocketAddr, reuse: Reuse) -> Connection {
        let idle = match reuse {
            Reuse::Fresh => None,
            Reuse::Pooled => self.pool.take(address),
        };
        idle.unwrap_or_else(|| Connection::new(address, &self.settings))
    }
}
