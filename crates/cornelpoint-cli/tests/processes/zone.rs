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

/// Lowest port; the range lies below the ports that the system assigns to outgoing connections.
const MIN_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;

/// Addresses of the processes of one zone.
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
    /// Chooses free addresses.
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

    /// Reads the counters of the endpoint stand-in.
    pub fn endpoint_dump(&self) -> EndpointDump {
        parse(get(self.endpoint_control, "/standin/dump"))
    }

    /// Reads the runs that the endpoint stand-in recorded.
    pub fn runs(&self) -> Vec<RunRecord> {
        parse(get(self.endpoint_control, "/standin/history"))
    }
}

/// Reads a page, if it is answered with success; null when it is not JSON.
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

/// Returns an address that is free for TCP and UDP; it is chosen in advance
/// because the programs need each other's addresses before they start.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = std::process::id() * 64 % u32::from(PORT_COUNT);
    let first = u16::try_from(first).unwrap();
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = MIN_PORT + (first + step) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
