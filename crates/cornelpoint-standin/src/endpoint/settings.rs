use std::net::Ipv4Addr;
use std::net::SocketAddr;

use cornelpoint::name::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use super::service_time::ServiceTime;

/// Settings of an endpoint stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Instance of the endpoint.
    pub instance: InstanceId,
    /// Address to listen on; port 0 picks a free port.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Listen address of the control server; there is none when absent.
    #[serde(default)]
    pub control_listen: Option<SocketAddr>,
    /// Requests that may run at once; more are run, but counted.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Connections that may be open at once; more are closed on accept.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// How long a request takes to run.
    #[serde(default = "default_service_time")]
    pub service_time: ServiceTime,
    /// Time after which an idle connection is closed; never when absent.
    #[serde(default)]
    pub idle_timeout_ms: Option<u64>,
    /// Path of the health check, which uses no slot.
    #[serde(default = "default_health_path")]
    pub health_path: String,
    /// Maximum number of recorded runs.
    #[serde(default = "default_history_limit")]
    pub history_limit: usize,
    /// Seed of service times and of random faults.
    #[serde(default = "default_seed")]
    pub seed: u64,
}

impl EndpointSettings {
    /// Returns the settings of an endpoint as in the deployments, on a free
    /// port of the loopback address.
    ///
    /// ```
    /// use cornelpoint::name::InstanceId;
    /// use cornelpoint_standin::endpoint::EndpointSettings;
    ///
    /// let instance = InstanceId::try_from("quoting-1").unwrap();
    /// let settings = EndpointSettings::new(instance);
    /// assert_eq!(settings.slots, 8);
    /// assert_eq!(settings.connections, 64);
    /// ```
    #[must_use]
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            listen: any_port(),
            control_listen: None,
            slots: default_slots(),
            connections: default_connections(),
            service_time: default_service_time(),
            idle_timeout_ms: None,
            health_path: default_health_path(),
            history_limit: default_history_limit(),
            seed: default_seed(),
        }
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn default_slots() -> usize {
    8
}

fn default_connections() -> usize {
    64
}

fn default_service_time() -> ServiceTime {
    ServiceTime::Fixed { work_ms: 5 }
}

fn default_health_path() -> String {
    "/health".to_owned()
}

fn default_history_limit() -> usize {
    500_000
}

fn default_seed() -> u64 {
    1
}
