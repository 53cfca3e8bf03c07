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
    /// TCP address of the HTTP interface.
    pub listen: SocketAddr,
    /// UDP address for gossip.
    pub gossip_listen: SocketAddr,
    /// Gossip addresses of the keepers that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// UDP address of the `StatsD` server; without it no metrics are sent.
    pub metrics: Option<SocketAddr>,
    /// Timeout of a call to the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Interval at which the platform is polled, in milliseconds.
    pub platform_poll_ms: u64,
    /// Interval at which another keeper is polled, in milliseconds.
    pub sync_interval_ms: u64,
    /// Lease duration of a lent slot, in milliseconds.
    pub slot_lease_ms: u64,
    /// Memory that the process may use, in megabytes of 1,000,000 bytes; it bounds what
    /// clients can make the process hold.
    pub memory_mb: u64,
    /// Number of file descriptors that the process may open.
    pub max_descriptors: u64,
    /// Maximum number of connections to the HTTP interface, with one thread each; memory
    /// and descriptors may allow fewer.
    pub control_connections: usize,
    /// Largest body of a message to the HTTP interface, in bytes; memory may allow less.
    pub max_message_bytes: u64,
}
