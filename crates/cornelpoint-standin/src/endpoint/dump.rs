use cornelpoint::name::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// State and counters of an endpoint stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDump {
    /// Instance of the endpoint.
    pub instance: InstanceId,
    /// Whether it rejects new requests because it is leaving.
    pub leaving: bool,
    /// When it started to leave, in milliseconds since the Unix epoch.
    pub leaving_since_ms: Option<u64>,
    /// Running requests whose connection is open.
    pub running: usize,
    /// Running requests whose connection has closed.
    pub abandoned: usize,
    /// Open connections.
    pub connections: usize,
    /// Peak number of running requests.
    pub peak_running: usize,
    /// Peak number of open connections.
    pub peak_connections: usize,
    /// Requests that started to run while all slots were in use.
    pub over_slots: u64,
    /// Connections closed on accept because the limit was reached.
    pub over_connections: u64,
    /// Number of runs.
    pub runs: u64,
    /// Requests rejected because the endpoint is leaving.
    pub refused_leaving: u64,
    /// Requests read but not run, because of a fault.
    pub not_run: u64,
    /// Runs left out of the history because it was full.
    pub unrecorded: u64,
}
