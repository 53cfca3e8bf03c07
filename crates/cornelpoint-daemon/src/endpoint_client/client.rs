use std::net::SocketAddr;
use std::time::Instant;

use super::client_settings::ClientSettings;
use super::link::Link;
use super::link_pool::LinkPool;
use super::outgoing_request::OutgoingRequest;
use super::outgoing_request::Reuse;
use super::send_outcome::SendOutcome;

/// Sends requests to endpoints, each exactly once; shared by threads.
///
/// It follows no redirect, decodes no body, adds no header but the request
/// id, `host` and `content-length`, and never sends again by itself.
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
/// let nobody = "127.0.0.1:1".parse().unwrap();
/// let deadline = Instant::now() + Duration::from_secs(1);
/// let outcome = client.send(nobody, &request, deadline, Reuse::Fresh);
/// assert_eq!(outcome, SendOutcome::NotSent(NotSent::Refused));
/// ```
#[derive(Debug)]
pub struct EndpointClient {
    settings: ClientSettings,
    pool: LinkPool,
}

impl EndpointClient {
    /// A client without connections.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            settings,
            pool: LinkPool::new(&settings),
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
        let link = self.link(address, reuse);
        let outcome = link.send(request, deadline);
        if link.is_open() {
            self.pool.put(address, link);
        }
        outcome
    }

    /// Closes the idle connections to an endpoint, such as one that leaves.
    pub fn close_idle_connections(&self, address: SocketAddr) {
        self.pool.close_idle_connections(address);
    }

    /// Number of idle connections to an endpoint.
    #[must_use]
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        self.pool.len(address)
    }

    fn link(&self, address: SocketAddr, reuse: Reuse) -> Link {
        let idle = match reuse {
            Reuse::Fresh => None,
            Reuse::Pooled => self.pool.take(address),
        };
        idle.unwrap_or_else(|| Link::new(address, &self.settings))
    }
}
