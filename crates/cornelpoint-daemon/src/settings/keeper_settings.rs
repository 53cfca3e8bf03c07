use std::net::SocketAddr;

use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::WorkspaceName;

/// Settings of a keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// The entry instance that the keeper runs on.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Workspace whose configuration is in force here.
    pub workspace: WorkspaceName,
    /// Address for HTTP, TCP.
    pub listen: SocketAddr,
    /// Address for probes, UDP.
    pub gossip_listen: SocketAddr,
    /// Addresses for probes of keepers that are asked first.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of the `StatsD` server that metrics go to, UDP; none are sent
    /// without it.
    pub metrics: Option<SocketAddr>,
    /// Longest wait for an answer of the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Time between two reads of the newest generation, in milliseconds.
    pub platform_poll_ms: u64,
    /// Time between two exchanges with another keeper, in milliseconds.
    pub sync_interval_ms: u64,
    /// Time that a lent slot may be used without renewal, in milliseconds.
    pub slot_lease_ms: u64,
    /// Most connections to the HTTP interface, a thread each.
    pub control_connections: usize,
}
