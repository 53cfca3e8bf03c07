/// Counter of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Counter {
    /// Requests answered by an endpoint.
    Answered,
    /// Claims of idempotency keys that were written.
    Claim,
    /// Claims that could not be written in time.
    ClaimFailure,
    /// Connections of clients that were closed to make room for others; tag `reason`.
    ConnectionClosed,
    /// Calls to a keeper that got no usable answer.
    KeeperFailure,
    /// Requests sent to an endpoint that did not start them.
    NotStarted,
    /// Calls to the platform that got no usable answer.
    PlatformFailure,
    /// Requests that were received completely.
    Received,
    /// Requests refused without being run; tag `reason`.
    Refused,
    /// Requests that got no answer but may have run; tag `reason`.
    Unknown,
}

impl Counter {
    /// All counters, in the order of `docs/METRICS.md`.
    pub const ALL: &[Self] = &[
        Self::Answered,
        Self::Claim,
        Self::ClaimFailure,
        Self::ConnectionClosed,
        Self::KeeperFailure,
        Self::NotStarted,
        Self::PlatformFailure,
        Self::Received,
        Self::Refused,
        Self::Unknown,
    ];

    /// Name of the metric, without the prefix.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "request.answered",
            Self::Claim => "claim.written",
            Self::ClaimFailure => "claim.failed",
            Self::ConnectionClosed => "connection.closed",
            Self::KeeperFailure => "keeper.failed",
            Self::NotStarted => "endpoint.not_started",
            Self::PlatformFailure => "platform.failed",
            Self::Received => "request.received",
            Self::Refused => "request.refused",
            Self::Unknown => "request.unknown",
        }
    }
}
