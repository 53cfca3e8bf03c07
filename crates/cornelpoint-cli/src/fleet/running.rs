use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::configuration::AcceptContent;
use cornelpoint::configuration::AcceptOutcome;
use cornelpoint::configuration::AcceptRequest;
use cornelpoint::configuration::AcceptToken;
use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Generation;
use cornelpoint::name::InstanceId;
use cornelpoint_daemon::control::ControlClient;
use cornelpoint_daemon::keeper::DrainRequest;
use cornelpoint_daemon::message::DrainReport;
use cornelpoint_daemon::message::GatewayStatus;
use cornelpoint_daemon::message::KeeperStatus;
use cornelpoint_standin::endpoint::EndpointStandIn;
use cornelpoint_standin::platform::PlatformSettings;
use cornelpoint_standin::platform::PlatformStandIn;
use slog::Logger;

use super::entry::Entry;
use super::fleet_error::FleetError;
use super::fleet_settings::FleetSettings;
use super::starting::configuration_error;
use super::starting::configuration_with_addresses;
use super::starting::listed_instances;
use super::starting::stand_in_error;
use super::starting::start_endpoints;
use super::starting::start_entries;

/// Time limit of one request to a keeper or a gateway.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in for the platform.
    pub platform: PlatformStandIn,
    /// Stand-ins for the endpoints, in the order of the configuration.
    pub endpoints: Vec<EndpointStandIn>,
    /// Entry instances.
    pub entries: Vec<Entry>,
    /// Configuration of the deployment with the stand-ins' addresses. Its
    /// generation is 0: it is not accepted yet.
    pub configuration: Configuration,
    operator: ControlClient,
}

impl Fleet {
    /// Starts all parts of a fleet, without accepting a configuration.
    ///
    /// # Errors
    ///
    /// When a part fails to start or the configuration is invalid.
    pub fn start(settings: &FleetSettings, logger: &Logger) -> Result<Self, FleetError> {
        let example = settings
            .deployment
            .configuration()
            .map_err(configuration_error)?;
        let endpoints = start_endpoints(&example, settings)?;
        let addresses: Vec<SocketAddr> = endpoints.iter().map(EndpointStandIn::address).collect();
        let configuration = configuration_with_addresses(settings, &addresses)?;
        let platform = PlatformStandIn::start(&PlatformSettings {
            instance_list_lag_ms: settings.instance_list_lag_ms,
            instances: listed_instances(&configuration),
            seed: settings.seed,
            ..PlatformSettings::default()
        })
        .map_err(stand_in_error)?;
        let entries = start_entries(settings, &configuration, platform.address(), logger)?;
        Ok(Self {
            platform,
            endpoints,
            entries,
            configuration,
            operator: ControlClient::new(OPERATOR_TIMEOUT),
        })
    }

    // Queries.

