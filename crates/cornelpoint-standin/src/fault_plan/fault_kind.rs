/// A family of faults that a plan draws from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// An endpoint fails all requests fast.
    EndpointFailure,
    /// An endpoint reads requests and never answers.
    EndpointHang,
    /// An endpoint is slow.
    EndpointSlow,
    /// An endpoint refuses connections.
    EndpointRefusal,
    /// An endpoint closes connections before or after a run, or while idle.
    ConnectionClosed,
    /// An endpoint's answers are cut, have a wrong length, come twice, belong
    /// to another request or are no HTTP.
    BadAnswer,
    /// An endpoint's answers come late or byte by byte.
    SlowAnswer,
    /// An endpoint freezes.
    EndpointFreeze,
    /// An endpoint leaves.
    EndpointLeaving,
    /// The platform is down.
    PlatformDown,
    /// The platform is slow.
    PlatformSlow,
    /// Answers of the platform are lost after the write.
    PlatformLostAnswer,
    /// The instance list stands still.
    InstanceListFrozen,
    /// A relay swallows bytes, in one direction or both.
    RelayCut,
    /// A relay refuses connections.
    RelayRefusal,
    /// A relay delays.
    RelayDelay,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 16] = [
        Self::EndpointFailure,
        Self::EndpointHang,
        Self::EndpointSlow,
        Self::EndpointRefusal,
        Self::ConnectionClosed,
        Self::BadAnswer,
        Self::SlowAnswer,
        Self::EndpointFreeze,
        Self::EndpointLeaving,
        Self::PlatformDown,
        Self::PlatformSlow,
        Self::PlatformLostAnswer,
        Self::InstanceListFrozen,
        Self::RelayCut,
        Self::RelayRefusal,
        Self::RelayDelay,
    ];

    /// Whether the fault is one of a relay.
    #[must_use]
    pub fn is_of_relay(self) -> bool {
        matches!(self, Self::RelayCut | Self::RelayRefusal | Self::RelayDelay)
    }

    /// Whether the fault is one of the platform.
    #[must_use]
    pub fn is_of_platform(self) -> bool {
        matches!(
            self,
            Self::PlatformDown
                | Self::PlatformSlow
                | Self::PlatformLostAnswer
                | Self::InstanceListFrozen
        )
    }
}
