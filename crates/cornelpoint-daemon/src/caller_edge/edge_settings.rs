use std::net::SocketAddr;

use cornelpoint::connection_budget::ListenerLimits;
use cornelpoint::connection_budget::ProcessLimits;

/// Address and limits of the edge towards callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EdgeSettings {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// What the connections may hold. Where room is short, connections without a request are
    /// closed; what finds no room is rejected with 503.
    pub limits: ListenerLimits,
    /// Maximum size of a request line with its headers, in bytes.
    pub max_header_bytes: usize,
    /// Time to receive the request line and the headers, from their first byte
    /// on, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time to receive the body, and the same time again for the caller to
    /// receive the answer, in milliseconds.
    pub body_timeout_ms: u64,
    /// Time that a connection may be idle before its next request, in
    /// milliseconds.
    pub idle_timeout_ms: u64,
    /// Stack size of a connection's thread, in bytes.
    pub stack_bytes: usize,
}

impl EdgeSettings {
    const DEFAULT_LIMITS: ProcessLimits = ProcessLimits {
        memory_bytes: 160_000_000,
        max_descriptors: 4100,
    };
    const DEFAULT_MAX_CONNECTIONS: usize = 1024;
    const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
    const DEFAULT_HEADER_TIMEOUT_MS: u64 = 5_000;
    const DEFAULT_BODY_TIMEOUT_MS: u64 = 20_000;
    const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;
    const DEFAULT_STACK_BYTES: usize = 256 * 1024;

    /// Creates settings with the default limits for an address.
    ///
    /// ```
    /// use cornelpoint_daemon::caller_edge::EdgeSettings;
    ///
    /// let settings = EdgeSettings::new("127.0.0.1:0".parse().unwrap());
    /// assert_eq!(settings.max_header_bytes, 16 * 1024);
    /// ```
    #[must_use]
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            limits: Self::DEFAULT_LIMITS.gateway_callers(Self::DEFAULT_MAX_CONNECTIONS),
            max_header_bytes: Self::DEFAULT_MAX_HEADER_BYTES,
            header_timeout_ms: Self::DEFAULT_HEADER_TIMEOUT_MS,
            body_timeout_ms: Self::DEFAULT_BODY_TIMEOUT_MS,
            idle_timeout_ms: Self::DEFAULT_IDLE_TIMEOUT_MS,
            stack_bytes: Self::DEFAULT_STACK_BYTES,
        }
    }
}