    /// Returns the addresses for callers of all running gateways.
    #[must_use]
    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .filter_map(Entry::caller_address)
            .collect()
    }

    /// Returns the stand-in for an endpoint.
    #[must_use]
    pub fn endpoint(&self, instance: &InstanceId) -> Option<&EndpointStandIn> {
        let position = self
            .configuration
            .pools
            .iter()
            .flat_map(|pool| &pool.endpoints)
            .position(|endpoint| &endpoint.instance == instance)?;
        self.endpoints.get(position)
    }

    /// Returns the lowest generation that a running gateway applies, by the
    /// latest report of each gateway to any keeper; 0 if a gateway has not reported.
    #[must_use]
    pub fn lowest_applied(&self) -> Generation {
        let mut newest: BTreeMap<InstanceId, GatewayStatus> = BTreeMap::new();
        for keeper in self.entries.iter().filter_map(Entry::keeper_address) {
            let status: Result<KeeperStatus, _> =
                self.operator.get_json(keeper, "/operator/status");
            for gateway in status.into_iter().flat_map(|status| status.gateways) {
                let known = newest.get(&gateway.instance);
                if known.is_none_or(|known| gateway.seen_ms_ago < known.seen_ms_ago) {
                    newest.insert(gateway.instance.clone(), gateway);
                }
            }
        }
        let running = self.entries.iter().filter(|entry| entry.gateway.is_some());
        running
            .map(|entry| {
                newest
                    .get(&entry.instance)
                    .map_or(Generation(0), |gateway| gateway.applied)
            })
            .min()
            .unwrap_or_default()
    }

    // Commands.

    /// Accepts a configuration at the first keeper that answers.
    ///
    /// # Errors
    ///
    /// When no keeper answers, or the configuration is not accepted.
    pub fn accept(
        &self,
        configuration: &Configuration,
        token: &str,
    ) -> Result<Generation, FleetError> {
        let request = AcceptRequest {
            workspace: configuration.workspace.clone(),
            seen: configuration.generation,
            token: AcceptToken::from_name(token),
            who: "fleet".to_owned(),
            why: "accepted by the fleet's driver".to_owned(),
            now_unix_ms: 0,
            content: AcceptContent::Given(Box::new(configuration.clone())),
        };
        let outcome: AcceptOutcome = self.call_any_keeper("/operator/accept", &request)?;
        match outcome {
            AcceptOutcome::Accepted { generation } | AcceptOutcome::Unchanged { generation } => {
                Ok(generation)
            }
            other => Err(FleetError::Operator {
                found: other.to_string(),
            }),
        }
    }

    /// Waits until every gateway applies a generation and returns the time that
    /// it took.
    ///
    /// # Errors
    ///
    /// When the time limit is exceeded.
    pub fn wait_applied(
        &self,
        generation: Generation,
        limit: Duration,
    ) -> Result<Duration, FleetError> {
        let start = Instant::now();
        while self.lowest_applied() < generation {
            if start.elapsed() > limit {
                return Err(FleetError::Timeout {
                    expected: "the generation to be in force everywhere",
                });
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(start.elapsed())
    }

    /// Waits until every gateway passes its health check and returns the time
    /// that it took.
    ///
    /// # Errors
    ///
    /// When the time limit is exceeded.
    pub fn wait_ready(&self, limit: Duration) -> Result<Duration, FleetError> {
        let start = Instant::now();
        let gateways = self.entries.iter().filter_map(|e| e.gateway.as_ref());
        for gateway in gateways {
            while !self.operator.is_healthy(gateway.control_address()) {
                if start.elapsed() > limit {
                    return Err(FleetError::Timeout {
                        expected: "every gateway to be ready",
                    });
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(start.elapsed())
    }

    /// Drains an endpoint.
    ///
    /// # Errors
    ///
    /// When no keeper carries out the action.
    pub fn drain(&self, instance: &InstanceId) -> Result<(), FleetError> {
        let request = DrainRequest {
            instance: instance.clone(),
        };
        self.call_any_keeper::<_, serde_json::Value>("/operator/drain", &request)
            .map(drop)
    }

    /// Undrains an endpoint.
    ///
    /// # Errors
    ///
    /// When no keeper carries out the action.
    pub fn undrain(&self, instance: &InstanceId) -> Result<(), FleetError> {
        let request = DrainRequest {
            instance: instance.clone(),
        };
        self.call_any_keeper::<_, serde_json::Value>("/operator/undrain", &request)
            .map(drop)
    }

    /// Waits until a keeper of the endpoint's own zone reports it drained and
    /// returns the time that it took.
    ///
    /// # Errors
    ///
    /// When the time limit is exceeded.
    pub fn wait_drained(
        &self,
        instance: &InstanceId,
        limit: Duration,
    ) -> Result<Duration, FleetError> {
        let start = Instant::now();
        let request = DrainRequest {
            instance: instance.clone(),
        };
        loop {
            let report: Result<DrainReport, _> =
                self.call_any_keeper("/operator/drained", &request);
            if report.is_ok_and(|report| report.drained) {
                return Ok(start.elapsed());
            }
            if start.elapsed() > limit {
                return Err(FleetError::Timeout {
                    expected: "the endpoint to be drained",
                });
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Stops the entry instances in parallel, then all stand-ins.
    pub fn stop(self) {
        let stopping: Vec<_> = self
            .entries
            .into_iter()
            .map(|entry| thread::spawn(move || stop_entry(entry)))
            .collect();
        for thread in stopping {
            let _ = thread.join();
        }
        for endpoint in self.endpoints {
            endpoint.stop();
        }
        self.platform.stop();
    }

    fn call_any_keeper<Q: serde::Serialize, A: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, FleetError> {
        let mut found = "no keeper runs".to_owned();
        for keeper in self.entries.iter().filter_map(Entry::keeper_address) {
            match self.operator.call_json(keeper, path, request) {
                Ok(reply) => return Ok(reply),
                Err(error) => found = error.to_string(),
            }
        }
        Err(FleetError::Operator { found })
    }
}

fn stop_entry(entry: Entry) {
    if let Some(gateway) = entry.gateway {
        gateway.stop();
    }
    if let Some(keeper) = entry.keeper {
        keeper.stop();
    }
}
