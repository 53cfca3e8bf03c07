use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Endpoint;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::Pool;
use cornelpoint::configuration::Service;
use cornelpoint::replication::Update;
use cornelpoint::request::Method;
use cornelpoint_daemon::control::ControlClient;
use cornelpoint_standin::crowd::ProcessMeter;
use cornelpoint_standin::endpoint::EndpointSettings;
use cornelpoint_standin::endpoint::EndpointStandIn;
use serde_json::Value;
use serde_json::json;
use ureq::Agent;

use crate::MAX_ANSWER_BYTES;
use crate::MAX_BODY_BYTES;
use crate::MAX_DESCRIPTORS;
use crate::MAX_MESSAGE_BYTES;
use crate::MEMORY_MB;

/// Longest wait for a condition that nothing prevents.
const PATIENCE: Duration = Duration::from_secs(20);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of an ordinary request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Endpoints of the configuration that get no requests; they make the keeper's answers large.
const IDLE_ENDPOINTS: u16 = 1000;
/// Last byte of the next processes' address.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// A port that a process opens for TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Gateways, keepers and operators at the keeper.
    Keeper,
    /// Operators and the load balancer at the gateway.
    GatewayControl,
    /// Callers at the gateway.
    Callers,
}

impl Port {
    pub const ALL: [Self; 3] = [Self::Keeper, Self::GatewayControl, Self::Callers];

    /// Path of a request with a body.
    pub fn path(self) -> &'static str {
        match self {
            Self::Keeper => "/peer/push",
            Self::GatewayControl => "/dump",
            Self::Callers => "/quoting/order?request=crowd",
        }
    }
}

/// A keeper and a gateway with lowered limits, and one endpoint.
pub struct Processes {
    ip: IpAddr,
    keeper: Child,
    gateway: Child,
    endpoint: EndpointStandIn,
}

impl Processes {
    /// Starts the processes and waits until the gateway answers callers.
    pub fn start(test: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join("request_limits")
            .join(test);
        fs::create_dir_all(&folder).unwrap();
        let ip = own_ip();
        let endpoint = EndpointStandIn::start(EndpointSettings::new(name("quoting-1"))).unwrap();
        let keeper = spawn(
            env!("CARGO_BIN_EXE_cornelpoint-keeper"),
            &folder.join("keeper.json"),
            &keeper_settings(ip),
        );
        let gateway = spawn(
            env!("CARGO_BIN_EXE_cornelpoint-gateway"),
            &folder.join("gateway.json"),
            &gateway_settings(ip),
        );
        let processes = Self {
            ip,
            keeper,
            gateway,
            endpoint,
        };
        let update = Update {
            configuration: Some(configuration(processes.endpoint.address())),
            marks: Vec::new(),
        };
        let client = ControlClient::new(REQUEST_TIMEOUT);
        let keeper = processes.address(Port::Keeper);
        wait_for("the keeper takes a configuration", || {
            client.call::<_, ()>(keeper, "/peer/push", &update).is_ok()
        });
        wait_for("the gateway answers callers", || {
            processes.get(Port::Callers, "/quoting/first") == Some(200)
        });
        processes
    }

    pub fn address(&self, port: Port) -> SocketAddr {
        let number = match port {
            Port::Keeper => 8090,
            Port::GatewayControl => 8081,
            Port::Callers => 8080,
        };
        SocketAddr::new(self.ip, number)
    }

    /// Returns the meter of the process that opens a port.
    pub fn meter(&self, port: Port) -> ProcessMeter {
        let process = match port {
            Port::Keeper => &self.keeper,
            Port::GatewayControl | Port::Callers => &self.gateway,
        };
        ProcessMeter::new(process.id())
    }

    /// Pauses the process that opens a port until the returned value is dropped.
    pub fn pause(&self, port: Port) -> Paused {
        let process_id = match port {
            Port::Keeper => self.keeper.id(),
            Port::GatewayControl | Port::Callers => self.gateway.id(),
        };
        signal("-STOP", process_id);
        Paused { process_id }
    }

    /// Sends an ordinary request of each kind of client, each on a new connection; returns
    /// those without an answer of success.
    pub fn unanswered(&self) -> Vec<(Port, &'static str, Option<u16>)> {
        let requests = [
            (Port::Callers, "/quoting/ordinary"),
            (Port::GatewayControl, "/health"),
            (Port::GatewayControl, "/dump"),
            (Port::Keeper, "/health"),
            (Port::Keeper, "/operator/status"),
        ];
        let answers = requests.map(|(port, path)| (port, path, self.get(port, path)));
        let client = ControlClient::new(REQUEST_TIMEOUT);
        let peer = client.call::<_, Value>(self.address(Port::Keeper), "/peer/status", &());
        let peer = (Port::Keeper, "/peer/status", peer.is_ok().then_some(200));
        let all = answers.into_iter().chain([peer]);
        all.filter(|(_, _, status)| *status != Some(200)).collect()
    }

