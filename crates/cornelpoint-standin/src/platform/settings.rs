use std::net::Ipv4Addr;
use std::net::SocketAddr;

use cornelpoint::platform::ListedInstance;
use serde::Deserialize;
use serde::Serialize;

/// Settings of the platform stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Delay after which a change of the instance list becomes visible.
    pub instance_list_lag_ms: u64,
    /// Instances in the list from the start, without lag.
    pub instances: Vec<ListedInstance>,
    /// Limit of transactions and object writes per second; more are answered
    /// 429. There is none when absent.
    pub max_writes_per_s: Option<u32>,
    /// Limit of all reads per second; more are answered 429. There is none when
    /// absent.
    pub max_reads_per_s: Option<u32>,
    /// Seed of random faults.
    pub seed: u64,
    /// Threads that answer requests.
    pub threads: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            instance_list_lag_ms: 0,
            instances: Vec::new(),
            max_writes_per_s: None,
            max_reads_per_s: None,
            seed: 1,
            threads: 16,
        }
    }
}
