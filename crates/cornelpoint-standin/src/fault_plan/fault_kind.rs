/// A kind of fault that a plan can contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// An endpoint fails requests at once.
    EndpointFailure,
    /// An endpoint reads requests and never answers.
    EndpointHang,
    /// An endpoint is slow.
    EndpointSlow,
    /// An endpoint refuses connections.
    EndpointRefusal,
    /// An endpoint closes connections before or after a run, or while idle.
    ConnectionClosed,
    /// An endpoint's answers are truncated, have a wrong length or a very large
    /// header, are sent twice, belong to another request or are not HTTP.
    BadAnswer,
    /// An endpoint sends its answers late or byte by byte.
    SlowAnswer,
    /// An endpoint freezes.
    EndpointFreeze,
    /// An endpoint leaves.
    EndpointLeaving,
    /// The platform is down.
    PlatformDown,
    /// The platform is slow.
    PlatformSlow,
    /// Answers of the platform are lost after the write has taken effect.
    PlatformLostAnswer,
    /// The instance list is not updated.
    InstanceListFrozen,
    /// A relay discards bytes, in one direction or both.
    RelayCut,
    /// A relay refuses connections.
    RelayRefusal,
    /// A relay delays data.
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

    /// Whether the fault is injected by a relay.
    #[must_use]
    pub fn is_of_relay(self) -> bool {
        matches!(self, Self::RelayCut | Self::RelayRefusal | Self::RelayDelay)
    }

    /// Whether the fault is injected by the platform.
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
