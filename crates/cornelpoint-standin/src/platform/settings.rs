use std::net::Ipv4Addr;
use std::net::SocketAddr;

use cornelpoint::platform::ListedInstance;
use serde::Deserialize;
use serde::Serialize;

/// Settings of the platform stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Age of the instance list that is answered.
    pub instance_list_lag_ms: u64,
    /// Instances listed from the start, without lag.
    pub instances: Vec<ListedInstance>,
    /// Transactions taken in a second; those above are answered 429.
    pub max_writes_per_s: Option<u32>,
    /// Reads and scans taken in a second; those above are answered 429.
    pub max_reads_per_s: Option<u32>,
    /// Seed of the faults that strike by chance.
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
