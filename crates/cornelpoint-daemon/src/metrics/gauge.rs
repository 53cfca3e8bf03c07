/// A level that rises and falls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Gauge {
    /// Open connections of callers.
    CallerConnections,
    /// Endpoints that take requests, as this process sees it.
    EndpointsUsable,
    /// Generation of the configuration in force.
    Generation,
    /// Live keepers, as this process sees it.
    Members,
    /// Requests at endpoints.
    Running,
    /// Slots that this gateway may use now.
    SlotsHeld,
    /// Requests that wait for a slot.
    Waiting,
    /// Bytes of the bodies that wait.
    WaitingBytes,
}

impl Gauge {
    /// All of them, in the order of `docs/METRICS.md`.
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

    /// The name without the prefix.
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
