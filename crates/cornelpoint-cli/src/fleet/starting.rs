//! Functions that start the parts of a fleet.

use std::net::SocketAddr;

use cornelpoint::configuration::Configuration;
use cornelpoint::document::Source;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::platform::InstanceState;
use cornelpoint::platform::ListedInstance;
use cornelpoint::workspace;
use cornelpoint_standin::endpoint::EndpointSettings;
use cornelpoint_standin::endpoint::EndpointStandIn;
use slog::Logger;

use super::entry::Entry;
use super::entry::EntrySettings;
use super::fleet_error::FleetError;
use super::fleet_settings::FleetSettings;

pub(super) fn start_endpoints(
    configuration: &Configuration,
    settings: &FleetSettings,
) -> Result<Vec<EndpointStandIn>, FleetError> {
    let configured = configuration.pools.iter().flat_map(|pool| &pool.endpoints);
    configured
        .zip(settings.seed..)
        .map(|(endpoint, seed)| {
            EndpointStandIn::start(EndpointSettings {
                service_time: settings.service_time,
                seed,
                ..EndpointSettings::new(endpoint.instance.clone())
            })
            .map_err(stand_in_error)
        })
        .collect()
}

/// Checks the deployment's own files with the addresses of the stand-ins filled in.
pub(super) fn configuration_with_addresses(
    settings: &FleetSettings,
    addresses: &[SocketAddr],
) -> Result<Configuration, FleetError> {
    let text = settings
        .deployment
        .workspace_text(addresses)
        .map_err(configuration_error)?;
    let source = Source {
        text: &text,
        ..settings.deployment.workspace()
    };
    workspace::check(settings.deployment.template(), source).map_err(configuration_error)
}

pub(super) fn listed_instances(configuration: &Configuration) -> Vec<ListedInstance> {
    configuration
        .pools
        .iter()
        .flat_map(|pool| &pool.endpoints)
        .map(|endpoint| ListedInstance {
            instance: endpoint.instance.clone(),
            availability_zone: endpoint.availability_zone.clone(),
            state: InstanceState::Live,
            epoch: 1,
            keeper_address: None,
        })
        .collect()
}

pub(super) fn start_entries(
    settings: &FleetSettings,
    configuration: &Configuration,
    platform: SocketAddr,
    logger: &Logger,
) -> Result<Vec<Entry>, FleetError> {
    let zones = zones_of(configuration);
    let mut entries: Vec<Entry> = Vec::new();
    for (number, zone) in (1..=settings.entries()).zip(zones.iter().cycle()) {
        let instance = InstanceId::try_from(format!("entry-{number}")).map_err(daemon_error)?;
        let entry_settings = EntrySettings {
            instance,
            availability_zone: zone.clone(),
            workspace: configuration.workspace.clone(),
            platform,
            seeds: entries
                .iter()
                .take(2)
                .filter_map(|entry| entry.keeper.as_ref())
                .map(cornelpoint_daemon::keeper::Keeper::gossip_address)
                .collect(),
        };
        entries.push(Entry::start(&entry_settings, logger)?);
    }
    Ok(entries)
}

fn zones_of(configuration: &Configuration) -> Vec<AvailabilityZone> {
    let mut zones: Vec<AvailabilityZone> = configuration
        .pools
        .iter()
        .flat_map(|pool| &pool.endpoints)
        .map(|endpoint| endpoint.availability_zone.clone())
        .collect();
    zones.sort();
    zones.dedup();
    zones
}

pub(super) fn configuration_error(findings: impl std::fmt::Display) -> FleetError {
    FleetError::Configuration {
        found: findings.to_string(),
    }
}

pub(super) fn stand_in_error(error: impl std::fmt::Display) -> FleetError {
    FleetError::StandIn {
        found: error.to_string(),
    }
}

fn daemon_error(error: impl std::fmt::Display) -> FleetError {
    FleetError::Daemon {
        found: error.to_string(),
    }
}
