use std::net::SocketAddr;

use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// The entry instance that the gateway runs on.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for dumps and health checks.
    pub control_listen: SocketAddr,
    /// Addresses of keepers, the one on the gateway's own instance first.
    pub keepers: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// UDP address of the `StatsD` server; without it no metrics are sent.
    pub metrics: Option<SocketAddr>,
    /// Timeout of a call to the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Timeout of a call to a keeper, in milliseconds.
    pub keeper_timeout_ms: u64,
    /// Interval at which a keeper is polled for updates, in milliseconds.
    pub view_interval_ms: u64,
    /// Memory that the process may use, in megabytes of 1,000,000 bytes; it bounds what
    /// clients can make the process hold.
    pub memory_mb: u64,
    /// Number of file descriptors that the process may open.
    pub max_descriptors: u64,
    /// Maximum number of callers' connections; memory and descriptors may allow fewer.
    pub max_connections: u32,
    /// Maximum size of a request line with its headers, in bytes.
    pub max_header_bytes: u32,
    /// Time for a caller to send the request line and headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for a caller to send the body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Time that a caller's idle connection is kept open, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Timeout for connecting to an endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Maximum number of idle connections kept open to each endpoint.
    pub max_idle_per_endpoint: u32,
    /// Time for which a stopping gateway still accepts requests, so that the load
    /// balancer sees its failing health check, in milliseconds.
    pub stop_notice_ms: u64,
    /// Longest wait for requests in progress when stopping, in milliseconds.
    pub stop_timeout_ms: u64,
}
