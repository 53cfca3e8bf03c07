use std::fmt;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Instant;

use cadence::BufferedUdpMetricSink;
use cadence::CountedExt;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cornelpoint::connection_budget::CloseReason;
use cornelpoint::request::Refusal;
use cornelpoint::request::RunState;
use error_stack::Report;
use error_stack::ResultExt;

use super::counter::Counter;
use super::gauge::Gauge;
use super::metrics_error::MetricsError;
use super::timer::Timer;

/// Capacity of the queue of metrics to send.
const MAX_QUEUED_METRICS: usize = 4096;

/// Sends the metrics of a process; clones share one queue and address.
///
/// A metric that cannot be sent is dropped; callers never block.
///
/// ```
/// use cornelpoint_daemon::metrics::Counter;
/// use cornelpoint_daemon::metrics::Metrics;
///
/// let metrics = Metrics::disabled();
/// metrics.count(Counter::Answered);
/// ```
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates metrics that are not sent.
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink("cornelpoint", NopMetricSink)),
        }
    }

    /// Creates metrics of a program, such as `gateway`, sent to an address.
    ///
    /// # Errors
    ///
    /// When opening the socket fails.
    pub fn to_address(program: &str, address: SocketAddr) -> Result<Self, Report<MetricsError>> {
        let failed = MetricsError::Socket { address };
        let socket = UdpSocket::bind(any_address(address)).change_context(failed)?;
        socket.set_nonblocking(true).change_context(failed)?;
        let sink = BufferedUdpMetricSink::from(address, socket).change_context(failed)?;
        let queue = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
        let prefix = format!("cornelpoint.{program}");
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(&prefix, queue)),
        })
    }

    /// Creates metrics of a program, sent to the address from its settings, or
    /// disabled without one.
    ///
    /// # Errors
    ///
    /// When opening the socket fails.
    pub fn from_settings(
        program: &str,
        address: Option<SocketAddr>,
    ) -> Result<Self, Report<MetricsError>> {
        match address {
            Some(address) => Self::to_address(program, address),
            None => Ok(Self::disabled()),
        }
    }

    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        // A metric that cannot be queued is dropped.
        let _ = self.client.incr(counter.as_str());
    }

    /// Counts one request that ended with a refusal, by its run state.
    pub fn count_refusal(&self, refusal: Refusal) {
        let counter = match refusal.run_state() {
            RunState::No => Counter::Refused,
            RunState::Yes | RunState::Unknown => Counter::Unknown,
        };
        let tagged = self.client.incr_with_tags(counter.as_str());
        tagged.with_tag("reason", refusal.as_str()).send();
    }

    /// Counts one connection that was closed to make room for others.
    pub fn count_closed(&self, reason: CloseReason) {
        let tagged = self
            .client
            .incr_with_tags(Counter::ConnectionClosed.as_str());
        tagged.with_tag("reason", reason.as_str()).send();
    }

    /// Reports the current value of a gauge.
    pub fn gauge(&self, gauge: Gauge, level: u64) {
        let _ = self.client.gauge(gauge.as_str(), level);
    }

    /// Sends the metrics buffered for a datagram that is not yet full;
    /// [`GaugeThread`](super::GaugeThread) calls it at intervals.
    pub fn flush(&self) {
        let _ = self.client.flush();
    }

    /// Records a duration, in milliseconds.
    pub fn record_ms(&self, timer: Timer, time_ms: u64) {
        let _ = self.client.time(timer.as_str(), time_ms);
    }

    /// Records the time elapsed since `start`.
    pub fn record_since(&self, timer: Timer, start: Instant) {
        let time_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.record_ms(timer, time_ms);
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Metrics").finish_non_exhaustive()
    }
}

/// Unspecified local address of the same address family.
fn any_address(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
    };
    SocketAddr::new(ip, 0)
}
