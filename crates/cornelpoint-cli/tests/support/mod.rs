//! Small fleet in one process: stand-ins, keepers and gateways.

mod metrics_server;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use cornelpoint::configuration::AcceptContent;
use cornelpoint::configuration::AcceptOutcome;
use cornelpoint::configuration::AcceptRequest;
use cornelpoint::configuration::AcceptToken;
use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Endpoint;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::Pool;
use cornelpoint::configuration::Service;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::PoolName;
use cornelpoint::name::Rack;
use cornelpoint::name::ServiceName;
use cornelpoint::name::TemplateName;
use cornelpoint::name::WorkspaceName;
use cornelpoint::platform::InstanceState;
use cornelpoint::platform::ListedInstance;
use cornelpoint::request::Method;
use cornelpoint_daemon::control::ControlClient;
use cornelpoint_daemon::gateway::Gateway;
use cornelpoint_daemon::keeper::Keeper;
use cornelpoint_daemon::settings::GatewaySettings;
use cornelpoint_daemon::settings::KeeperSettings;
use cornelpoint_standin::endpoint::EndpointFault;
use cornelpoint_standin::endpoint::EndpointSettings;
use cornelpoint_standin::endpoint::EndpointStandIn;
use cornelpoint_standin::endpoint::FaultRule;
use cornelpoint_standin::endpoint::FaultScope;
use cornelpoint_standin::fault_plan::Targets;
use cornelpoint_standin::history::Recorder;
use cornelpoint_standin::platform::PlatformSettings;
use cornelpoint_standin::platform::PlatformStandIn;
use cornelpoint_standin::relay::Relay;
use slog::Discard;
use slog::Logger;
use slog::o;

pub use self::metrics_server::MetricsServer;

/// Availability zones of the fleet; each has one entry instance.
const ZONES: [&str; 2] = ["a", "b"];

/// Number of endpoints in each zone.
pub const ENDPOINTS_PER_ZONE: usize = 2;

/// Index of the relay to the platform; the relays to the endpoints of the second
/// zone follow it.
pub const PLATFORM_RELAY: usize = 0;

/// Fleet with one service, `quoting`.
pub struct Fleet {
    pub targets: Arc<Targets>,
    pub recorder: Arc<Recorder>,
    pub gateways: Vec<Gateway>,
    pub keepers: Vec<Keeper>,
}

impl Fleet {
    /// Starts all parts and waits until each gateway answers calls.
    pub fn start(seed: u64) -> Self {
        Self::start_with_metrics(seed, None)
    }

    /// Starts a fleet whose gateways and keepers send their metrics to an
    /// address.
    pub fn start_with_metrics(seed: u64, metrics: Option<SocketAddr>) -> Self {
        let listed = listed_endpoints();
        let platform = start_platform(&listed);
        let mut relays = vec![Relay::start(any_port(), platform.address()).unwrap()];
        let mut endpoints = Vec::new();
        let mut entries = Vec::new();
        for zone in ZONES {
            for number in 0..ENDPOINTS_PER_ZONE {
                let stand_in = start_endpoint(zone, number, seed);
                let mut address = stand_in.address();
                if zone == ZONES[1] {
                    relays.push(Relay::start(any_port(), address).unwrap());
                    address = relays[relays.len() - 1].address();
                }
                entries.push(endpoint_entry(zone, &stand_in, address));
                endpoints.push(stand_in);
            }
        }
        let platform_address = relays[PLATFORM_RELAY].address();
        let keepers = start_keepers(platform_address, metrics);
        accept(&keepers[0], configuration(entries));
        let gateways = start_gateways(platform_address, &keepers, metrics);
        gateways.iter().for_each(wait_until_serving);
        let targets = Targets {
            endpoints,
            listed: Mutex::new(listed),
            platform: Some(platform),
            relays,
        };
        Self {
            targets: Arc::new(targets),
            recorder: Arc::new(Recorder::default()),
            gateways,
            keepers,
        }
    }

