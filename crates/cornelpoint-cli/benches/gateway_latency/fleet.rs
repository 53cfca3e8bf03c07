use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use cornelpoint::configuration::AcceptContent;
use cornelpoint::configuration::AcceptRequest;
use cornelpoint::configuration::AcceptToken;
use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Endpoint;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::Pool;
use cornelpoint::configuration::Service;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::request::Method;
use cornelpoint_daemon::gateway::Gateway;
use cornelpoint_daemon::keeper::Keeper;
use cornelpoint_daemon::settings::GatewaySettings;
use cornelpoint_daemon::settings::KeeperSettings;
use cornelpoint_standin::endpoint::EndpointSettings;
use cornelpoint_standin::endpoint::EndpointStandIn;
use cornelpoint_standin::platform::PlatformSettings;
use cornelpoint_standin::platform::PlatformStandIn;
use slog::Discard;
use slog::Logger;
use slog::o;

const READY_POLL: Duration = Duration::from_millis(10);

/// One gateway, one keeper, and stand-ins for the platform and one endpoint, in one process.
pub struct Fleet {
    gateway: Gateway,
    keeper: Keeper,
    endpoint: EndpointStandIn,
    _platform: PlatformStandIn,
}

impl Fleet {
    /// Starts all parts and waits until the gateway passes its health check.
    pub fn start() -> Self {
        let platform = PlatformStandIn::start(&PlatformSettings::default()).unwrap();
        let endpoint = EndpointStandIn::start(EndpointSettings {
            history_limit: 0,
            ..EndpointSettings::new(instance("endpoint-1"))
        })
        .unwrap();
        let logger = Logger::root(Discard, o!());
        let keeper = Keeper::start(&keeper_settings(platform.address()), logger.clone()).unwrap();
        let settings = gateway_settings(platform.address(), keeper.address());
        let gateway = Gateway::start(&settings, logger).unwrap();
        accept(keeper.address(), endpoint.address());
        let health = format!("http://{}/health", gateway.control_address());
        while ureq::get(&health).call().is_err() {
            thread::sleep(READY_POLL);
        }
        Self {
            gateway,
            keeper,
            endpoint,
            _platform: platform,
        }
    }

    /// Returns the gateway's address for callers.
    pub fn gateway(&self) -> SocketAddr {
        self.gateway.address()
    }

    /// Returns the address of the endpoint stand-in.
    pub fn endpoint(&self) -> SocketAddr {
        self.endpoint.address()
    }

    /// Returns the number of slots of the endpoint.
    pub fn slots() -> usize {
        EndpointSettings::new(instance("endpoint-1")).slots
    }

    /// Stops the gateway, and kills the keeper and the endpoint.
    pub fn stop(self) {
        self.gateway.stop();
        self.keeper.kill();
        self.endpoint.kill();
    }
}

fn instance(name: &str) -> InstanceId {
    InstanceId::try_from(name).unwrap()
}

fn availability_zone() -> AvailabilityZone {
    AvailabilityZone::try_from("zone-a").unwrap()
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn keeper_settings(platform: SocketAddr) -> KeeperSettings {
    KeeperSettings {
        instance: instance("entry-1"),
        availability_zone: availability_zone(),
        workspace: "bench".try_into().unwrap(),
        listen: any_port(),
        gossip_listen: any_port(),
        seeds: Vec::new(),
        platform,
        metrics: None,
        platform_timeout_ms: 1_000,
        platform_poll_ms: 1_000,
        sync_interval_ms: 500,
        slot_lease_ms: 1_000,
        memory_mb: 80,
        max_descriptors: 4100,
        control_connections: 256,
        max_message_bytes: 1_835_008,
    }
}

fn gateway_settings(platform: SocketAddr, keeper: SocketAddr) -> GatewaySettings {
    GatewaySettings {
        instance: instance("entry-1"),
        availability_zone: availability_zone(),
        listen: any_port(),
        control_listen: any_port(),
        keepers: vec![keeper],
        platform,
        metrics: None,
        platform_timeout_ms: 1_000,
        keeper_timeout_ms: 1_000,
        view_interval_ms: 100,
        memory_mb: 80,
        max_descriptors: 4100,
        max_connections: 2_048,
        max_header_bytes: 16 * 1024,
        header_timeout_ms: 5_000,
        body_timeout_ms: 20_000,
        idle_timeout_ms: 60_000,
        connect_timeout_ms: 1_000,
        max_idle_per_endpoint: 8,
        stop_notice_ms: 0,
        stop_timeout_ms: 100,
    }
}

fn accept(keeper: SocketAddr, endpoint: SocketAddr) {
    let request = AcceptRequest {
        workspace: "bench".try_into().unwrap(),
        seen: Generation(0),
        token: AcceptToken(1),
        who: "bench".to_owned(),
        why: "latency".to_owned(),
        now_unix_ms: 0,
        content: AcceptContent::Given(Box::new(configuration(endpoint))),
    };
    let body = serde_json::to_vec(&request).unwrap();
    ureq::post(format!("http://{keeper}/operator/accept"))
        .send(&body[..])
        .unwrap();
}

fn configuration(endpoint: SocketAddr) -> Configuration {
    let service = Service {
        name: "quoting".try_into().unwrap(),
        pool: "quoting".try_into().unwrap(),
        deadline_ms: 60_000,
        max_deadline_ms: 60_000,
        max_body_bytes: 1 << 20,
        max_answer_bytes: 1 << 20,
        queue_limit: 10_000,
        queue_limit_bytes: 1 << 30,
        retry_percent: 0,
        idempotent_methods: vec![Method::Get],
        availability_budget_percent: 10,
        declared_peak_per_s: 1_000,
    };
    let endpoint = Endpoint {
        instance: instance("endpoint-1"),
        availability_zone: availability_zone(),
        rack: "rack-1".try_into().unwrap(),
        address: endpoint,
        slots: 8,
        connections: 64,
    };
    Configuration {
        generation: Generation(0),
        workspace: "bench".try_into().unwrap(),
        template: "bench".try_into().unwrap(),
        services: vec![service],
        pools: vec![Pool {
            name: "quoting".try_into().unwrap(),
            endpoints: vec![endpoint],
        }],
        spare_pool: None,
    }
}
