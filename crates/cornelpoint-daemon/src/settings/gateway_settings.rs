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
    /// Addresses of keepers, the own entry instance's first.
    pub keepers: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of the `StatsD` server that metrics go to, UDP; none are sent
    /// without it.
    pub metrics: Option<SocketAddr>,
    /// Longest wait for an answer of the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Longest wait for an answer of a keeper, in milliseconds.
    pub keeper_timeout_ms: u64,
    /// Time between two questions for news to a keeper, in milliseconds.
    pub view_interval_ms: u64,
    /// Most connections of callers.
    pub max_connections: u32,
    /// Largest head of a request, in bytes.
    pub max_header_bytes: u32,
    /// Time that a caller has to send its head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a caller has to send its body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Time that an idle connection of a caller is kept, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Time to connect to an endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Idle connections kept for each endpoint.
    pub max_idle_per_endpoint: u32,
    /// Time in which a gateway that is told to stop still takes requests, so
    /// that the balancer notices its health check, in milliseconds.
    pub stop_notice_ms: u64,
    /// Longest wait for requests in work when told to stop, in milliseconds.
    pub stop_timeout_ms: u64,
}