    /// Returns the addresses of the gateways.
    pub fn gateway_addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(Gateway::address).collect()
    }

    /// Applies a fault to all requests at all endpoints.
    pub fn set_fault_on_all_endpoints(&self, fault: &EndpointFault) {
        for endpoint in &self.targets.endpoints {
            endpoint.set_faults(vec![FaultRule {
                fault: fault.clone(),
                scope: FaultScope::UntilCleared,
            }]);
        }
    }

    /// Waits until all endpoints are idle, then records their runs.
    pub fn record_runs(&self, recorder: &Recorder) {
        for endpoint in &self.targets.endpoints {
            while endpoint.dump().running + endpoint.dump().abandoned > 0 {
                thread::sleep(Duration::from_millis(5));
            }
            recorder.add_endpoint(endpoint);
        }
    }

    /// Stops gateways and keepers and returns the recorder with all runs.
    pub fn finish(mut self) -> Recorder {
        self.targets.clear();
        for gateway in self.gateways.drain(..) {
            gateway.stop();
        }
        for keeper in self.keepers.drain(..) {
            keeper.kill();
        }
        self.record_runs(&self.recorder);
        Arc::try_unwrap(self.recorder).unwrap()
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn logger() -> Logger {
    Logger::root(Discard, o!())
}

pub fn instance(name: &str) -> InstanceId {
    InstanceId::try_from(name).unwrap()
}

fn endpoint_name(zone: &str, number: usize) -> InstanceId {
    instance(&format!("quoting-{zone}{number}"))
}

/// Lists the endpoints in the order in which they are started.
fn listed_endpoints() -> Vec<ListedInstance> {
    let numbers = || 0..ENDPOINTS_PER_ZONE;
    ZONES
        .iter()
        .flat_map(|zone| numbers().map(move |number| (*zone, number)))
        .map(|(zone, number)| ListedInstance {
            instance: endpoint_name(zone, number),
            availability_zone: AvailabilityZone::try_from(zone).unwrap(),
            state: InstanceState::Live,
            epoch: 1,
            keeper_address: None,
        })
        .collect()
}

fn start_platform(listed: &[ListedInstance]) -> PlatformStandIn {
    let settings = PlatformSettings {
        instances: listed.to_vec(),
        instance_list_lag_ms: 300,
        ..PlatformSettings::default()
    };
    PlatformStandIn::start(&settings).unwrap()
}

fn start_endpoint(zone: &str, number: usize, seed: u64) -> EndpointStandIn {
    let mut settings = EndpointSettings::new(endpoint_name(zone, number));
    settings.seed = seed + number as u64;
    EndpointStandIn::start(settings).unwrap()
}

fn endpoint_entry(zone: &str, stand_in: &EndpointStandIn, address: SocketAddr) -> Endpoint {
    let instance = stand_in.dump().instance;
    Endpoint {
        rack: Rack::try_from(instance.as_str()).unwrap(),
        instance,
        availability_zone: AvailabilityZone::try_from(zone).unwrap(),
        address,
        slots: 8,
        connections: 64,
    }
}

fn configuration(endpoints: Vec<Endpoint>) -> Configuration {
    let pool = PoolName::try_from("quoting").unwrap();
    Configuration {
        generation: Generation(0),
        workspace: workspace(),
        template: TemplateName::try_from("futopalya").unwrap(),
        services: vec![Service {
            name: ServiceName::try_from("quoting").unwrap(),
            pool: pool.clone(),
            deadline_ms: 1000,
            max_deadline_ms: 10_000,
            max_body_bytes: 65_536,
            max_answer_bytes: 1_048_576,
            queue_limit: 200,
            queue_limit_bytes: 8_388_608,
            retry_percent: 10,
            idempotent_methods: vec![Method::Get, Method::Head, Method::Put, Method::Delete],
            availability_budget_percent: 50,
            declared_peak_per_s: 100,
        }],
        pools: vec![Pool {
            name: pool,
            endpoints,
        }],
        spare_pool: None,
    }
}

fn workspace() -> WorkspaceName {
    WorkspaceName::try_from("hu-central").unwrap()
}

fn start_keepers(platform: SocketAddr, metrics: Option<SocketAddr>) -> Vec<Keeper> {
    let mut seeds = Vec::new();
    let mut keepers = Vec::new();
    for zone in ZONES {
        let settings = KeeperSettings {
            instance: instance(&format!("entry-{zone}")),
            availability_zone: AvailabilityZone::try_from(zone).unwrap(),
            workspace: workspace(),
            listen: any_port(),
            gossip_listen: any_port(),
            seeds: seeds.clone(),
            platform,
            metrics,
            platform_timeout_ms: 500,
            platform_poll_ms: 200,
            sync_interval_ms: 200,
            slot_lease_ms: 1500,
            memory_mb: 80,
            max_descriptors: 4100,
            control_connections: 256,
            max_message_bytes: 1_835_008,
        };
        let keeper = Keeper::start(&settings, logger()).unwrap();
        seeds.push(keeper.gossip_address());
        keepers.push(keeper);
    }
    keepers
}

fn accept(keeper: &Keeper, configuration: Configuration) {
    let request = AcceptRequest {
        workspace: workspace(),
        seen: Generation(0),
        token: AcceptToken(1),
        who: "operator".to_owned(),
        why: "start".to_owned(),
        now_unix_ms: 0,
        content: AcceptContent::Given(Box::new(configuration)),
    };
    let outcome: AcceptOutcome = ControlClient::new(Duration::from_secs(5))
        .call_json(keeper.address(), "/operator/accept", &request)
        .unwrap();
    let generation = Generation(1);
    assert_eq!(outcome, AcceptOutcome::Accepted { generation });
}

fn start_gateways(
    platform: SocketAddr,
    keepers: &[Keeper],
    metrics: Option<SocketAddr>,
) -> Vec<Gateway> {
    ZONES
        .iter()
        .zip(keepers)
        .map(|(zone, keeper)| {
            let settings = GatewaySettings {
                instance: instance(&format!("gateway-{zone}")),
                availability_zone: AvailabilityZone::try_from(*zone).unwrap(),
                listen: any_port(),
                control_listen: any_port(),
                keepers: vec![keeper.address()],
                platform,
                metrics,
                platform_timeout_ms: 500,
                keeper_timeout_ms: 300,
                view_interval_ms: 100,
                memory_mb: 80,
                max_descriptors: 4100,
                max_connections: 200,
                max_header_bytes: 16_384,
                header_timeout_ms: 2000,
                body_timeout_ms: 2000,
                idle_timeout_ms: 5000,
                connect_timeout_ms: 300,
                max_idle_per_endpoint: 4,
                stop_notice_ms: 50,
                stop_timeout_ms: 5000,
            };
            Gateway::start(&settings, logger()).unwrap()
        })
        .collect()
}

/// Waits until a gateway answers a request.
///
/// A gateway is ready before the keepers of a new zone lend slots: they wait
/// until the leases of earlier holders, if any, would have ended.
fn wait_until_serving(gateway: &Gateway) {
    let url = format!("http://{}/quoting/first", gateway.address());
    while ureq::get(&url).call().is_err() {
        thread::sleep(Duration::from_millis(10));
    }
}
