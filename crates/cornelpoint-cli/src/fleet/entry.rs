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

/// One entry instance: a keeper and a gateway.
#[derive(Debug)]
pub struct Entry {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// The keeper, unless it was stopped or killed.
    pub keeper: Option<Keeper>,
    /// The gateway, unless it was stopped.
    pub gateway: Option<Gateway>,
}

/// What an entry is told of its surroundings.
#[derive(Clone, Debug)]
pub(super) struct EntryPlan {
    pub(super) instance: InstanceId,
    pub(super) availability_zone: AvailabilityZone,
    pub(super) workspace: WorkspaceName,
    pub(super) platform: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
}

impl Entry {
    pub(super) fn start(plan: &EntryPlan, logger: &Logger) -> Result<Self, FleetError> {
        let logger = logger.new(o!("instance" => plan.instance.to_string()));
        let keeper = Keeper::start(&keeper_settings(plan), logger.clone()).map_err(daemon)?;
        let settings = gateway_settings(plan, keeper.address());
        let gateway = Gateway::start(&settings, logger).map_err(daemon)?;
        Ok(Self {
            instance: plan.instance.clone(),
            availability_zone: plan.availability_zone.clone(),
            keeper: Some(keeper),
            gateway: Some(gateway),
        })
    }

    /// Address for callers, while the gateway runs.
    #[must_use]
    pub fn caller_address(&self) -> Option<SocketAddr> {
        self.gateway.as_ref().map(Gateway::address)
    }

    /// Address of the keeper, while it runs.
    #[must_use]
    pub fn keeper_address(&self) -> Option<SocketAddr> {
        self.keeper.as_ref().map(Keeper::address)
    }
}

fn daemon(error: impl std::fmt::Display) -> FleetError {
    FleetError::Daemon {
        found: error.to_string(),
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn keeper_settings(plan: &EntryPlan) -> KeeperSettings {
    KeeperSettings {
        instance: plan.instance.clone(),
        availability_zone: plan.availability_zone.clone(),
        workspace: plan.workspace.clone(),
        listen: any_port(),
        gossip_listen: any_port(),
        seeds: plan.seeds.clone(),
        platform: plan.platform,
        metrics: None,
        platform_timeout_ms: 500,
        platform_poll_ms: 500,
        sync_interval_ms: 500,
        slot_lease_ms: 900,
        control_connections: 256,
    }
}

fn gateway_settings(plan: &EntryPlan, keeper: SocketAddr) -> GatewaySettings {
    GatewaySettings {
        instance: plan.instance.clone(),
        availability_zone: plan.availability_zone.clone(),
        listen: any_port(),
        control_listen: any_port(),
        keepers: vec![keeper],
        platform: plan.platform,
        metrics: None,
        platform_timeout_ms: 500,
        keeper_timeout_ms: 300,
        view_interval_ms: 200,
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
