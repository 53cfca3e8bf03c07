/// Gauge of a current value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Gauge {
    /// Open connections from callers.
    CallerConnections,
    /// Endpoints that accept requests, in this process's view.
    EndpointsUsable,
    /// Generation of the configuration in force.
    Generation,
    /// Live keepers, in this process's view.
    Members,
    /// Requests running at endpoints.
    Running,
    /// Slots that this gateway may currently use.
    SlotsHeld,
    /// Requests waiting for a slot.
    Waiting,
    /// Total size of the bodies of waiting requests, in bytes.
    WaitingBytes,
}

impl Gauge {
    /// All gauges, in the order of `docs/METRICS.md`.
    pub const ALL: &[Self] = &[
        Self::CallerConnections,
        Self::EndpointsUsable,
        Self::Generation,
        Self::Members,
        Self::Running,
        Self::SlotsHeld,
        Self::Waiting,
        Self::WaitingBytes,
    ];

    /// Name of the metric, without the prefix.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CallerConnections => "caller.connections",
            Self::EndpointsUsable => "endpoint.usable",
            Self::Generation => "configuration.generation",
            Self::Members => "keeper.members",
            Self::Running => "request.running",
            Self::SlotsHeld => "slot.held",
            Self::Waiting => "request.waiting",
            Self::WaitingBytes => "request.waiting_bytes",
        }
    }
}
