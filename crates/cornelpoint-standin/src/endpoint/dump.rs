use cornelpoint::name::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// State and counters of an endpoint stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDump {
    /// The endpoint.
    pub instance: InstanceId,
    /// Whether it refuses new requests because it leaves.
    pub leaving: bool,
    /// When it began to leave, in milliseconds since the Unix epoch.
    pub leaving_since_ms: Option<u64>,
    /// Requests running whose connection is open.
    pub running: usize,
    /// Requests running whose connection has closed.
    pub abandoned: usize,
    /// Connections open.
    pub connections: usize,
    /// Most requests running at once.
    pub peak_running: usize,
    /// Most connections open at once.
    pub peak_connections: usize,
    /// Requests begun while all slots were in use.
    pub over_slots: u64,
    /// Connections refused because the limit was reached.
    pub over_connections: u64,
    /// Requests run.
    pub runs: u64,
    /// Requests refused because the endpoint leaves.
    pub refused_leaving: u64,
    /// Requests read and, by a fault, not run.
    pub not_run: u64,
    /// Runs that the history had no room for.
    pub unrecorded: u64,
}
