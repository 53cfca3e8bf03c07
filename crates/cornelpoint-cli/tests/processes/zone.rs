use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cornelpoint_standin::endpoint::EndpointDump;
use cornelpoint_standin::endpoint::RunRecord;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Ports below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 20_000;

/// Addresses of one zone.
pub struct Zone {
    pub name: &'static str,
    pub callers: SocketAddr,
    pub gateway_control: SocketAddr,
    pub keeper: SocketAddr,
    pub gossip: SocketAddr,
    pub endpoint: SocketAddr,
    pub endpoint_control: SocketAddr,
}

impl Zone {
    /// Free addresses.
    pub fn free(name: &'static str) -> Self {
        Self {
            name,
            callers: free_address(),
            gateway_control: free_address(),
            keeper: free_address(),
            gossip: free_address(),
            endpoint: free_address(),
            endpoint_control: free_address(),
        }
    }

    /// Counters of the endpoint.
    pub fn endpoint_dump(&self) -> EndpointDump {
        parse(get(self.endpoint_control, "/standin/dump"))
    }

    /// What the endpoint ran.
    pub fn runs(&self) -> Vec<RunRecord> {
        parse(get(self.endpoint_control, "/standin/history"))
    }
}

/// A page, if it is answered with success; null when it is not JSON.
pub fn get(address: SocketAddr, path: &str) -> Option<Value> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(5)))
        .build()
        .into();
    let mut answer = agent.get(format!("http://{address}{path}")).call().ok()?;
    let text = answer.body_mut().read_to_string().ok()?;
    Some(serde_json::from_str(&text).unwrap_or(Value::Null))
}

fn parse<T: DeserializeOwned>(page: Option<Value>) -> T {
    serde_json::from_value(page.unwrap()).unwrap()
}

/// An address that is free for TCP and UDP; the programs need to know each
/// other's before they start.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = std::process::id() * 64 % u32::from(PORTS);
    let first = u16::try_from(first).unwrap();
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (first + step) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
