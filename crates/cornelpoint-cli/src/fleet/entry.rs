use std::net::Ipv4Addr;
use std::net::SocketAddr;

use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::WorkspaceName;
use cornelpoint_daemon::gateway::Gateway;
use cornelpoint_daemon::keeper::Keeper;
use cornelpoint_daemon::settings::GatewaySettings;
use cornelpoint_daemon::settings::KeeperSettings;
use slog::Logger;
use slog::o;

use super::fleet_error::FleetError;

/// Entry instance: a keeper and a gateway.
#[derive(Debug)]
pub struct Entry {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Keeper; `None` after it was stopped or killed.
    pub keeper: Option<Keeper>,
    /// Gateway; `None` after it was stopped.
    pub gateway: Option<Gateway>,
}

/// Settings of an entry instance.
#[derive(Clone, Debug)]
pub(super) struct EntrySettings {
    pub(super) instance: InstanceId,
    pub(super) availability_zone: AvailabilityZone,
    pub(super) workspace: WorkspaceName,
    pub(super) platform: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
}

impl Entry {
    pub(super) fn start(entry: &EntrySettings, logger: &Logger) -> Result<Self, FleetError> {
        let logger = logger.new(o!("instance" => entry.instance.to_string()));
        let keeper =
            Keeper::start(&keeper_settings(entry), logger.clone()).map_err(daemon_error)?;
        let settings = gateway_settings(entry, keeper.address());
        let gateway = Gateway::start(&settings, logger).map_err(daemon_error)?;
        Ok(Self {
            instance: entry.instance.clone(),
            availability_zone: entry.availability_zone.clone(),
            keeper: Some(keeper),
            gateway: Some(gateway),
        })
    }

    /// Returns the gateway's address for callers, while it runs.
    #[must_use]
    pub fn caller_address(&self) -> Option<SocketAddr> {
        self.gateway.as_ref().map(Gateway::address)
    }

    /// Returns the address of the keeper, while it runs.
    #[must_use]
    pub fn keeper_address(&self) -> Option<SocketAddr> {
        self.keeper.as_ref().map(Keeper::address)
    }
}

fn daemon_error(error: impl std::fmt::Display) -> FleetError {
    FleetError::Daemon {
        found: error.to_string(),
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn keeper_settings(entry: &EntrySettings) -> KeeperSettings {
    KeeperSettings {
        instance: entry.instance.clone(),
        availability_zone: entry.availability_zone.clone(),
        workspace: entry.workspace.clone(),
        listen: any_port(),
        gossip_listen: any_port(),
        seeds: entry.seeds.clone(),
        platform: entry.platform,
        metrics: None,
        platform_timeout_ms: 500,
        platform_poll_ms: 500,
        sync_interval_ms: 500,
        slot_lease_ms: 900,
        memory_mb: 80,
        max_descriptors: 4100,
        control_connections: 256,
        max_message_bytes: 1_835_008,
    }
}

fn gateway_settings(entry: &EntrySettings, keeper: SocketAddr) -> GatewaySettings {
    GatewaySettings {
        instance: entry.instance.clone(),
        availability_zone: entry.availability_zone.clone(),
        listen: any_port(),
        control_listen: any_port(),
        keepers: vec![keeper],
        platform: entry.platform,
        metrics: None,
        platform_timeout_ms: 500,
        keeper_timeout_ms: 300,
        view_interval_ms: 200,
        memory_mb: 80,
        max_descriptors: 4100,
        max_connections: 2_048,
        max_header_bytes: 16 * 1024,
        header_timeout_ms: 5_000,
        body_timeout_ms: 20_000,
        idle_timeout_ms: 60_000,
        connect_timeout_ms: 500,
        max_idle_per_endpoint: 4,
        stop_notice_ms: 300,
        stop_timeout_ms: 10_000,
    }
}