    fn get(&self, port: Port, path: &str) -> Option<u16> {
        let url = format!("http://{}{path}", self.address(port));
        let answer = agent().get(url).call();
        Some(answer.ok()?.status().as_u16())
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for process in [&mut self.gateway, &mut self.keeper] {
            // Fails only if the process has ended.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Returns the keeper's address for datagrams.
pub fn gossip_address(ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, 8091)
}

/// A process that is paused until this is dropped.
pub struct Paused {
    process_id: u32,
}

impl Drop for Paused {
    fn drop(&mut self) {
        signal("-CONT", self.process_id);
    }
}

fn signal(option: &str, process_id: u32) {
    let status = Command::new("/bin/kill")
        .args([option, &process_id.to_string()])
        .status();
    assert!(status.unwrap().success(), "{option}");
}

/// An ordinary client that goes on using its connection, and opens another one when that has
/// been closed.
pub struct KeptConnection {
    agent: Agent,
    url: String,
}

impl KeptConnection {
    pub fn new(address: SocketAddr, port: Port) -> Self {
        let path = match port {
            Port::Callers => "/quoting/kept",
            Port::Keeper | Port::GatewayControl => "/health",
        };
        Self {
            agent: agent(),
            url: format!("http://{address}{path}"),
        }
    }

    /// Sends a request; it may be refused.
    pub fn use_once(&mut self) {
        drop(self.agent.get(&self.url).call());
    }
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build();
    Agent::new_with_config(config)
}

fn wait_for(expected: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "expected: {expected}");
        thread::sleep(POLL_INTERVAL);
    }
}

fn spawn(program: &str, path: &Path, settings: &Value) -> Child {
    fs::write(path, settings.to_string()).unwrap();
    Command::new(program)
        .arg("--settings")
        .arg(path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(File::create(path.with_extension("log")).unwrap())
        .spawn()
        .unwrap()
}

fn keeper_settings(ip: IpAddr) -> Value {
    json!({
        "instance": "entry-1",
        "availability_zone": "a",
        "workspace": "hu-central",
        "listen": SocketAddr::new(ip, 8090),
        "gossip_listen": gossip_address(ip),
        "platform": SocketAddr::new(ip, 1),
        "memory_mb": MEMORY_MB,
        "max_descriptors": MAX_DESCRIPTORS,
        "max_message_bytes": MAX_MESSAGE_BYTES,
    })
}

fn gateway_settings(ip: IpAddr) -> Value {
    json!({
        "instance": "entry-1",
        "availability_zone": "a",
        "listen": SocketAddr::new(ip, 8080),
        "control_listen": SocketAddr::new(ip, 8081),
        "keepers": [SocketAddr::new(ip, 8090)],
        "platform": SocketAddr::new(ip, 1),
        "memory_mb": MEMORY_MB,
        "max_descriptors": MAX_DESCRIPTORS,
    })
}

fn configuration(endpoint: SocketAddr) -> Configuration {
    let idle = (1..=IDLE_ENDPOINTS).map(|number| {
        let address = SocketAddr::new(endpoint.ip(), 20_000 + number);
        configured(&format!("idle-{number}"), address)
    });
    Configuration {
        generation: Generation(1),
        workspace: name("hu-central"),
        template: name("small"),
        services: vec![Service {
            name: name("quoting"),
            pool: name("quoting"),
            deadline_ms: 5000,
            max_deadline_ms: 10_000,
            max_body_bytes: MAX_BODY_BYTES as u64,
            max_answer_bytes: MAX_ANSWER_BYTES as u64,
            queue_limit: 1000,
            queue_limit_bytes: 1_073_741_824,
            retry_percent: 10,
            idempotent_methods: vec![Method::Get, Method::Head, Method::Put, Method::Delete],
            availability_budget_percent: 50,
            declared_peak_per_s: 100,
        }],
        pools: vec![
            Pool {
                name: name("quoting"),
                endpoints: vec![configured("quoting-1", endpoint)],
            },
            Pool {
                name: name("idle"),
                endpoints: idle.collect(),
            },
        ],
        spare_pool: None,
    }
}

fn configured(instance: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        instance: name(instance),
        availability_zone: name("a"),
        rack: name("a-rack-1"),
        address,
        slots: 8,
        connections: 64,
    }
}

fn name<'a, T: TryFrom<&'a str>>(text: &'a str) -> T {
    T::try_from(text).unwrap_or_else(|_| panic!("expected a name, found {text}"))
}

/// Returns a loopback address that no other process uses.
fn own_ip() -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    IpAddr::from([127, high, low, host])
}
